package brackenbridge.lab.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;

/** Finds the process that holds one end of a connection of loopback, by the tables of {@code /proc}. */
final class SocketOwner {
    private static final List<Path> TABLES = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
    private static final int LOCAL_COLUMN = 1;
    private static final int REMOTE_COLUMN = 2;
    private static final int INODE_COLUMN = 9;

    private SocketOwner() {}

    /** Which of these processes has the end with this local port whose other end has that one; empty if none has. */
    static OptionalLong find(int localPort, int remotePort, List<Long> pids) {
        String inode = inode(localPort, remotePort);
        return inode.isEmpty()
                ? OptionalLong.empty()
                : pids.stream()
                        .mapToLong(Long::longValue)
                        .filter(pid -> holds(pid, "socket:[" + inode + "]"))
                        .findFirst();
    }

    private static String inode(int localPort, int remotePort) {
        String local = String.format(Locale.ROOT, ":%04X", localPort);
        String remote = String.format(Locale.ROOT, ":%04X", remotePort);
        for (Path table : TABLES) {
            for (String line : lines(table)) {
                if (line.contains(local) && line.contains(remote)) {
                    String[] columns = line.trim().split("\\s+");
                    if (columns[LOCAL_COLUMN].endsWith(local) && columns[REMOTE_COLUMN].endsWith(remote)) {
                        return columns[INODE_COLUMN];
                    }
                }
            }
        }
        return "";
    }

    private static List<String> lines(Path table) {
        try {
            return Files.exists(table) ? Files.readAllLines(table) : List.of();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static boolean holds(long pid, String socket) {
        try (DirectoryStream<Path> descriptors = Files.newDirectoryStream(Path.of("/proc", Long.toString(pid), "fd"))) {
            for (Path descriptor : descriptors) {
                if (socket.equals(target(descriptor))) {
                    return true;
                }
            }
            return false;
        } catch (IOException | java.nio.file.DirectoryIteratorException e) {
            // The process has ended.
            return false;
        }
    }

    private static String target(Path descriptor) {
        try {
            return Files.readSymbolicLink(descriptor).toString();
        } catch (IOException e) {
            // Closed meanwhile.
            return "";
        }
    }
}
