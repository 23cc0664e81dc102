package brackenbridge.cli;

import brackenbridge.config.Config;
import brackenbridge.net.Node;
import brackenbridge.wire.WireHost;
import java.io.IOException;
import java.util.Arrays;
import java.util.ServiceLoader;
import java.util.function.Function;

/** The program's entry point: runs one of the node's commands or one that another module adds. */
public final class Main {
    /** The exit status for invalid arguments or an invalid configuration. */
    static final int EXIT_USAGE = 2;

    private Main() {}

    /** Runs the command named by the first argument. */
    public static void main(String[] args) throws IOException {
        if (args.length == 1) {
            runWithoutOptions(args[0]);
        } else {
            runWithOptions(args);
        }
    }

    /**
     * Runs the commands of the deployment without the command line parser, which takes a fifth of the time from the
     * start of a node to its listener. Clients of a restarting node wait for that time.
     */
    private static void runWithoutOptions(String command) throws IOException {
        switch (command) {
            case "wirehost" -> System.exit(WireHost.serve());
            case "serve" -> serve(System.getenv("PROXY_CONFIG"));
            case "train" -> Training.run();
            default -> runWithOptions(new String[] {command});
        }
    }

    private static void runWithOptions(String[] args) throws IOException {
        Extension extension = args.length == 0 ? null : findExtension(args[0]);
        if (extension != null) {
            System.exit(extension.run(Arrays.copyOfRange(args, 1, args.length)));
        }
        new CommandLine().run(args);
    }

    private static Extension findExtension(String name) {
        for (Extension extension : ServiceLoader.load(Extension.class)) {
            if (extension.name().equals(name)) {
                return extension;
            }
        }
        return null;
    }

    /** Prints the reason why the command line or a file can't be used, and ends the process. */
    public static void fail(String reason) {
        System.err.println("brackenbridge: " + reason);
        System.exit(EXIT_USAGE);
    }

    /** A component of another module that runs in the process of a node. */
    public interface NodeExtension {
        /** Called before the node starts. */
        void onStarting(Node node) throws IOException;

        /** Called once the node has answered every request. */
        void onStopped();
    }

    static void serve(String file) {
        serve(file, null);
    }

    /**
     * Runs a node with this configuration until a signal ends the process.
     *
     * @param extensionFactory creates the extension of the node; null for a node without one
     */
    public static void serve(String file, Function<Config, NodeExtension> extensionFactory) {
        ServeCommand.run(file, extensionFactory);
    }
}
