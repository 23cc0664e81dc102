package brackenbridge.lab.agree;

import brackenbridge.core.generation.DecidedVersion;
import brackenbridge.core.generation.EffectiveGenerations;
import brackenbridge.core.generation.LeaseAuthority;
import brackenbridge.core.generation.LeaseGrant;
import brackenbridge.core.generation.LeaseHolder;
import brackenbridge.core.generation.LeaseRequest;
import brackenbridge.core.generation.LeaseTerms;
import brackenbridge.core.generation.RenewalSchedule;
import brackenbridge.lab.random.Streams;
import brackenbridge.lab.sim.EventQueue;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A fleet that follows one authority in simulated time: links with delays, clocks whose rates differ, a part of the
 * nodes out of reach, and an authority that is replaced.
 */
public final class SimulatedAgreementFleet {
    private static final double WARM_MS = 10_000;
    private static final double BETWEEN_MS = 6000;
    private static final double END_MS = 10_000;
    /** What a question costs the authority, which takes them one after another. */
    private static final double WORK_MS = 0.02;
    /** After the old authority is gone, a new one leads and is found. */
    private static final double ELECTION_MS = 400;

    /**
     * What is simulated.
     *
     * @param nodes how many
     * @param outOfReach the part of them whose links are dark from shortly before the first proposal on
     * @param proposals how many, six seconds apart
     * @param takeover whether the authority is replaced just after the first proposal
     * @param terms the terms of leases
     * @param seed the seed
     */
    public record Plan(int nodes, double outOfReach, int proposals, boolean takeover, LeaseTerms terms, long seed) {}

    /**
     * What came of it; times in milliseconds.
     *
     * @param inForceMs from each proposal until it was in force at the authority
     * @param nodesMs from each proposal until each node in reach acted by it alone
     * @param contradictionMs the longest time for which two nodes contradicted each other
     * @param doubtMs the time that nodes in reach were in doubt, summed, after the warm-up
     * @param atRest questions a second at rest
     * @param most the most questions in any second after the warm-up
     * @param mostWithoutWord the longest time that a node out of reach acted on after its links went dark
     */
    public record Outcome(
            List<Double> inForceMs,
            Histogram nodesMs,
            double contradictionMs,
            double doubtMs,
            double atRest,
            long most,
            double mostWithoutWord) {}

    private final class Node {
        final int id;
        final double rate;
        final boolean dark;
        final RenewalSchedule cadence;
        LeaseHolder holder;
        long turn;
        /** The last generation that it was seen to act by. */
        long seen = 1;

        Node(int id, boolean dark, UniformRandomProvider random) {
            this.id = id;
            this.dark = dark;
            this.rate = 1 + plan.terms().drift() * (2 * random.nextDouble() - 1);
            this.cadence = new RenewalSchedule(plan.terms(), new SplittableRandom(random.nextLong()));
            this.holder = LeaseHolder.start(id, 1);
        }

        double clock() {
            return queue.nowMs() * rate;
        }

        boolean reached() {
            return !dark || queue.nowMs() < darkFromMs;
        }

        EffectiveGenerations acts() {
            return holder.effectiveGenerations(clock());
        }

        /** Asks at this time of its own clock. */
        void askAt(double clockMs) {
            long mine = ++turn;
            queue.at(clockMs / rate, () -> {
                if (mine == turn) {
                    ask();
                }
            });
        }

        private void ask() {
            holder = holder.sendRequest(clock());
            cadence.onRequestSent(clock());
            LeaseRequest a = holder.lastRequest();
            boolean leaves = reached();
            if (leaves) {
                questions(queue.nowMs());
                queue.at(queue.nowMs() + way(), () -> arrives(this, a));
            }
            long mine = ++turn;
            queue.at((clock() + cadence.responseTimeoutMs()) / rate, () -> {
                if (mine == turn) {
                    askAt(cadence.nextAfterFailureMs(clock()));
                }
            });
        }

        void told(LeaseGrant g) {
            if (!reached()) {
                return;
            }
            long before = holder.decided().version();
            LeaseHolder next = holder.onGrant(g);
            if (next != holder) {
                holder = next;
                askAt(cadence.nextAfterGrantMs(clock(), holder.decided().version() > before));
                acted(this);
            }
        }

        void hinted() {
            if (reached()) {
                askAt(cadence.nextAfterHintMs(clock()));
            }
        }
    }

    private final Plan plan;
    private final EventQueue queue = new EventQueue(0);
    private final UniformRandomProvider random;
    private final List<Node> nodes = new ArrayList<>();
    private final List<Long> seconds = new ArrayList<>();
    private final Histogram nodesMs = new Histogram(600_000, 3);
    private final List<Double> inForceMs = new ArrayList<>();
    private final double darkFromMs = WARM_MS - 50;
    private LeaseAuthority authority;
    private boolean leads = true;
    private double busyUntilMs;
    private double proposedMs;
    private double contradictionMs;
    private double contradictsSince = Double.NaN;
    private double doubtMs;
    private double lastDarkMs;

