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
            AgreedValues agreed,
            PeerLinks links,
            Driver driver,
            Timing times,
            Supplier<List<PoolMeasurement>> seen,
            Consumer<Correction> learns,
            Consumer<WeightCommand> local) {
        this.agreedValues = agreed;
        this.links = links;
        this.driver = driver;
        this.timing = times;
        this.measurements = seen;
        this.correctionSink = learns;
        this.localCommandSink = local;
    }

    /** One turn. */
    public void tick(double nowMs) {
        Optional<Acting> acting = agreedValues.acting(AgreedValues.EVACUATION);
        if (acting.isEmpty() || acting.get().one() == null) {
            return;
        }
        PlanState one = decode(acting.get().one());
        PlanState other =
                acting.get().other() == null ? null : decode(acting.get().other());
        if (one == null || acting.get().other() != null && other == null) {
            return;
        }
        boolean wanted =
                one.status().needsDriver() || other != null && other.status().needsDriver();
        if (!wanted) {
            // Orders of a plan that is over end by themselves; the last one says that all is as usual.
            long generation = acting.get().one().generation();
            if (lastCommandEpoch != generation) {
                agreedValues
                        .heldLease(ROLE)
                        .ifPresent(lease -> sendCommand(nowMs, lease.token(), one.zoneWeights(), generation));
            }
            return;
        }
        acquireOrExtendRole(nowMs);
        Optional<Lease> lease = agreedValues.heldLease(ROLE);
        if (lease.isEmpty() || one.token() > lease.get().token()) {
            return;
        }
        long token = lease.get().token();
        long epoch = acting.get().one().generation();
        if (other == null && (pendingProposal == null || pendingProposal.isDone())) {
            Decision turn = driver.decide(nowMs, one, epoch, token, measurements.get());
            turn.corrections().forEach(correctionSink);
            if (turn.nextState() != null) {
                LOG.atInfo()
                        .addKeyValue("plan", one.plan().name())
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
            sendCommand(nowMs, token, mergeWeights(one, other), epoch);
        }
    }

    /** While two records are acted by, a zone keeps the larger part: what both allow. */
    private static Map<String, Double> mergeWeights(PlanState one, PlanState other) {
        Map<String, Double> parts = new HashMap<>(one.zoneWeights());
        if (other != null) {
            other.zoneWeights().forEach((z, p) -> parts.merge(z, p, Math::max));
            parts.replaceAll((z, p) -> Math.max(p, other.zoneWeights().getOrDefault(z, 1.0)));
        }
        return parts;
    }

    /** Claims the role, or extends its lease, unless a claim is still unanswered. */
    private void acquireOrExtendRole(double nowMs) {
        boolean answered = pendingLease == null || pendingLease.isDone();
        if (answered && nowMs - lastAcquireMs >= timing.leaseMs() / 3) {
            lastAcquireMs = nowMs;
            pendingLease = agreedValues.acquire(ROLE, timing.leaseMs());
        }
    }

    private void sendCommand(double nowMs, long token, Map<String, Double> parts, long epoch) {
        WeightCommand o = new WeightCommand(token, epoch, parts, timing.commandValidityMs());
        byte[] body = o.encode();
        for (Member m : links.peers()) {
            // A full queue loses one; the next comes soon.
            links.send(m.name(), MessageStream.EVACUATION, body);
        }
        localCommandSink.accept(o);
        lastCommandMs = nowMs;
        lastCommandEpoch = epoch;
    }

    private static PlanState decode(AgreedValues.Value v) {
        try {
            return PlanState.decode(v.content());
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("generation", v.generation())
                    .log("the agreed plan can't be read: {}", e.getMessage());
            return null;
        }
    }
}
