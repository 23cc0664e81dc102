package brackenbridge.transport;

import com.sun.jna.Function;

/**
 * Ends the process by {@code _exit(2)} alone. The virtual machine's own exit waits for several of its threads in turn,
 * and for up to 300 ms for those inside system calls; on a crowded machine each of them may wait long for a processor.
 */
public final class ImmediateExit {
    private static final Object[] NO_ARGUMENTS = {};

    /** Null until it is prepared. */
    private static volatile Function exit;

    private ImmediateExit() {}

    /**
     * Loads what {@link #exit} needs; blocks meanwhile.
     */
    public static void prepare() {
        try {
            // The first call through JNA loads classes.
            CLibrary.functions().getFunction("getpid").invokeInt(NO_ARGUMENTS);
            exit = CLibrary.functions().getFunction("_exit");
        } catch (LinkageError e) {
            exit = null;
        }
    }

    /** Ends the process with this status, without shutdown hooks; returns only if it is not prepared. */
    public static void exit(int status) {
        Function prepared = exit;
        if (prepared != null) {
            prepared.invokeVoid(new Object[] {status});
        }
    }
}