    /** A fleet before its first moment; one generation is in force. */
    public SimulatedAgreementFleet(Plan plan) {
        this.plan = plan;
        this.random = new Streams(plan.seed()).take();
        this.authority = new LeaseAuthority(plan.terms(), new DecidedVersion(1, 1, 0), 1, 0, Map.of());
        for (int i = 0; i < plan.nodes(); i++) {
            nodes.add(new Node(i, i < plan.nodes() * plan.outOfReach(), random));
        }
    }

    private double way() {
        return 0.5 + 4.5 * random.nextDouble();
    }

    private void questions(double atMs) {
        int second = (int) (atMs / 1000);
        while (seconds.size() <= second) {
            seconds.add(0L);
        }
        seconds.set(second, seconds.get(second) + 1);
    }

    private void arrives(Node from, LeaseRequest a) {
        busyUntilMs = Math.max(busyUntilMs, queue.nowMs()) + WORK_MS;
        queue.at(busyUntilMs, () -> {
            if (!leads) {
                return;
            }
            authority = authority.onRequest(queue.nowMs(), a);
            look();
            LeaseGrant g = authority.grant(a);
            queue.at(queue.nowMs() + way(), () -> from.told(g));
        });
    }

    /** Activates what may be, and looks again when time alone could allow it. */
    private void look() {
        if (!leads || authority.decided().staged() == 0) {
            return;
        }
        if (authority.mayActivate(queue.nowMs())) {
            authority = authority.activate(queue.nowMs());
            inForceMs.add(queue.nowMs() - proposedMs);
            hint();
        } else {
            queue.at(authority.mayActivateAtMs(), this::look);
        }
    }

    private void hint() {
        for (Node n : nodes) {
            queue.at(queue.nowMs() + way(), n::hinted);
        }
    }

    private void propose() {
        proposedMs = queue.nowMs();
        authority = authority.stage();
        hint();
        look();
    }

    private void acted(Node n) {
        long last = authority.decided().inForce();
        if (n.seen < last && n.acts().equals(EffectiveGenerations.of(last))) {
            n.seen = last;
            nodesMs.recordValue(Math.min(600_000, Math.round(queue.nowMs() - proposedMs)));
        }
    }

    /** Holds every node against every other, each millisecond. */
    private void check() {
        long low = Long.MAX_VALUE;
        long high = 0;
        for (Node n : nodes) {
            EffectiveGenerations acts = n.acts();
            if (acts.inDoubt()) {
                doubtMs += n.dark || queue.nowMs() < WARM_MS ? 0 : 1;
                continue;
            }
            if (n.dark && queue.nowMs() > darkFromMs) {
                lastDarkMs = Math.max(lastDarkMs, queue.nowMs() - darkFromMs);
            }
            // Generations follow each other, so nodes agree exactly if no one's highest lies below another's lowest.
            low = Math.min(low, Math.max(acts.first(), acts.second()));
            high = Math.max(high, Math.min(acts.first(), acts.second()));
        }
        boolean contradict = high > low;
        if (contradict && Double.isNaN(contradictsSince)) {
            contradictsSince = queue.nowMs();
        }
        if (!Double.isNaN(contradictsSince)) {
            contradictionMs = Math.max(contradictionMs, queue.nowMs() - contradictsSince + 1);
            contradictsSince = contradict ? contradictsSince : Double.NaN;
        }
        queue.at(queue.nowMs() + 1, this::check);
    }

    /** Plays it. */
    public Outcome run() {
        nodes.forEach(n -> n.askAt(n.cadence.firstRequestMs(0)));
        check();
        for (int i = 0; i < plan.proposals(); i++) {
            queue.at(WARM_MS + i * BETWEEN_MS, this::propose);
        }
        if (plan.takeover()) {
            queue.at(WARM_MS + 20, () -> {
                leads = false;
                queue.at(queue.nowMs() + ELECTION_MS, () -> {
                    leads = true;
                    authority = LeaseAuthority.start(
                            plan.terms(), queue.nowMs(), authority.decided(), authority.lastGeneration());
                    nodes.forEach(n -> n.askAt(n.cadence.firstRequestMs(n.clock())));
                    look();
                });
            });
        }
        double end = WARM_MS + plan.proposals() * BETWEEN_MS + END_MS;
        queue.runUntil(end);
        int from = (int) (WARM_MS / 1000);
        long most = seconds.stream().skip(from).mapToLong(Long::longValue).max().orElse(0);
        double atRest = seconds.subList(from - 3, from).stream()
                .mapToLong(Long::longValue)
                .average()
                .orElse(0);
        return new Outcome(inForceMs, nodesMs, contradictionMs, doubtMs, atRest, most, lastDarkMs);
    }
}
