package brackenbridge.fleet.evacuation;

import brackenbridge.fleet.agreed.AgreedValues;
import brackenbridge.fleet.agreed.AgreedValues.EffectiveValues;
import brackenbridge.fleet.agreed.AgreedValues.Lease;
import brackenbridge.fleet.agreed.AgreedValues.Verdict;
import brackenbridge.fleet.evacuation.Driver.Correction;
import brackenbridge.fleet.evacuation.Driver.Seen;
import brackenbridge.fleet.evacuation.Driver.Turn;
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
    public record Times(double holdMs, double orderMs, double forMs, double withinMs) {
        /** The usual ones. */
        public static final Times USUAL = new Times(3000, 500, 10_000, 2500);
    }

    private final AgreedValues agreed;
    private final PeerLinks links;
    private final Driver driver;
    private final Times times;
    private final Supplier<List<Seen>> seen;
    private final Consumer<Correction> learns;
    private final Consumer<WeightCommand> local;
    private CompletableFuture<Lease> claim;
    private CompletableFuture<Verdict> proposed;
    private double claimedMs = Double.NEGATIVE_INFINITY;
    private double orderedMs = Double.NEGATIVE_INFINITY;
    private long orderedEpoch = -1;

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
            Times times,
            Supplier<List<Seen>> seen,
            Consumer<Correction> learns,
            Consumer<WeightCommand> local) {
        this.agreed = agreed;
        this.links = links;
        this.driver = driver;
        this.times = times;
        this.seen = seen;
        this.learns = learns;
        this.local = local;
    }

    /** One turn. */
    public void tick(double nowMs) {
        Optional<EffectiveValues> acting = agreed.effectiveValues(AgreedValues.EVACUATION);
        if (acting.isEmpty() || acting.get().inForce() == null) {
            return;
        }
        PlanState one = read(acting.get().inForce());
        PlanState other =
                acting.get().staged() == null ? null : read(acting.get().staged());
        if (one == null || acting.get().staged() != null && other == null) {
            return;
        }
        boolean wanted =
                one.status().driven() || other != null && other.status().driven();
        if (!wanted) {
            // Orders of a plan that is over end by themselves; the last one says that all is as usual.
            long generation = acting.get().inForce().generation();
            if (orderedEpoch != generation) {
                agreed.heldLease(ROLE).ifPresent(lease -> order(nowMs, lease.token(), one.parts(), generation));
            }
            return;
        }
        claimRole(nowMs);
        Optional<Lease> lease = agreed.heldLease(ROLE);
        if (lease.isEmpty() || one.token() > lease.get().token()) {
            return;
        }
        long token = lease.get().token();
        long epoch = acting.get().inForce().generation();
        if (other == null && (proposed == null || proposed.isDone())) {
            Turn turn = driver.turn(nowMs, one, epoch, token, seen.get());
            turn.corrections().forEach(learns);
            if (turn.next() != null) {
                LOG.atInfo()
                        .addKeyValue("plan", one.plan().name())
                        .addKeyValue("step", turn.next().step())
                        .log(
                                "evacuation becomes {}: {}",
                                PlanState.name(turn.next().status()),
                                turn.next()
                                        .history()
                                        .get(turn.next().history().size() - 1)
                                        .why());
                proposed = agreed.propose(
                        AgreedValues.EVACUATION, epoch, turn.next().bytes(), times.withinMs());
            }
        }
        if (nowMs - orderedMs >= times.orderMs() || epoch != orderedEpoch) {
            order(nowMs, token, both(one, other), epoch);
        }
    }

    /** While two records are acted by, a zone keeps the larger part: what both allow. */
    private static Map<String, Double> both(PlanState one, PlanState other) {
        Map<String, Double> parts = new HashMap<>(one.parts());
        if (other != null) {
            other.parts().forEach((z, p) -> parts.merge(z, p, Math::max));
            parts.replaceAll((z, p) -> Math.max(p, other.parts().getOrDefault(z, 1.0)));
        }
        return parts;
    }

    /** Claims the role, or extends its lease, unless a claim is still unanswered. */
    private void claimRole(double nowMs) {
        boolean answered = claim == null || claim.isDone();
        if (answered && nowMs - claimedMs >= times.holdMs() / 3) {
            claimedMs = nowMs;
            claim = agreed.acquire(ROLE, times.holdMs());
        }
    }

    private void order(double nowMs, long token, Map<String, Double> parts, long epoch) {
        WeightCommand o = new WeightCommand(token, epoch, parts, times.forMs());
        byte[] body = o.bytes();
        for (Member m : links.peers()) {
            // A full queue loses one; the next comes soon.
            links.send(m.name(), MessageStream.EVACUATION, body);
        }
        local.accept(o);
        orderedMs = nowMs;
        orderedEpoch = epoch;
    }

    private static PlanState read(AgreedValues.Value v) {
        try {
            return PlanState.read(v.content());
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("generation", v.generation())
                    .log("the agreed plan can't be read: {}", e.getMessage());
            return null;
        }
    }
}
