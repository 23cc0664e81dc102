package brackenbridge.cli;

import brackenbridge.config.Config;
import brackenbridge.mgmt.ManagementCall;
import brackenbridge.wire.WireHost;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.IOException;

/** Parses the command line and runs the node's own commands. */
final class CommandLine {
    private final Serve serve = new Serve();
    private final CheckConfig checkConfig = new CheckConfig();
    private final Manage manage = new Manage();
    private final JCommander parser = JCommander.newBuilder()
            .programName("brackenbridge")
            .addCommand("serve", serve)
            .addCommand("wirehost", new Wire())
            .addCommand("check-config", checkConfig)
            .addCommand("manage", manage)
            .addCommand("version", new Version())
            .build();

    @Parameters(commandDescription = "Run a node")
    private static final class Serve {
        @Parameter(names = "--config", description = "The configuration file; by default $PROXY_CONFIG")
        private String config = System.getenv("PROXY_CONFIG");
    }

    @Parameters(commandDescription = "Check a configuration file and print a summary")
    private static final class CheckConfig {
        @Parameter(names = "--config", description = "The configuration file; by default $PROXY_CONFIG")
        private String config = System.getenv("PROXY_CONFIG");
    }

    @Parameters(commandDescription = "Run balancer instances for the simulator on standard input and output")
    private static final class Wire {}

    @Parameters(commandDescription = "Make a management call to a running node: PING, INFO, LAMEDUCK or REJOIN")
    private static final class Manage {
        @Parameter(names = "--at", description = "The management address of the node; by default $PROXY_MGMT")
        private String address = System.getenv("PROXY_MGMT");

        @Parameter(description = "CALL", required = true)
        private String call;
    }

    @Parameters(commandDescription = "Print the version")
    private static final class Version {}

    /** Runs the command that these arguments name; ends the process if they name none. */
    void run(String[] args) throws IOException {
        try {
            parser.parse(args);
        } catch (ParameterException e) {
            Main.fail(e.getMessage());
        }
        if (parser.getParsedCommand() == null) {
            parser.usage();
            System.exit(Main.EXIT_USAGE);
        }
        switch (parser.getParsedCommand()) {
            case "serve" -> Main.serve(serve.config);
            case "check-config" -> printSummary(ServeCommand.readConfig(checkConfig.config));
            case "manage" -> callNode();
            case "version" -> printVersion();
            default -> System.exit(WireHost.serve());
        }
    }

    private static void printSummary(Config config) {
        System.out.println(config.name() + ": tier " + config.settings().tier() + ", "
                + config.settings().classes().size() + " classes, "
                + config.configuredEndpoints().endpoints().size() + " known endpoints, " + config.sockets()
                + " sockets");
    }

    private static void printVersion() {
        String version = Main.class.getPackage().getImplementationVersion();
        System.out.println("brackenbridge " + (version == null ? "(not packaged)" : version));
    }

    /** Sends the management call and ends the process: with 0 if the node accepted it, otherwise with 1. */
    private void callNode() {
        if (manage.address == null) {
            Main.fail("no address: give --at ADDRESS:PORT or set PROXY_MGMT");
        }
        try {
            String answer = ManagementCall.send(manage.address, manage.call);
            System.out.print(answer);
            System.exit(answer.startsWith("+OK") ? 0 : 1);
        } catch (IllegalArgumentException e) {
            Main.fail(e.getMessage());
        } catch (IOException e) {
            System.err.println("brackenbridge: no response from " + manage.address + ": " + e.getMessage());
            System.exit(1);
        }
    }
}
