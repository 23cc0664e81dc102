package brackenbridge.cli;

/**
 * A command that another module brings, found on the class path by ServiceLoader: the node's own program stays slim,
 * and a heavy library comes only where its module does.
 */
public interface Extension {
    /** The command's name. */
    String name();

    /** Runs it with the words after its name; what it returns is the exit status. */
    int run(String[] args);
}
