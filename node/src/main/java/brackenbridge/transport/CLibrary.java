package brackenbridge.transport;

import com.sun.jna.Library;
import com.sun.jna.Native;
import com.sun.jna.NativeLibrary;

/**
 * The C library, which the process has loaded itself, by JNA. JNA unpacks its native part to {@code $TMPDIR} and
 * deletes it at once.
 */
final class CLibrary {
    static {
        String directory = System.getenv("TMPDIR");
        if (directory != null) {
            System.setProperty("jna.tmpdir", directory);
        }
        // No libraries are searched for on disk. Otherwise JNA runs ldconfig to find out where.
        System.setProperty("jna.platform.library.path", "");
    }

    private CLibrary() {}

    /** Binds these functions; throws a {@link LinkageError} if there is no native part for this system. */
    static <T extends Library> T bind(Class<T> functions) {
        return Native.load(functions);
    }

    /** Returns the library for functions that are looked up by name; throws like {@link #bind}. */
    static NativeLibrary functions() {
        return NativeLibrary.getProcess();
    }
}
