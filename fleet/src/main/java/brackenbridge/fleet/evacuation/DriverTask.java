package brackenbridge.fleet.evacuation;

import brackenbridge.fleet.agreed.AgreedValues;
import brackenbridge.fleet.agreed.AgreedValues.EffectiveValues;
import brackenbridge.fleet.agreed.AgreedValues.Lease;
import brackenbridge.fleet.agreed.AgreedValues.Verdict;
import brackenbridge.fleet.evacuation.Driver.Correction;
import brackenbridge.fleet.evacuation.Driver.Decision;
import brackenbridge.fleet.evacuation.Driver.PoolMeasurement;
import brackenbridge.fleet.peer.Member;
import brackenbridge.fleet.peer.MessageStream;
import brackenbridge.fleet.peer.PeerLinks;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the evacuation driver at a member: acquires the driver role while a plan needs a driver, and while it holds the
 * role, sends every node the weights that follow from the agreed record and proposes the next record. {@link #tick} is
 * called a few times per second from one thread and never blocks.
 *
 * <p>Two drivers can't interfere: one member at a time holds the role, commands carry its token, and nodes ignore a
 * command with a lower token. A driver that can't reach a majority loses the role and stops sending; its last commands
 * then expire.
 */
public final class DriverTask {
    /** The name of the role that the driving member holds. */
    public static final String ROLE = "evacuation";

    private static final Logger LOG = LoggerFactory.getLogger(DriverTask.class);

    /**
     * The driver's intervals and timeouts.
     *
     * @param leaseMs the lease time for which the role is requested
     * @param commandIntervalMs how often commands are repeated
     * @param commandValidityMs how long a command is valid: longer than another member needs to take over
     * @param proposalTimeoutMs how long to wait for a proposal
     */
    public record Timing(double leaseMs, double commandIntervalMs, double commandValidityMs, double proposalTimeoutMs) {
        /** The default times. */
        public static final Timing DEFAULTS = new Timing(3000, 500, 10_000, 2500);
    }

    private final AgreedValues agreedValues;
    private final PeerLinks links;
    private final Driver driver;
    private final Timing timing;
    private final Supplier<List<PoolMeasurement>> measurements;
    private final Consumer<Correction> correctionSink;
    private final Consumer<WeightCommand> localCommandSink;
    private CompletableFuture<Lease> pendingLease;
    private CompletableFuture<Verdict> pendingProposal;
    private double lastAcquireMs = Double.NEGATIVE_INFINITY;
    private double lastCommandMs = Double.NEGATIVE_INFINITY;
    private long lastCommandEpoch = -1;

    /**
     * Creates the task of one member.
     *
     * @param measurements supplies the latest measurements of the pools
     * @param correctionSink receives the corrections that rehearsals yield
     * @param localCommandSink receives the commands for this member's own node
     */
    public DriverTask(
            AgreedValues agreedValues,
            PeerLinks links,
            Driver driver,
            Timing timing,
            Supplier<List<PoolMeasurement>> measurements,
            Consumer<Correction> correctionSink,
            Consumer<WeightCommand> localCommandSink) {
        this.agreedValues = agreedValues;
        this.links = links;
        this.driver = driver;
        this.timing = timing;
        this.measurements = measurements;
        this.correctionSink = correctionSink;
        this.localCommandSink = localCommandSink;
    }

    /** Acquires or extends the role, proposes the next record and sends commands where they are due. */
    public void tick(double nowMs) {
        Optional<EffectiveValues> activeValues = agreedValues.effectiveValues(AgreedValues.EVACUATION);
        if (activeValues.isEmpty() || activeValues.get().inForce() == null) {
            return;
        }
        PlanState state = decode(activeValues.get().inForce());
        PlanState otherState = activeValues.get().staged() == null
                ? null
                : decode(activeValues.get().staged());
        if (state == null || activeValues.get().staged() != null && otherState == null) {
            return;
        }
        boolean needsDriver = state.status().needsDriver()
                || otherState != null && otherState.status().needsDriver();
        if (!needsDriver) {
            // Commands of a finished plan expire; the last one already restores the usual weights.
            long generation = activeValues.get().inForce().generation();
            if (lastCommandEpoch != generation) {
                agreedValues
                        .heldLease(ROLE)
                        .ifPresent(lease -> sendCommand(nowMs, lease.token(), state.zoneWeights(), generation));
            }
            return;
        }
        acquireOrExtendRole(nowMs);
        Optional<Lease> lease = agreedValues.heldLease(ROLE);
        if (lease.isEmpty() || state.token() > lease.get().token()) {
            return;
        }
        long token = lease.get().token();
        long epoch = activeValues.get().inForce().generation();
        if (otherState == null && (pendingProposal == null || pendingProposal.isDone())) {
            Decision decision = driver.decide(nowMs, state, epoch, token, measurements.get());
            decision.corrections().forEach(correctionSink);
            if (decision.nextState() != null) {
                LOG.atInfo()
                        .addKeyValue("plan", state.plan().name())
                        .addKeyValue("step", decision.nextState().step())
                        .log(
                                "evacuation status changes to {}: {}",
                                PlanState.lowerCaseName(decision.nextState().status()),
                                decision.nextState()
                                        .history()
                                        .get(decision.nextState().history().size() - 1)
                                        .reason());
                pendingProposal = agreedValues.propose(
                        AgreedValues.EVACUATION, epoch, decision.nextState().encode(), timing.proposalTimeoutMs());
            }
        }
        if (nowMs - lastCommandMs >= timing.commandIntervalMs() || epoch != lastCommandEpoch) {
            sendCommand(nowMs, token, mergeWeights(state, otherState), epoch);
        }
    }

    /** While two records are in force at once, each zone keeps the larger of its two weights: both records allow it. */
    private static Map<String, Double> mergeWeights(PlanState state, PlanState otherState) {
        Map<String, Double> weights = new HashMap<>(state.zoneWeights());
        if (otherState != null) {
            otherState.zoneWeights().forEach((zone, weight) -> weights.merge(zone, weight, Math::max));
            weights.replaceAll(
                    (zone, weight) -> Math.max(weight, otherState.zoneWeights().getOrDefault(zone, 1.0)));
        }
        return weights;
    }

    /** Acquires the role or extends its lease, unless an earlier request is still unanswered. */
    private void acquireOrExtendRole(double nowMs) {
        boolean answered = pendingLease == null || pendingLease.isDone();
        if (answered && nowMs - lastAcquireMs >= timing.leaseMs() / 3) {
            lastAcquireMs = nowMs;
            pendingLease = agreedValues.acquire(ROLE, timing.leaseMs());
        }
    }

    private void sendCommand(double nowMs, long token, Map<String, Double> weights, long epoch) {
        WeightCommand command = new WeightCommand(token, epoch, weights, timing.commandValidityMs());
        byte[] body = command.encode();
        for (Member member : links.peers()) {
            // A full queue drops this command; it is repeated shortly.
            links.send(member.name(), MessageStream.EVACUATION, body);
        }
        localCommandSink.accept(command);
        lastCommandMs = nowMs;
        lastCommandEpoch = epoch;
    }

    private static PlanState decode(AgreedValues.Value value) {
        try {
            return PlanState.decode(value.content());
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("generation", value.generation())
                    .log("cannot decode the agreed evacuation plan: {}", e.getMessage());
            return null;
        }
    }
}
