package brackenbridge.cli;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.handover.Handover;
import brackenbridge.log.Log;
import brackenbridge.net.Node;
import brackenbridge.transport.ImmediateExit;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.channels.Channels;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.function.Function;

/** The command {@code serve}: runs a node until a signal ends the process. */
final class ServeCommand {
    private ServeCommand() {}

    /** Starts a node with this configuration; {@code extensionFactory} creates its extension, or is null. */
    static void run(String file, Function<Config, Main.NodeExtension> extensionFactory) {
        Config config = readConfig(file);
        Main.NodeExtension extension = extensionFactory == null ? null : extensionFactory.apply(config);
        // Netty's flight recorder events are not used, and probing for them takes longer than opening the listener.
        System.setProperty("io.netty.jfr.enabled", "false");
        Clock clock = Clock.system();
        FileChannel errors = new FileOutputStream(FileDescriptor.err).getChannel();
        Log log = new Log(clock, new PrintStream(Channels.newOutputStream(errors), true, StandardCharsets.UTF_8));
        Node node = new Node(config, clock, log, handoverPath(config));
        if (!ProcessSignal.HUP.handle(() -> node.reconfigure(() -> Config.read(Path.of(file))))) {
            log.warn("SIGHUP is ignored (as under nohup) or not supported: the configuration can't be reloaded");
        }
        NodeProcess process = new NodeProcess(node, extension, log, status -> exit(status, node, errors));
        // Stops the node without the shutdown hooks: each is a thread to be started, and the platform's time runs.
        ProcessSignal.TERM.handle(() -> onTerminate(process));
        // For other ends, such as by SIGINT.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> onShutdown(process), "stop"));
        start(node, extension, config);
    }

    private static void exit(int status, Node node, FileChannel errors) {
        ImmediateExit.exit(status);
        // Not prepared: the virtual machine's own exit waits for threads inside system calls.
        node.parkEventLoops();
        try {
            // Unblocks a write to a pipe that nobody reads.
            errors.close();
        } catch (IOException e) {
            System.err.println("brackenbridge: can't close the log: " + e);
        }
        Runtime.getRuntime().halt(status);
    }

    private static void onTerminate(NodeProcess process) {
        process.stop();
        ImmediateExit.prepare();
        process.awaitEnd();
    }

    private static void onShutdown(NodeProcess process) {
        process.stop();
        process.awaitEnd();
    }

    /** Reads the configuration file; ends the process if it can't be used. */
    static Config readConfig(String file) {
        if (file == null) {
            Main.fail("no configuration: give --config FILE or set PROXY_CONFIG");
        }
        try {
            return Config.read(Path.of(file)).withManagement(System.getenv("PROXY_MGMT"));
        } catch (IllegalArgumentException e) {
            Main.fail("bad configuration: " + e.getMessage());
            throw e;
        }
    }

    private static Path handoverPath(Config config) {
        String directory = System.getenv("TMPDIR");
        return directory == null ? null : Handover.socketPath(directory, config.name(), config.listen());
    }

    private static void start(Node node, Main.NodeExtension extension, Config config) {
        try {
            if (extension != null) {
                extension.onStarting(node);
            }
            node.start();
        } catch (Exception e) {
            // Netty rethrows the checked exception of a failed bind, although start() does not declare it.
            System.err.println("brackenbridge: can't listen on " + config.listen() + ": " + e.getMessage());
            Runtime.getRuntime().halt(Main.EXIT_USAGE);
        }
    }
}
