package brackenbridge.lab.world;

/** An experiment's file that can't be used: one line that names file, line, column and reason. */
public final class FileFault extends Exception {
    private static final long serialVersionUID = 1;

    /** Says where and why. */
    public FileFault(String file, int line, int column, String reason) {
        super(file + ":" + line + ":" + column + ": " + reason);
    }

    /** Says why, of the file as a whole. */
    public FileFault(String file, String reason) {
        super(file + ": " + reason);
    }
}
