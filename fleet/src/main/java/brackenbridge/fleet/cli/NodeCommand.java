package brackenbridge.fleet.cli;

import brackenbridge.cli.Extension;
import brackenbridge.cli.Main;
import brackenbridge.fleet.config.FleetFile;
import brackenbridge.fleet.config.FleetFileException;
import brackenbridge.fleet.node.FleetParticipant;
import brackenbridge.fleet.node.NodeSubscription;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;

/** Runs a node that is a member of a fleet, or that subscribes to the control machines of one. */
public final class NodeCommand implements Extension {
    private static final class Options {
        @Parameter(names = "--config", description = "The node's configuration file; by default $PROXY_CONFIG")
        private String config = System.getenv("PROXY_CONFIG");

        @Parameter(names = "--fleet", description = "The file of the fleet that the node is a member of")
        private String fleet;

        @Parameter(
                names = "--control",
                description = "The file of the fleet whose control machines the node subscribes to")
        private String control;

        @Parameter(names = "--region", description = "The region of the node, for --control")
        private String region = "default";

        @Parameter(names = "--json-log", description = "Write the fleet's log lines as JSON")
        private boolean json;
    }

    /** Called by the ServiceLoader. */
    public NodeCommand() {}

    @Override
    public String name() {
        return "node";
    }

    @Override
    public int run(String[] args) {
        Options options = new Options();
        FleetFile file;
        try {
            JCommander.newBuilder()
                    .programName("brackenbridge node")
                    .addObject(options)
                    .build()
                    .parse(args);
            if (options.json) {
                System.setProperty("logback.configurationFile", "logback-json.xml");
            }
            if ((options.fleet == null) == (options.control == null)) {
                throw new ParameterException("give one of --fleet and --control");
            }
            file = FleetFile.read(Path.of(options.fleet == null ? options.control : options.fleet));
            if (options.control != null && file.control() == null) {
                throw new ParameterException(options.control + ": contains no control machine");
            }
        } catch (ParameterException e) {
            System.err.println("brackenbridge: " + e.getMessage());
            return 2;
        } catch (FleetFileException e) {
            System.err.println(String.join("; ", e.faults()));
            return 2;
        }
        Main.serve(
                options.config,
                config -> options.fleet != null
                        ? new FleetParticipant(file, config)
                        : new NodeSubscription(file, Path.of(options.config), options.region, config));
        // Returning would end the process; the shutdown hook ends it on a signal.
        try {
            Thread.currentThread().join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }
}
