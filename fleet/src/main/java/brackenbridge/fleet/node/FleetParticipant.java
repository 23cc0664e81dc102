package brackenbridge.fleet.node;

import brackenbridge.cli.Main;
import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.core.Event;
import brackenbridge.core.share.TenantUsage;
import brackenbridge.fleet.config.FleetFile;
import brackenbridge.fleet.evacuation.CommandFilter;
import brackenbridge.fleet.evacuation.WeightCommand;
import brackenbridge.fleet.peer.MessageStream;
import brackenbridge.fleet.replica.RecordSpace;
import brackenbridge.fleet.share.PoolUse;
import brackenbridge.net.Node;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A node that is also a member of a fleet. It publishes the node's observations as replicated records and passes the
 * fleet's decisions to the node's reducer as events. It never blocks the node's event loop.
 */
public final class FleetParticipant implements Main.NodeExtension {
    private static final Logger LOG = LoggerFactory.getLogger(FleetParticipant.class);
    private static final long POOL_REPORT_INTERVAL_MS = 1000;
    private static final long DEMAND_REPORT_INTERVAL_MS = 500;

    private final FleetFile fleetFile;
    private final Config config;
    private final String pool;
    private final ObjectMapper json = new ObjectMapper();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, r -> {
        Thread thread = new Thread(r, "fleet-values");
        thread.setDaemon(true);
        return thread;
    });
    private FleetNode member;
    private final Set<String> publishedDemandKeys = new HashSet<>();
    private final Set<String> publishedPoolKeys = new HashSet<>();

    /** Creates the member for the node with this configuration. */
    public FleetParticipant(FleetFile file, Config config) {
        this.fleetFile = file;
        this.config = config;
        pool = "tier-" + config.settings().tier();
    }

    @Override
    public void onStarting(Node node) throws IOException {
        Clock clock = Clock.system();
        member = new FleetNode(fleetFile, config.name(), clock);
        double connectionsPerServer =
                fleetFile.shares() == null ? 0 : fleetFile.shares().connectionsPerServer();
        PoolReporter reporter = new PoolReporter(
                pool,
                connectionsPerServer,
                config.settings().coldCapacityRatio(),
                config.settings().warmUpTime() / 1000.0);
        CommandFilter commandFilter = new CommandFilter(fleetFile.agreement().maxClockDrift());
        member.links().setReceiver(MessageStream.EVACUATION, (peer, incarnation, body) -> {
            try {
                applyCommand(commandFilter, WeightCommand.decode(body), clock.nowMs(), node);
            } catch (IOException e) {
                LOG.warn("malformed weight command from {}: {}", peer, e.getMessage());
            }
        });
        member.start();
        node.startObserving();
        scheduleEvery(
                POOL_REPORT_INTERVAL_MS,
                () -> publish(RecordSpace.POOLS, reporter.report(node.observation()), publishedPoolKeys));
        scheduleEvery(DEMAND_REPORT_INTERVAL_MS, () -> {
            List<TenantUsage> tenants = node.tenantUse().join();
            Map<String, PoolUse> uses = new TreeMap<>();
            tenants.forEach(u -> uses.put(
                    pool + "/" + u.tenant(),
                    new PoolUse(u.demand(), u.meanRunning(), u.rejectedPerSecond(), u.meanHoldMs())));
            publish(RecordSpace.DEMAND, uses, publishedDemandKeys);
        });
    }

    /** Applies a command; synchronized, since commands arrive on the threads of several peers. */
    private static void applyCommand(CommandFilter commandFilter, WeightCommand command, double nowMs, Node node) {
        synchronized (commandFilter) {
            commandFilter.accept(command, nowMs).ifPresent(w -> node.enqueue(new Event.ZoneWeightsReceived(w)));
        }
    }

    /** Writes these records, and removes earlier ones whose keys are not among them. */
    private void publish(RecordSpace space, Map<String, ?> records, Set<String> publishedKeys) {
        records.forEach((key, value) -> {
            try {
                member.replica().put(space, key, json.writeValueAsBytes(value));
            } catch (JsonProcessingException e) {
                throw new IllegalStateException(e);
            }
        });
        publishedKeys.stream()
                .filter(k -> !records.containsKey(k))
                .forEach(k -> member.replica().remove(space, k));
        publishedKeys.clear();
        publishedKeys.addAll(records.keySet());
    }

    private void scheduleEvery(long ms, Runnable work) {
        timer.scheduleWithFixedDelay(
                () -> {
                    try {
                        work.run();
                    } catch (RuntimeException e) {
                        // Guards the next run: the scheduler cancels a task that throws.
                        LOG.error("failed to publish records", e);
                    }
                },
                ms,
                ms,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void onStopped() {
        timer.shutdownNow();
        member.close();
    }
}
