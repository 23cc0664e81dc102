package brackenbridge.fleet.cli;

import brackenbridge.cli.Extension;
import brackenbridge.clock.Clock;
import brackenbridge.fleet.config.FleetFile;
import brackenbridge.fleet.config.FleetFileException;
import brackenbridge.fleet.node.ControlService;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.nio.file.Path;

/** Runs a control machine until the process receives a signal. */
public final class ControlCommand implements Extension {
    private static final int EXIT_USAGE = 2;

    private static final class Options {
        @Parameter(names = "--fleet", description = "The fleet file", required = true)
        private String fleet;

        @Parameter(names = "--name", description = "This machine's name in the fleet file", required = true)
        private String name;

        @Parameter(names = "--json-log", description = "Write log lines as JSON")
        private boolean json;
    }

    /** Called by the ServiceLoader. */
    public ControlCommand() {}

    @Override
    public String name() {
        return "control";
    }

    @Override
    public int run(String[] args) {
        Options options = new Options();
        ControlService service;
        try {
            JCommander.newBuilder()
                    .programName("brackenbridge control")
                    .addObject(options)
                    .build()
                    .parse(args);
            if (options.json) {
                System.setProperty("logback.configurationFile", "logback-json.xml");
            }
            service = new ControlService(FleetFile.read(Path.of(options.fleet)), options.name, Clock.system());
            service.start();
        } catch (ParameterException | IllegalArgumentException | IOException e) {
            System.err.println("brackenbridge: " + e.getMessage());
            return EXIT_USAGE;
        } catch (FleetFileException e) {
            System.err.println(String.join("; ", e.faults()));
            return EXIT_USAGE;
        }
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            service.close();
                            // After its hooks the runtime would exit with 143; a clean shutdown has to exit with 0.
                            Runtime.getRuntime().halt(0);
                        },
                        "stop"));
        System.out.println("control machine " + options.name + " serves nodes at "
                + service.address().getAddress().getHostAddress() + ":"
                + service.address().getPort());
        try {
            Thread.currentThread().join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }
}
