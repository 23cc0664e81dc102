package brackenbridge.lab.replica;

import brackenbridge.fleet.replica.RecordSpace;
import brackenbridge.fleet.replica.RecordStore;
import brackenbridge.fleet.replica.ReplicationLimits;
import brackenbridge.fleet.replica.ReplicationMessage;
import brackenbridge.fleet.replica.ReplicationProtocol;
import brackenbridge.lab.random.Streams;
import brackenbridge.lab.sim.EventQueue;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;

/** Members with the real protocol in simulated time: ways of 0.5 to 5 ms, a part of the messages lost. */
public final class SimulatedReplicaFleet {
    private static final double WARM_MS = 6000;
    private static final double STEP_MS = 5;

    /**
     * What is simulated.
     *
     * @param nodes members
     * @param keys records that each member has
     * @param writesASecond writes a second of each member under change
     * @param lost the part of messages that are lost
     * @param changeMs how long is written, in milliseconds
     * @param terms how they protocol
     * @param seed the seed
     */
    public record Plan(
            int nodes,
            int keys,
            double writesASecond,
            double lost,
            double changeMs,
            ReplicationLimits terms,
            long seed) {}

    /**
     * What came of it.
     *
     * @param level members that were level after the warm-up
     * @param all milliseconds from a write until every member had it
     * @param each milliseconds from a write until a member had it, over members
     * @param atRest bytes a second that a member sends at rest
     * @param underChange bytes a second that a member sends under change
     * @param oldestMs the greatest age of any record at any member at the end of the change
     */
    public record Outcome(
            int level, Histogram all, Histogram each, double atRest, double underChange, double oldestMs) {}

    /**
     * A member that was away.
     *
     * @param awayMs for how long
     * @param behind writes it was behind by when it had heard
     * @param levelMs milliseconds from its return until it was level
     * @param bytes bytes that all others sent meanwhile
     * @param right whether its copy then was as the others'
     */
    public record Returned(double awayMs, long behind, double levelMs, long bytes, boolean right) {}

    private final class Node {
        final int id;
        final String name;
        final RecordStore store;
        final ReplicationProtocol protocol;
        boolean away;

        Node(int id, long life) {
            this.id = id;
            name = "n" + id;
            store = new RecordStore(name, life, random.nextLong() | 1, false);
            protocol = new ReplicationProtocol(
                    store, plan.terms(), new SplittableRandom(random.nextLong()), queue.nowMs());
        }

        void turn() {
            if (!away) {
                send(protocol.tick(queue.nowMs()));
            }
            queue.at(Math.max(queue.nowMs() + 1, protocol.nextTickMs()), this::turn);
        }

        void send(List<ReplicationProtocol.OutgoingMessage> out) {
            for (ReplicationProtocol.OutgoingMessage o : out) {
                Node to = nodes.get(Integer.parseInt(o.peer().substring(1)));
                if (random.nextDouble() >= plan.lost()) {
                    queue.at(queue.nowMs() + 0.5 + 4.5 * random.nextDouble(), () -> to.took(this, o.body()));
                }
            }
        }

        void took(Node from, byte[] body) {
            if (!away && !from.away) {
                send(protocol.onMessage(from.name, from.store.incarnation(), body, queue.nowMs()));
                writes.removeIf(w -> w.look(this));
            }
        }
    }

    private final class Write {
        final Node by;
        final long sequence;
        final double atMs = queue.nowMs();
        final BitSet have = new BitSet();

        Write(Node by) {
            this.by = by;
            sequence = by.store.appliedSequence(by.name, by.store.incarnation()).orElse(0);
            have.set(by.id);
        }

        boolean look(Node n) {
            if (!have.get(n.id)
                    && n.store.appliedSequence(by.name, by.store.incarnation()).orElse(0) >= sequence) {
                have.set(n.id);
                each.recordValue(Math.round(queue.nowMs() - atMs));
                if (have.cardinality() == nodes.size()) {
                    all.recordValue(Math.round(queue.nowMs() - atMs));
                    return true;
                }
            }
            return false;
        }
    }

    private final Plan plan;
    private final EventQueue queue = new EventQueue(0);
    private final UniformRandomProvider random;
    private final List<Node> nodes = new ArrayList<>();
    private final List<Write> writes = new ArrayList<>();
    private final Histogram all = new Histogram(3_600_000, 3);
    private final Histogram each = new Histogram(3_600_000, 3);
    private long sampled;

    /** Members before their first moment, each with its records. */
    public SimulatedReplicaFleet(Plan plan) {
        this.plan = plan;
        random = new Streams(plan.seed()).take();
        for (int i = 0; i < plan.nodes(); i++) {
            nodes.add(new Node(i, 1000));
        }
        List<String> names = nodes.stream().map(n -> n.name).toList();
        for (Node n : nodes) {
            List<String> peers = names.stream().filter(p -> !p.equals(n.name)).toList();
            n.protocol.setPeers(peers, peers);
            for (int k = 0; k < plan.keys(); k++) {
                n.store.put(RecordSpace.SERVERS, "host" + k, value(k), 0);
            }
            queue.at(random.nextDouble() * plan.terms().pushIntervalMs(), n::turn);
        }
    }

