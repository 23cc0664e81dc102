package brackenbridge.cli;

import brackenbridge.config.Config;
import brackenbridge.net.Node;
import brackenbridge.wire.WireHost;
import java.io.IOException;
import java.util.Arrays;
import java.util.ServiceLoader;
import java.util.function.Function;

/** The program's entry: runs one of the node's commands or one that another module adds. */
public final class Main {
    /** The exit status for arguments or a configuration that can't be used. */
    static final int EXIT_USAGE = 2;

    private Main() {}

    /** Runs the command that the arguments begin with. */
    public static void main(String[] args) throws IOException {
        if (args.length == 1) {
            runWithoutOptions(args[0]);
        } else {
            runWithOptions(args);
        }
    }

    /**
     * Both programs of the deployment start without the parser of the command line, which takes a fifth of the time
     * from a node's start to its listener: clients wait for a node that restarts.
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

    /** Says why the command line or a file can't be used, and ends the process. */
    public static void fail(String why) {
        System.err.println("brackenbridge: " + why);
        System.exit(EXIT_USAGE);
    }

    /** What another module runs in a node's process. */
    public interface NodeExtension {
        /** The node is about to start. */
        void onStarting(Node node) throws IOException;

        /** The node has answered every request. */
        void onStopped();
    }

    static void serve(String file) {
        serve(file, null);
    }

    /**
     * Serves by this configuration until a signal ends the process.
     *
     * @param extensionFactory makes what runs in the node's process; null if nothing does
     */
    public static void serve(String file, Function<Config, NodeExtension> extensionFactory) {
        ServeCommand.run(file, extensionFactory);
    }
}
