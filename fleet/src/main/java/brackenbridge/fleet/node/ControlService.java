package brackenbridge.fleet.node;

import brackenbridge.clock.Clock;
import brackenbridge.fleet.agreed.AgreementMember;
import brackenbridge.fleet.config.FleetFile;
import brackenbridge.fleet.control.ControlMachine;
import brackenbridge.fleet.control.ControlServer;
import brackenbridge.fleet.control.FleetStatus;
import brackenbridge.fleet.control.NodeNames;
import brackenbridge.fleet.control.ReportExchange;
import brackenbridge.fleet.control.Resource;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A control machine: a member of the fleet that distributes agreed values to the subscribed nodes. */
public final class ControlService implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ControlService.class);
    private static final long REPORT_INTERVAL_MS = 1000;

    private final FleetNode member;
    private final ControlServer server;
    private final ReportExchange exchange;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "control-reports");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Creates a control machine, which reads its data from disk and is not started yet.
     *
     * @throws IllegalArgumentException if the fleet file does not contain a control machine with this name
     * @throws IOException if the data on disk can't be used
     */
    public ControlService(FleetFile file, String name, Clock clock) throws IOException {
        ControlMachine machine = file.control() == null ? null : file.control().machine(name);
        if (machine == null) {
            throw new IllegalArgumentException("the fleet file contains no control machine named '" + name + "'");
        }
        member = new FleetNode(file, name, clock);
        AgreementMember agreed = member.agreement();
        int colon = machine.address().lastIndexOf(':');
        InetSocketAddress address = new InetSocketAddress(
                machine.address().substring(0, colon),
                Integer.parseInt(machine.address().substring(colon + 1)));
        server = new ControlServer(
                new ControlServer.Settings(
                        file.fleet(),
                        name,
                        address,
                        new NodeNames(file.control().nodes()),
                        file.control().limits()),
                clock,
                agreed::hasValidLease,
                member.metrics());
        exchange = new ReportExchange(member.links(), clock);
        member.setNodeStatusSupplier(() -> FleetStatus.format(exchange.latestReports()));
        agreed.addValueListener(value -> agreed.lastKnown(value)
                .ifPresent(known -> server.publish(new Resource(known.name(), known.generation(), known.content()))));
    }

    /** Starts the control machine; fails if an address can't be bound. */
    public void start() throws IOException {
        member.start();
        server.start();
        timer.scheduleWithFixedDelay(this::sendReport, REPORT_INTERVAL_MS, REPORT_INTERVAL_MS, TimeUnit.MILLISECONDS);
        LOG.info("control machine {} serves nodes at {}", member.self().name(), server.address());
    }

    private void sendReport() {
        try {
            exchange.send(server.report());
        } catch (RuntimeException e) {
            // Guards the next report: the scheduler cancels a task that throws.
            LOG.error("failed to send the report of subscribed nodes", e);
        }
    }

    /** Returns the address at which nodes connect. */
    public InetSocketAddress address() {
        return server.address();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        server.close();
        member.close();
    }
}