    private static byte[] value(long n) {
        return ("{\"latency\":" + n + ",\"standing\":\"healthy\",\"flight\":12}")
                .getBytes(java.nio.charset.StandardCharsets.US_ASCII);
    }

    private long sent() {
        return nodes.stream().mapToLong(n -> n.protocol.sentBytes()).sum();
    }

    private boolean runUntil(double mostMs, BooleanSupplier done) {
        double end = queue.nowMs() + mostMs;
        while (!done.getAsBoolean() && queue.nowMs() < end) {
            queue.runUntil(queue.nowMs() + STEP_MS);
        }
        return done.getAsBoolean();
    }

    private int level() {
        return (int) nodes.stream()
                .filter(n -> n.protocol.syncState(queue.nowMs()).caughtUp())
                .count();
    }

    /** Warm-up, three seconds at rest, then writes. */
    public Outcome run() {
        queue.runUntil(WARM_MS);
        runUntil(60_000, () -> level() == nodes.size());
        int level = level();
        long before = sent();
        queue.runUntil(queue.nowMs() + 3000);
        double atRest = (sent() - before) / 3.0 / nodes.size();
        before = sent();
        double began = queue.nowMs();
        double end = began + plan.changeMs();
        double between = 1000 / plan.writesASecond();
        for (Node n : nodes) {
            queue.at(began + random.nextDouble() * between, () -> writes(n, between, end));
        }
        queue.runUntil(end);
        double underChange = (sent() - before) / (plan.changeMs() / 1000) / nodes.size();
        double oldest = 0;
        for (Node n : nodes) {
            for (Node o : nodes) {
                oldest = Math.max(oldest, n.store.heartbeatAgeMs(o.name, queue.nowMs()));
            }
        }
        runUntil(60_000, writes::isEmpty);
        return new Outcome(level, all, each, atRest, underChange, oldest);
    }

    private void writes(Node n, double between, double endMs) {
        if (queue.nowMs() >= endMs) {
            return;
        }
        write(n, random.nextLong() >>> 20);
        // Every so many writes is followed until all members have it.
        if (sampled++ % Math.max(1, nodes.size() / 20) == 0) {
            writes.add(new Write(n));
        }
        queue.at(queue.nowMs() + between * (0.5 + random.nextDouble()), () -> writes(n, between, endMs));
    }

    private void write(Node n, long v) {
        long had = n.store.appliedSequence(n.name, n.store.incarnation()).orElse(0);
        n.store.put(RecordSpace.SERVERS, "host" + random.nextInt(plan.keys()), value(v), queue.nowMs());
        n.protocol.onLocalWrite(had);
    }

    /** The first member misses so long of changes, with its memory kept, and returns; the fleet is at rest else. */
    public Returned away(double awayMs) {
        Node one = nodes.get(0);
        one.away = true;
        int writesOfEach = (int) Math.max(1, awayMs / 1000 * plan.writesASecond());
        double now = queue.nowMs();
        for (Node o : nodes) {
            if (o != one) {
                long had =
                        o.store.appliedSequence(o.name, o.store.incarnation()).orElse(0);
                for (int i = 0; i < writesOfEach; i++) {
                    String key = "host" + random.nextInt(plan.keys());
                    // One in ten is a removal; after an hour nobody remembers it, so that a snapshot is needed.
                    if (i % 10 == 9) {
                        o.store.remove(RecordSpace.SERVERS, key, now);
                    } else {
                        o.store.put(RecordSpace.SERVERS, key, value(i), now);
                    }
                }
                o.store.forgetTombstones(now + awayMs, plan.terms().tombstoneRetentionMs());
                ReplicationMessage.LogChunk c = o.store.answer(
                        new ReplicationMessage.LogRequest(o.name, o.store.incarnation(), had, 0, 0), 1 << 20);
                nodes.stream().filter(n -> n != one && n != o).forEach(n -> {
                    n.store.merge(c, now);
                    n.store.forgetTombstones(now + awayMs, plan.terms().tombstoneRetentionMs());
                });
            }
        }
        long before = sent();
        one.away = false;
        nodes.forEach(n -> {
            one.protocol.onPeerReachable(n.name);
            n.protocol.onPeerReachable(one.name);
        });
        double began = queue.nowMs();
        long[] behind = new long[1];
        Node other = nodes.get(nodes.size() - 1);
        boolean level = runUntil(600_000, () -> {
            behind[0] =
                    Math.max(behind[0], one.protocol.syncState(queue.nowMs()).missingWrites());
            return nodes.stream()
                    .allMatch(o -> one.store
                                    .appliedSequence(o.name, o.store.incarnation())
                                    .orElse(0)
                            >= o.store
                                    .appliedSequence(o.name, o.store.incarnation())
                                    .orElse(0));
        });
        boolean right = level && nodes.stream().allMatch(o -> text(one, o).equals(text(other, o)));
        return new Returned(awayMs, behind[0], queue.nowMs() - began, sent() - before, right);
    }

    private static String text(Node at, Node of) {
        return at.store.records(of.name, of.store.incarnation()).stream()
                .filter(e -> !e.removed())
                .toList()
                .toString();
    }
}
