package brackenbridge.transport;

import com.sun.jna.LastErrorException;
import com.sun.jna.Library;
import com.sun.jna.Memory;
import com.sun.jna.Native;
import com.sun.jna.Platform;
import com.sun.jna.Pointer;
import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * Directs the new connections to an address at which two sockets listen with SO_REUSEPORT to the newer one, so that
 * the older one can be emptied and closed. The kernel resets what is queued at a listening socket when it closes, and
 * without this a connection may be queued there at any time.
 *
 * <p>It attaches a program of one instruction to the group of sockets (SO_ATTACH_REUSEPORT_CBPF, Linux 4.5; see
 * socket(7)): return the index of the newer socket. Handshakes that have begun complete where they began. The
 * program stays with the group; an index without a socket means the kernel's own choice, by a hash of the addresses.
 */
public final class ReusePortSteering {
    /** Values of the architectures that {@link #isSupported} names. */
    private static final int SOL_SOCKET = 1;

    private static final int SO_ATTACH_REUSEPORT_CBPF = 51;

    private static final int GROUP_SIZE = 2;
    private static final int NEWER_INDEX = 1;

    /** {@code BPF_RET | BPF_K}: ends the program with the instruction's own value. */
    private static final short RETURN_CONSTANT = 0x06;
    /** {@code struct sock_filter}: a code of 16 bits, two offsets of a jump, a value of 32 bits. */
    private static final int INSTRUCTION_BYTES = 8;

    private static final int INSTRUCTION_VALUE_OFFSET = 4;
    /** {@code struct sock_fprog}: a length of 16 bits, and the address of the instructions. */
    private static final int PROGRAM_BYTES = 16;

    private static final int PROGRAM_ADDRESS_OFFSET = 8;

    private ReusePortSteering() {}

    /** The C library's call. */
    private interface SocketLibrary extends Library {
        int setsockopt(int socket, int level, int option, Pointer value, int length) throws LastErrorException;
    }

    /** Loads the native library when it is first used. */
    private static final class LibraryHolder {
        private static final SocketLibrary LIBRARY = load();

        private static SocketLibrary load() {
            String directory = System.getenv("TMPDIR");
            if (directory != null) {
                System.setProperty("jna.tmpdir", directory);
            }
            return Native.load("c", SocketLibrary.class);
        }
    }

    /** Loads what {@link #steerToNewer} needs, on a thread of its own; a failure shows at that call. */
    public static void prepare() {
        startThread(ReusePortSteering::loadLibrary);
    }

    private static void loadLibrary() {
        try {
            MethodHandles.lookup().ensureInitialized(LibraryHolder.class);
        } catch (IllegalAccessException | LinkageError e) {
            return;
        }
    }

    /**
     * Directs new connections to the newer of the two sockets that listen at the address, one of them this process's.
     * Works on a thread of its own. Completes once it is so; completes exceptionally with an {@link IOException} that
     * says why it can't be.
     */
    public static CompletableFuture<Void> steerToNewer(InetSocketAddress address) {
        return CompletableFuture.runAsync(() -> attach(address), ReusePortSteering::startThread);
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work, "steering");
        thread.setDaemon(true);
        thread.start();
    }

    private static void attach(InetSocketAddress address) {
        try {
            if (!isSupported()) {
                throw new IOException("not supported on this system");
            }
            Set<String> listening = ListeningSockets.inodesAt(address);
            if (listening.size() != GROUP_SIZE) {
                throw new IOException(listening.size() + " sockets listen at " + address);
            }
            int socket = ListeningSockets.ownDescriptor(listening);
            if (socket < 0) {
                throw new IOException("no descriptor of this process listens at " + address);
            }
            attach(socket);
        } catch (IOException | LastErrorException e) {
            throw new CompletionException(e);
        } catch (LinkageError e) {
            throw new CompletionException(new IOException("no native library: " + e, e));
        }
    }

    private static void attach(int socket) {
        try (Memory instruction = new Memory(INSTRUCTION_BYTES);
                Memory program = new Memory(PROGRAM_BYTES)) {
            instruction.clear();
            instruction.setShort(0, RETURN_CONSTANT);
            instruction.setInt(INSTRUCTION_VALUE_OFFSET, NEWER_INDEX);
            program.clear();
            program.setShort(0, (short) 1);
            program.setPointer(PROGRAM_ADDRESS_OFFSET, instruction);
            LibraryHolder.LIBRARY.setsockopt(socket, SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program, PROGRAM_BYTES);
        }
    }

    private static boolean isSupported() {
        return Platform.isLinux() && Platform.is64Bit() && (Platform.isIntel() || Platform.isARM());
    }
}
