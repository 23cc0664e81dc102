package brackenbridge.cli;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.handover.Handover;
import brackenbridge.log.Log;
import brackenbridge.net.Node;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.channels.Channels;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

/** The command {@code serve}: a node that serves until a signal ends its process. */
final class ServeCommand {
    private static final long MAX_STOP_MINUTES = 1;

    private ServeCommand() {}

    /** Starts a node by this configuration; {@code extensionFactory} makes what runs in its process, or is null. */
    static void run(String file, Function<Config, Main.NodeExtension> extensionFactory) {
        Config config = readConfig(file);
        Main.NodeExtension extension = extensionFactory == null ? null : extensionFactory.apply(config);
        // Netty's flight recorder events are not used here; to look for them costs a start more than the listener.
        System.setProperty("io.netty.jfr.enabled", "false");
        Clock clock = Clock.system();
        FileChannel errors = new FileOutputStream(FileDescriptor.err).getChannel();
        Log log = new Log(clock, new PrintStream(Channels.newOutputStream(errors), true, StandardCharsets.UTF_8));
        Node node = new Node(config, clock, log, handoverPath(config));
        if (!HangupSignal.handle(() -> node.reconfigure(() -> Config.read(Path.of(file))))) {
            log.warn("no SIGHUP will be heard, it is ignored here (as under nohup) or unknown: the configuration is"
                    + " read at the start only");
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node, extension, log, errors), "stop"));
        start(node, extension, config);
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
        return directory == null ? null : Handover.path(directory, config.name(), config.listen());
    }

    private static void start(Node node, Main.NodeExtension extension, Config config) {
        try {
            if (extension != null) {
                extension.begin(node);
            }
            node.start();
        } catch (Exception e) {
            // Netty throws a failed bind as it is, and that is no RuntimeException.
            System.err.println("brackenbridge: can't listen on " + config.listen() + ": " + e.getMessage());
            Runtime.getRuntime().halt(Main.EXIT_USAGE);
        }
    }

    /** Runs at SIGTERM, which would end the process with 143 after its hooks; a stop that succeeds ends it with 0. */
    private static void stop(Node node, Main.NodeExtension extension, Log log, FileChannel errors) {
        try {
            node.stop().get(MAX_STOP_MINUTES, TimeUnit.MINUTES);
            if (extension != null) {
                extension.end();
            }
            log.flush();
            node.parkEventLoops();
            // Ends a write that nobody reads: the exit would wait for it.
            errors.close();
            Runtime.getRuntime().halt(0);
        } catch (IOException | InterruptedException | ExecutionException | TimeoutException e) {
            System.err.println("brackenbridge: stop failed: " + e);
            Runtime.getRuntime().halt(1);
        }
    }
}
