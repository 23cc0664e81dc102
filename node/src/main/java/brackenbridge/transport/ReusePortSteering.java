package brackenbridge.transport;

import com.sun.jna.LastErrorException;
import com.sun.jna.Library;
import com.sun.jna.Memory;
import com.sun.jna.Platform;
import com.sun.jna.Pointer;
import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * Directs new connections to the newer of two sockets that listen at the same address with SO_REUSEPORT, so that the
 * queue of the older one can be drained before it is closed. The kernel resets the connections that are queued at a
 * listening socket when it is closed, and without steering it may queue connections there at any time.
 *
 * <p>It attaches a program of one instruction to the group of sockets (SO_ATTACH_REUSEPORT_CBPF, Linux 4.5; see
 * socket(7)): return the index of the newer socket. Handshakes in progress complete at the socket where they started.
 * The program stays attached to the group; for an index without a socket the kernel selects by a hash of the addresses.
 */
public final class ReusePortSteering {
    /** The constants of the architectures that {@link #isSupported} accepts. */
    private static final int SOL_SOCKET = 1;

    private static final int SO_ATTACH_REUSEPORT_CBPF = 51;

    private static final int GROUP_SIZE = 2;
    private static final int NEWER_INDEX = 1;

    /** {@code BPF_RET | BPF_K}: returns the value of the instruction. */
    private static final short RETURN_CONSTANT = 0x06;
    /** {@code struct sock_filter}: a code of 16 bits, two offsets of a jump, a value of 32 bits. */
    private static final int INSTRUCTION_BYTES = 8;

    private static final int INSTRUCTION_VALUE_OFFSET = 4;
    /** {@code struct sock_fprog}: a length of 16 bits, and the address of the instructions. */
    private static final int PROGRAM_BYTES = 16;

    private static final int PROGRAM_ADDRESS_OFFSET = 8;

    private ReusePortSteering() {}

    /** The binding of the C library's function. */
    private interface SocketLibrary extends Library {
        int setsockopt(int socket, int level, int option, Pointer value, int length) throws LastErrorException;
    }

    /** Loads the native library when it is first used. */
    private static final class LibraryHolder {
        private static final SocketLibrary LIBRARY = CLibrary.bind(SocketLibrary.class);
    }

    /** Loads the library for {@link #steerToNewer} on a separate thread; a failure is reported by that method. */
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
     * Runs on a separate thread. Completes once the program is attached, or exceptionally with an {@link IOException}
     * that describes the failure.
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
