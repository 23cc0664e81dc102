package brackenbridge.transport;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Inet4Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the sockets that listen at an address in the kernel's tables of TCP sockets and of this process's descriptors;
 * see proc_net(5) and proc_pid_fd(5).
 */
final class ListeningSockets {
    private static final List<Path> SOCKET_TABLES = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
    private static final Path OWN_DESCRIPTORS = Path.of("/proc/self/fd");
    private static final Pattern DESCRIPTOR_TARGET = Pattern.compile("socket:\\[([0-9]+)]");
    private static final Pattern COLUMN_SEPARATOR = Pattern.compile(" +");

    private static final int LOCAL_ADDRESS_COLUMN = 1;
    private static final int STATE_COLUMN = 3;
    private static final int INODE_COLUMN = 9;
    private static final String LISTEN_STATE = "0A";
    /** The prefix {@code ::ffff:0:0/96} of IPv4-mapped addresses of IPv6 sockets, as written in the tables. */
    private static final String MAPPED_PREFIX = "0000000000000000FFFF0000";

    private ListeningSockets() {}

    /** Returns the inodes of the sockets of all processes that listen at the address. */
    static Set<String> inodesAt(InetSocketAddress address) throws IOException {
        Set<String> inodes = new HashSet<>();
        for (Path table : SOCKET_TABLES) {
            if (Files.isReadable(table)) {
                inodes.addAll(inodesAt(address, readListening(table)));
            }
        }
        return inodes;
    }

    /** Reads the table's first lines: listening sockets come first, and tens of thousands of others may follow. */
    private static List<String> readListening(Path table) throws IOException {
        List<String> listening = new ArrayList<>();
        try (BufferedReader reader = Files.newBufferedReader(table)) {
            // Skips the header line.
            String line = reader.readLine();
            while ((line = reader.readLine()) != null && isListening(COLUMN_SEPARATOR.split(line.strip()))) {
                listening.add(line);
            }
        }
        return listening;
    }

    private static boolean isListening(String[] columns) {
        return columns.length > INODE_COLUMN && columns[STATE_COLUMN].equals(LISTEN_STATE);
    }

    /** Returns the inodes of the sockets that listen at the address, from the lines of one table. */
    static Set<String> inodesAt(InetSocketAddress address, List<String> tableLines) {
        Set<String> forms = tableForms(address);
        Set<String> inodes = new HashSet<>();
        for (String line : tableLines) {
            String[] columns = COLUMN_SEPARATOR.split(line.strip());
            if (isListening(columns) && forms.contains(columns[LOCAL_ADDRESS_COLUMN])) {
                inodes.add(columns[INODE_COLUMN]);
            }
        }
        return inodes;
    }

    /** Returns a descriptor of this process for one of the sockets; -1 if it has none. */
    static int ownDescriptor(Set<String> inodes) throws IOException {
        List<Path> descriptors;
        try (var entries = Files.list(OWN_DESCRIPTORS)) {
            descriptors = entries.toList();
        }
        for (Path descriptor : descriptors) {
            if (inodes.contains(socketInode(descriptor))) {
                return Integer.parseInt(descriptor.getFileName().toString());
            }
        }
        return -1;
    }

    /** Returns the inode of the descriptor's socket; empty if it is another kind of file or has been closed. */
    private static String socketInode(Path descriptor) {
        try {
            Matcher target =
                    DESCRIPTOR_TARGET.matcher(Files.readSymbolicLink(descriptor).toString());
            return target.matches() ? target.group(1) : "";
        } catch (IOException e) {
            return "";
        }
    }

    /** Returns the forms of the address in the tables: an IPv4 address may belong to an IPv6 socket. */
    private static Set<String> tableForms(InetSocketAddress address) {
        String port = String.format(Locale.ROOT, ":%04X", address.getPort());
        InetAddress host = address.getAddress();
        String words = wordsInHostOrder(host.getAddress());
        if (host.isAnyLocalAddress()) {
            String zeros = "0".repeat(2 * Integer.BYTES);
            return Set.of(zeros + port, zeros.repeat(4) + port);
        }
        return host instanceof Inet4Address ? Set.of(words + port, MAPPED_PREFIX + words + port) : Set.of(words + port);
    }

    /** Formats an address as the tables do: words of 32 bits, each a number in the machine's byte order. */
    private static String wordsInHostOrder(byte[] address) {
        ByteBuffer bytes = ByteBuffer.wrap(address).order(ByteOrder.nativeOrder());
        StringBuilder words = new StringBuilder();
        while (bytes.hasRemaining()) {
            words.append(String.format(Locale.ROOT, "%08X", bytes.getInt()));
        }
        return words.toString();
    }
}
