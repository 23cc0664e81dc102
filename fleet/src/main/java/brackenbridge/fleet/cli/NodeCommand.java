package brackenbridge.fleet.cli;

import brackenbridge.cli.Extension;
import brackenbridge.cli.Main;
import brackenbridge.fleet.config.FileFaults;
import brackenbridge.fleet.config.FleetFile;
import brackenbridge.fleet.node.Together;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;

/** Serves as a node with its part of the fleet in the same process. */
public final class NodeCommand implements Extension {
    private static final class Line {
        @Parameter(names = "--config", description = "The node's configuration; by default $PROXY_CONFIG")
        private String config = System.getenv("PROXY_CONFIG");
        @Parameter(names = "--fleet", description = "The fleet's file", required = true)
        private String fleet;
        @Parameter(names = "--json-log", description = "The fleet's log lines as JSON")
        private boolean json;
    }

    /** For the ServiceLoader. */
    public NodeCommand() {
    }

    @Override
    public String name() {
        return "node";
    }

    @Override
    public int run(String[] args) {
        Line line = new Line();
        FleetFile file;
        try {
            JCommander.newBuilder().programName("brackenbridge node").addObject(line).build().parse(args);
            if (line.json) {
                System.setProperty("logback.configurationFile", "logback-json.xml");
            }
            file = FleetFile.read(Path.of(line.fleet));
        } catch (ParameterException e) {
            System.err.println("brackenbridge: " + e.getMessage());
            return 2;
        } catch (FileFaults e) {
            System.err.println(String.join("; ", e.faults()));
            return 2;
        }
        Main.serve(line.config, config -> new Together(file, config));
        // The signal ends the process; what returns here would end it at once.
        try {
            Thread.currentThread().join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }
}
