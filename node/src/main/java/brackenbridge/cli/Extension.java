package brackenbridge.cli;

/**
 * A command that another module provides. It is found on the class path by ServiceLoader, so that the node's program
 * does not depend on the libraries of that module.
 */
public interface Extension {
    /** The name of the command on the command line. */
    String name();

    /** Runs the command with the arguments after its name; returns the exit status. */
    int run(String[] args);
}
