package brackenbridge.cli;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.handover.Handover;
import brackenbridge.log.Log;
import brackenbridge.mgmt.ManagementCall;
import brackenbridge.net.Node;
import brackenbridge.wire.WireHost;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.ServiceLoader;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** The command line. */
public final class Main {
    private static final int USAGE = 2;

    private Main() {}

    @Parameters(commandDescription = "Serve as a node")
    private static final class Serve {
        @Parameter(names = "--config", description = "The configuration file; by default $PROXY_CONFIG")
        private String config = System.getenv("PROXY_CONFIG");
    }

    @Parameters(commandDescription = "Check a configuration file and say what it holds")
    private static final class Check {
        @Parameter(names = "--config", description = "The configuration file; by default $PROXY_CONFIG")
        private String config = System.getenv("PROXY_CONFIG");
    }

    @Parameters(commandDescription = "Speak the simulator's wire on standard input and output")
    private static final class Wire {}

    @Parameters(commandDescription = "Make a management call to a running node: PING, INFO, LAMEDUCK or REJOIN")
    private static final class Manage {
        @Parameter(names = "--at", description = "Its second address; by default $PROXY_MGMT")
        private String at = System.getenv("PROXY_MGMT");

        @Parameter(description = "CALL", required = true)
        private String call;
    }

    @Parameters(commandDescription = "Print the version")
    private static final class Version {}

    /** Runs one of the commands. */
    public static void main(String[] args) throws IOException {
        // Both programs of the deployment start without the command line's parser, which takes a fifth of a node's
        // way to its listener: clients wait for a node that restarts.
        if (args.length == 1 && args[0].equals("wirehost")) {
            System.exit(WireHost.serve());
        }
        if (args.length == 1 && args[0].equals("serve")) {
            serve(System.getenv("PROXY_CONFIG"));
            return;
        }
        if (args.length == 1 && args[0].equals("train")) {
            Training.run();
        }
        Extension extension = args.length == 0 ? null : extension(args[0]);
        if (extension != null) {
            System.exit(extension.run(Arrays.copyOfRange(args, 1, args.length)));
        }
        Serve serve = new Serve();
        Check check = new Check();
        Manage manage = new Manage();
        JCommander line = JCommander.newBuilder()
                .programName("brackenbridge")
                .addCommand("serve", serve)
                .addCommand("wirehost", new Wire())
                .addCommand("check-config", check)
                .addCommand("manage", manage)
                .addCommand("version", new Version())
                .build();
        try {
            line.parse(args);
        } catch (ParameterException e) {
            fail(e.getMessage());
        }
        if (line.getParsedCommand() == null) {
            line.usage();
            System.exit(USAGE);
        }
        switch (line.getParsedCommand()) {
            case "serve" -> serve(serve.config);
            case "check-config" -> {
                Config c = config(check.config);
                System.out.println(c.name() + ": tier " + c.settings().tier() + ", "
                        + c.settings().classes().size() + " classes, "
                        + c.configuredEndpoints().endpoints().size() + " targets known, " + c.sockets() + " sockets");
            }
            case "manage" -> manage(manage);
            case "version" -> {
                String version = Main.class.getPackage().getImplementationVersion();
                System.out.println("brackenbridge " + (version == null ? "(not packaged)" : version));
            }
            default -> System.exit(WireHost.serve());
        }
    }

    private static void manage(Manage m) {
        if (m.at == null) {
            fail("no address: give --at ADDRESS:PORT or set PROXY_MGMT");
        }
        try {
            String answer = ManagementCall.make(m.at, m.call);
            System.out.print(answer);
            System.exit(answer.startsWith("+OK") ? 0 : 1);
        } catch (IllegalArgumentException e) {
            fail(e.getMessage());
        } catch (IOException e) {
            System.err.println("brackenbridge: no answer from " + m.at + ": " + e.getMessage());
            System.exit(1);
        }
    }

    private static Extension extension(String name) {
        for (Extension e : ServiceLoader.load(Extension.class)) {
            if (e.name().equals(name)) {
                return e;
            }
        }
        return null;
    }

    private static Config config(String file) {
        if (file == null) {
            fail("no configuration: give --config FILE or set PROXY_CONFIG");
        }
        try {
            return Config.read(Path.of(file)).withManagement(System.getenv("PROXY_MGMT"));
        } catch (IllegalArgumentException e) {
            fail("bad configuration: " + e.getMessage());
            throw e;
        }
    }

    /** Says why the command line or a file can't be used, and ends the process. */
    public static void fail(String why) {
        System.err.println("brackenbridge: " + why);
        System.exit(USAGE);
    }

    /** What another module runs beside a node, in its process. */
    public interface NodeExtension {
        /** The node is about to start. */
        void begin(Node node) throws IOException;

        /** The node has answered everything. */
        void end();
    }

    static void serve(String file) {
        serve(file, null);
    }

    /** Serves by this configuration until a signal ends it; {@code beside} makes what runs beside it, or is null. */
    public static void serve(String file, Function<Config, NodeExtension> beside) {
        Config config = config(file);
        NodeExtension other = beside == null ? null : beside.apply(config);
        // Netty's flight recorder events are not used here; to look for them costs a start more than the listener.
        System.setProperty("io.netty.jfr.enabled", "false");
        Clock clock = Clock.system();
        Log log = new Log(clock, System.err);
        String directory = System.getenv("TMPDIR");
        Node node = new Node(
                config,
                clock,
                log,
                directory == null ? null : Handover.path(directory, config.name(), config.listen()));
        if (!HangupSignal.handle(() -> node.reconfigure(() -> Config.read(Path.of(file))))) {
            log.warn("no SIGHUP will be heard, it is ignored here (as under nohup) or unknown: the configuration is"
                    + " read at the start only");
        }
        // SIGTERM runs the hooks and would exit with 143; a stop that ends well ends with 0.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            try {
                                node.stop().get(1, TimeUnit.MINUTES);
                                if (other != null) {
                                    other.end();
                                }
                                log.flush();
                                Runtime.getRuntime().halt(0);
                            } catch (InterruptedException
                                    | java.util.concurrent.ExecutionException
                                    | java.util.concurrent.TimeoutException e) {
                                System.err.println("brackenbridge: stop failed: " + e);
                                Runtime.getRuntime().halt(1);
                            }
                        },
                        "stop"));
        try {
            if (other != null) {
                other.begin(node);
            }
            node.start();
        } catch (Exception e) {
            // Netty throws a failed bind as it is, and that is no RuntimeException.
            System.err.println("brackenbridge: can't listen on " + config.listen() + ": " + e.getMessage());
            Runtime.getRuntime().halt(USAGE);
        }
    }
}
