package brackenbridge.lab.soak;

import com.sun.jna.LastErrorException;
import com.sun.jna.Library;
import com.sun.jna.Native;

/** Sends signals to processes that the soak has started, without a program in between that would delay them. */
final class Signals {
    /** Reload. */
    static final int SIGHUP = 1;
    /** Stop in an orderly way. */
    static final int SIGTERM = 15;
    /** Go on. */
    static final int SIGCONT = 18;
    /** Stand still. */
    static final int SIGSTOP = 19;

    /** Checks whether the process is there, and sends nothing. */
    private static final int NO_SIGNAL = 0;

    private static final int NO_SUCH_PROCESS = 3;

    /** The call of the C library. */
    public interface Kill extends Library {
        /** {@code kill(2)}. */
        int kill(int pid, int signal) throws LastErrorException;
    }

    private static final Kill LIBRARY = Native.load("c", Kill.class);

    private Signals() {}

    /** Loads the library, for which the first signal would otherwise wait after its time was taken. */
    static void load() {
        LIBRARY.kill(Math.toIntExact(ProcessHandle.current().pid()), NO_SIGNAL);
    }

    /** Sends a signal; false if the process has ended. */
    static boolean send(Process process, int signal) {
        if (!process.isAlive()) {
            return false;
        }
        try {
            LIBRARY.kill(Math.toIntExact(process.pid()), signal);
            return true;
        } catch (LastErrorException e) {
            if (e.getErrorCode() == NO_SUCH_PROCESS) {
                return false;
            }
            throw e;
        }
    }
}
