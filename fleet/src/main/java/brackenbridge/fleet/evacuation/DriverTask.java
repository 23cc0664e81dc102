package brackenbridge.fleet.evacuation;

import brackenbridge.fleet.agreed.AgreedValues;
import brackenbridge.fleet.agreed.AgreedValues.Acting;
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
 * A member's part in driving: asks for the role while a plan has to be driven, and while it holds it, tells every node
 * what the agreed record says and proposes what comes next. {@link #tick} is called a few times a second from one
 * thread; it waits for nothing.
 *
 * <p>Two drivers: the role is held by one member at any moment; orders carry its token, and nodes pass over a lower
 * one. A driver that can't reach a majority loses the role and falls silent, and what it told ends by itself.
 */
public final class DriverTask {
    /** The role of the one who drives. */
    public static final String ROLE = "evacuation";

    private static final Logger LOG = LoggerFactory.getLogger(DriverTask.class);

    /**
     * Times.
     *
     * @param holdMs for how long the role is asked
     * @param orderMs how often orders are repeated
     * @param forMs for how long an order holds: longer than it takes another member to take over
     * @param withinMs for how long a proposal is waited for
     */
    public record Timing(double leaseMs, double commandIntervalMs, double commandValidityMs, double proposalTimeoutMs) {
        /** The usual ones. */
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
     * A member's part.
     *
     * @param seen what is seen of pools now
     * @param learns takes what rehearsals have shown
     * @param local takes the orders for this member's own node
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

    /** One turn. */
    public void tick(double nowMs) {
        Optional<Acting> activeValues = agreedValues.acting(AgreedValues.EVACUATION);
        if (activeValues.isEmpty() || activeValues.get().one() == null) {
            return;
        }
        PlanState state = decode(activeValues.get().one());
        PlanState otherState = activeValues.get().other() == null
                ? null
                : decode(activeValues.get().other());
        if (state == null || activeValues.get().other() != null && otherState == null) {
            return;
        }
        boolean needsDriver = state.status().needsDriver()
                || otherState != null && otherState.status().needsDriver();
        if (!needsDriver) {
            // Orders of a plan that is over end by themselves; the last one says that all is as usual.
            long generation = activeValues.get().one().generation();
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
        long epoch = activeValues.get().one().generation();
        if (otherState == null && (pendingProposal == null || pendingProposal.isDone())) {
            Decision turn = driver.decide(nowMs, state, epoch, token, measurements.get());
            turn.corrections().forEach(correctionSink);
            if (turn.nextState() != null) {
                LOG.atInfo()
                        .addKeyValue("plan", state.plan().name())
                        .addKeyValue("step", turn.nextState().step())
                        .log(
                                "evacuation becomes {}: {}",
                                PlanState.lowerCaseName(turn.nextState().status()),
                                turn.nextState()
                                        .history()
                                        .get(turn.nextState().history().size() - 1)
                                        .reason());
                pendingProposal = agreedValues.propose(
                        AgreedValues.EVACUATION, epoch, turn.nextState().encode(), timing.proposalTimeoutMs());
            }
        }
        if (nowMs - lastCommandMs >= timing.commandIntervalMs() || epoch != lastCommandEpoch) {
            sendCommand(nowMs, token, mergeWeights(state, otherState), epoch);
        }
    }

    /** While two records are acted by, a zone keeps the larger part: what both allow. */
    private static Map<String, Double> mergeWeights(PlanState state, PlanState otherState) {
        Map<String, Double> weights = new HashMap<>(state.zoneWeights());
        if (otherState != null) {
            otherState.zoneWeights().forEach((zone, weight) -> weights.merge(zone, weight, Math::max));
            weights.replaceAll(
                    (zone, weight) -> Math.max(weight, otherState.zoneWeights().getOrDefault(zone, 1.0)));
        }
        return weights;
    }

    /** Claims the role, or extends its lease, unless a claim is still unanswered. */
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
            // A full queue loses one; the next comes soon.
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
                    .log("the agreed plan can't be read: {}", e.getMessage());
            return null;
        }
    }
}
