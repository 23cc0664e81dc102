package brackenbridge.lab.evacuation;

import brackenbridge.fleet.evacuation.Driver.PoolMeasurement;
import brackenbridge.fleet.evacuation.PoolModel.PoolReport;
import brackenbridge.fleet.evacuation.PoolName;
import brackenbridge.fleet.evacuation.PoolObservation;
import brackenbridge.fleet.replica.RecordVersion;
import brackenbridge.lab.model.ServerModel;
import brackenbridge.lab.model.ServerModel.Verdict;
import brackenbridge.lab.model.ServerProfile;
import brackenbridge.lab.random.Streams;
import brackenbridge.lab.sim.EventQueue;
import brackenbridge.lab.world.World.ClassSpec;
import brackenbridge.lab.world.World.ClientSpec;
import brackenbridge.lab.world.World.TierSpec;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * A fleet of zones in simulated time: the laboratory's servers, tiers that call each other while they hold their
 * slots, nodes that choose the easier of two servers by their reports, retry within attempts and a budget, and tell
 * each second what they saw. Zones' parts may be set at any time.
 */
final class ZoneWorld {
    static final double BIN_MS = 100;
    private static final double SECOND_MS = 1000;
    private static final double BUDGET = 0.2;
    private static final double MOST_SAVED = 100;
    private static final double NOISE = 0.02;
    private static final double NEWEST = 0.02;

    /** A pool: its servers, what came to it, and what it told. */
    final class Pool {
        final int tier;
        final int zone;
        final PoolName name;
        final TierSpec spec;
        final ServerProfile profile;
        final List<ServerModel> servers = new ArrayList<>();
        final List<int[]> out = new ArrayList<>();
        final double[] came = new double[bins];
        final double[] failed = new double[bins];
        double busyBefore;
        double utilisation;
        double serviceMs;
        double serviceSquares;
        double observed;

        Pool(int tier, int zone, int kind, TierSpec spec, ServerProfile profile) {
            this.tier = tier;
            this.zone = zone;
            this.spec = spec;
            this.profile = profile;
            this.name = new PoolName(spec.name(), drawn.zones().get(zone), kind == 0 ? "std" : "big");
        }

        double slots() {
            return servers.size() * (double) profile.slots();
        }

        /** What answers' load reports say of a server: its load beside its speed. */
        double stretch(int server) {
            ServerModel s = servers.get(server);
            return (s.load() + 1) / s.profile().speed();
        }

        void atEase(double tookMs) {
            observed++;
            double part = Math.max(NEWEST, 1 / observed);
            double off = tookMs - serviceMs;
            serviceMs += part * off;
            serviceSquares = (1 - part) * (serviceSquares + part * off * off);
        }
    }

    private static final class Count {
        double arrivals;
        double attempts;
        double refused;
        double failed;
        double latency;
        double answers;
    }

    private final class Node {
        final int zone;
        final String name;
        final Count[][] counts;
        double budget = 10;

        Node(int zone, int number) {
            this.zone = zone;
            this.name = "n-" + drawn.zones().get(zone) + "-" + number;
            counts = new Count[pools.size()][drawn.world().classes().size()];
            for (Count[] of : counts) {
                Arrays.setAll(of, i -> new Count());
            }
        }
    }

    private final RandomPlan drawn;
    private final EventQueue queue = new EventQueue(0);
    private final int bins;
    private final List<Pool> pools = new ArrayList<>();
    private final List<List<Node>> nodes = new ArrayList<>();
    private final List<ContinuousSampler> work = new ArrayList<>();
    private final UniformRandomProvider random;
    private final double[] parts;
    private final double[] surge;
    private final List<PoolReport> told = new ArrayList<>();
    private long second;

    /** Sets it up for so long. */
    ZoneWorld(RandomPlan drawn, double lengthMs) {
        this.drawn = drawn;
        this.bins = (int) Math.ceil(lengthMs / BIN_MS) + 1;
        Streams streams = new Streams(drawn.seed());
        random = streams.take();
        parts = new double[drawn.zones().size()];
        surge = new double[drawn.zones().size()];
        Arrays.fill(parts, 1);
        Arrays.fill(surge, 1);
        for (int t = 0; t < drawn.world().tiers().size(); t++) {
            TierSpec spec = drawn.world().tiers().get(t);
            work.add(spec.work().sampler(streams.take()));
            for (int z = 0; z < drawn.zones().size(); z++) {
                for (int k = 0; k < drawn.cores()[t].length; k++) {
                    pool(t, z, k, spec, streams);
                }
            }
        }
        for (int z = 0; z < drawn.zones().size(); z++) {
            List<Node> of = new ArrayList<>();
            for (int i = 0; i < RandomPlan.NODES_A_ZONE; i++) {
                of.add(new Node(z, i));
            }
            nodes.add(of);
        }
        for (int z = 0; z < drawn.zones().size(); z++) {
            arrive(z, ZigguratSampler.Exponential.of(streams.take(), 1));
        }
        queue.at(SECOND_MS, this::tell);
    }

    private void pool(int t, int z, int k, TierSpec spec, Streams streams) {
        ServerProfile p = spec.profile();
        int factor = drawn.cores()[t][k];
        ServerProfile sized = new ServerProfile(
                p.cores() * factor,
                p.speed(),
                p.slots() * factor,
                p.room(),
                p.errorRate(),
                p.cancel(),
                p.dropsExpired(),
                p.cold(),
                p.crowd(),
                p.choke(),
                p.pauses(),
                p.connections(),
                p.reports(),
                p.probes());
        Pool pool = new Pool(t, z, k, spec, sized);
        int n = drawn.servers()[t][z][k];
        for (int i = 0; i < n; i++) {
            double place = n == 1 ? 0 : 2.0 * i / (n - 1) - 1;
            pool.servers.add(new ServerModel(
                    sized.withSpeed(p.speed() * (1 + spec.speedSpread() * place)), queue, streams.take()));
            pool.out.add(new int[drawn.zones().size() * RandomPlan.NODES_A_ZONE]);
        }
        pools.add(pool);
    }

    List<Pool> pools() {
        return pools;
    }

    double nowMs() {
        return queue.nowMs();
    }

    void runUntil(double ms) {
        queue.runUntil(ms);
    }

    /** A zone keeps this part of its usual load from now on. */
    void part(String zone, double part) {
        parts[drawn.zones().indexOf(zone)] = part;
    }

    /** A zone's clients send so many times as much from now on. */
    void surge(int zone, double factor) {
        surge[zone] = factor;
    }

    /** Records as the nodes have told them last; each has come some time after. */
    List<PoolReport> told() {
        return List.copyOf(told);
    }

    // ---- What comes ----

    private void arrive(int zone, ContinuousSampler gap) {
        double next = gap.sample() * 1000 / (drawn.rates()[zone] * surge[zone]);
        queue.at(queue.nowMs() + next, () -> {
            new Client(zone).go();
            arrive(zone, gap);
        });
    }

    private int drawClass() {
        double u = random.nextDouble()
                * drawn.world().classes().stream().mapToDouble(ClassSpec::share).sum();
        for (int i = 0; i < drawn.world().classes().size(); i++) {
            u -= drawn.world().classes().get(i).share();
            if (u < 0) {
                return i;
            }
        }
        return drawn.world().classes().size() - 1;
    }

    private final class Client {
        private final int zone;
        private final int ofClass = drawClass();
        private final ClassSpec spec = drawn.world().classes().get(ofClass);
        private final double deadlineMs = queue.nowMs() + spec.deadlineMs();
        private int tries;

        Client(int zone) {
            this.zone = zone;
        }

        void go() {
            tries++;
            ClientSpec c = drawn.world().clients();
            double waits = c.tryLeast() >= 1 ? 1 : c.tryLeast() + (c.tryMost() - c.tryLeast()) * random.nextDouble();
            new Call(0, zone, ofClass, Math.min(deadlineMs, queue.nowMs() + waits * spec.deadlineMs()), this::answered)
                    .go();
        }

        private void answered(Ending how) {
            if (how == Ending.SERVED
                    || how != Ending.REFUSED && spec.unsafe()
                    || tries > drawn.world().clients().retries()) {
                return;
            }
            double wait =
                    drawn.world().clients().backoffMs() * (1 << Math.min(10, tries - 1)) * (0.5 + random.nextDouble());
            if (queue.nowMs() + wait < deadlineMs) {
                queue.at(queue.nowMs() + wait, this::go);
            }
        }
    }

    private enum Ending {
        SERVED,
        REFUSED,
        FAILED,
        LATE
    }

    /** A call at a node, with its tries. */
    private final class Call {
        private final int tier;
        private final int ofClass;
        private final Node node;
        private final double deadlineMs;
        private final Consumer<Ending> done;
        private final double[] work;
        private int attempts;
        private boolean over;
        private Pool pool;
        private ServerModel server;
        private int[] out;
        private ServerModel.Job job;
        private int bin;

        Call(int tier, int origin, int ofClass, double deadlineMs, Consumer<Ending> done) {
            this.tier = tier;
            this.ofClass = ofClass;
            this.deadlineMs = deadlineMs;
            this.done = done;
            this.node = nodes.get(origin).get(random.nextInt(RandomPlan.NODES_A_ZONE));
            TierSpec t = drawn.world().tiers().get(tier);
            int calls = tier + 1 >= drawn.world().tiers().size()
                    ? 0
                    : t.callsLeast() + random.nextInt(t.callsMost() - t.callsLeast() + 1);
            double all = ZoneWorld.this.work.get(tier).sample();
            work = new double[calls + 1];
            Arrays.fill(work, all / (calls + 1));
        }

        void go() {
            node.budget = Math.min(MOST_SAVED, node.budget + BUDGET);
            queue.at(deadlineMs, this::late);
            attempt();
        }

        private int index() {
            return node.zone * RandomPlan.NODES_A_ZONE + nodes.get(node.zone).indexOf(node);
        }

        private void attempt() {
            pool = choose(tier, node.zone);
            int me = index();
            int a = random.nextInt(pool.servers.size());
            int b = random.nextInt(pool.servers.size());
            int chosen = pool.stretch(b) < pool.stretch(a) ? b : a;
            server = pool.servers.get(chosen);
            out = pool.out.get(chosen);
            out[me]++;
            attempts++;
            bin = (int) (queue.nowMs() / BIN_MS);
            if (bin < bins) {
                pool.came[bin]++;
            }
            Count c = count();
            c.attempts++;
            if (attempts == 1) {
                c.arrivals++;
            }
            double at = queue.nowMs();
            boolean ease = server.load() < server.profile().cores();
            String name = drawn.world().classes().get(ofClass).name();
            int from = pool.zone;
            job = server.begin(
                    name,
                    work,
                    deadlineMs,
                    (number, back) -> new Call(
                                    tier + 1, from, ofClass, deadlineMs, how -> back.accept(how == Ending.SERVED))
                            .go(),
                    verdict -> ended(verdict, at, ease));
        }

        private Count count() {
            return node.counts[pools.indexOf(pool)][ofClass];
        }

        private void ended(Verdict verdict, double at, boolean ease) {
            if (over) {
                return;
            }
            out[index()]--;
            Count c = count();
            double took = queue.nowMs() - at;
            if (verdict == Verdict.SERVED) {
                c.latency += took;
                c.answers++;
                if (ease) {
                    pool.atEase(took);
                }
                end(Ending.SERVED);
                return;
            }
            c.failed++;
            boolean unsafe = drawn.world().classes().get(ofClass).unsafe();
            boolean refused = verdict == Verdict.TURNED_AWAY;
            if (refused) {
                c.refused++;
                fails();
            }
            if ((refused || !unsafe)
                    && attempts < drawn.world().limits().maxAttempts()
                    && node.budget >= 1
                    && queue.nowMs() < deadlineMs) {
                node.budget--;
                attempt();
            } else {
                end(refused ? Ending.REFUSED : Ending.FAILED);
            }
        }

        /** A try that fails for want of room or time counts at the moment at which it came. */
        private void fails() {
            if (bin < bins) {
                pool.failed[bin]++;
            }
        }

        private void late() {
            if (!over && job != null) {
                fails();
                count().failed++;
                out[index()]--;
                over = true;
                server.cancel(job);
                done.accept(Ending.LATE);
            }
        }

        private void end(Ending how) {
            over = true;
            done.accept(how);
        }
    }

    /** The pool for a call of an origin: its usual zone, or another by slots for what the zone does not keep. */
    private Pool choose(int tier, int origin) {
        int zones = parts.length;
        int zone = origin;
        if (random.nextDouble() < drawn.elsewhere()) {
            zone = (origin + 1 + random.nextInt(zones - 1)) % zones;
        }
        if (parts[zone] < 1 && random.nextDouble() >= parts[zone]) {
            zone = elsewhere(tier, zone);
        }
        double all = 0;
        for (Pool p : pools) {
            all += p.tier == tier && p.zone == zone ? p.slots() : 0;
        }
        double u = random.nextDouble() * all;
        Pool last = null;
        for (Pool p : pools) {
            if (p.tier == tier && p.zone == zone) {
                last = p;
                u -= p.slots();
                if (u < 0) {
                    break;
                }
            }
        }
        return last;
    }

    private int elsewhere(int tier, int not) {
        double[] weight = new double[parts.length];
        double all = 0;
        for (Pool p : pools) {
            if (p.tier == tier && p.zone != not) {
                weight[p.zone] += p.slots() * drawn.tilt()[p.zone];
                all += p.slots() * drawn.tilt()[p.zone];
            }
        }
        double u = random.nextDouble() * all;
        for (int z = 0; z < weight.length; z++) {
            u -= weight[z];
            if (weight[z] > 0 && u < 0) {
                return z;
            }
        }
        return not == 0 ? 1 : 0;
    }

    // ---- What is told ----

    private void tell() {
        second++;
        told.clear();
        for (int i = 0; i < pools.size(); i++) {
            Pool p = pools.get(i);
            double busy = p.servers.stream().mapToDouble(ServerModel::busyMs).sum();
            p.utilisation = (busy - p.busyBefore) / SECOND_MS / p.servers.size();
            p.busyBefore = busy;
            for (List<Node> of : nodes) {
                for (Node n : of) {
                    tell(p, i, n);
                }
            }
        }
        queue.at(queue.nowMs() + SECOND_MS, this::tell);
    }

    private void tell(Pool p, int at, Node n) {
        int me = n.zone * RandomPlan.NODES_A_ZONE + nodes.get(n.zone).indexOf(n);
        double busy = p.out.stream().mapToInt(o -> o[me]).sum();
        ServerProfile.Choke choke = p.profile.choke();
        boolean slows = drawn.slowKnown() && choke.part() < 1;
        double u = Math.max(0, Math.min(1, p.utilisation * (1 + NOISE * (2 * random.nextDouble() - 1))));
        for (int c = 0; c < n.counts[at].length; c++) {
            Count k = n.counts[at][c];
            n.counts[at][c] = new Count();
            PoolObservation seen = new PoolObservation(
                    k.arrivals,
                    k.attempts,
                    k.refused,
                    p.servers.size(),
                    p.profile.slots(),
                    c == 0 ? busy : 0,
                    p.serviceMs,
                    k.answers > 0 ? k.latency / k.answers : 0,
                    p.serviceMs > 0 ? p.serviceSquares / (p.serviceMs * p.serviceMs) : 1,
                    k.attempts > 0 ? Math.min(1, k.failed / k.attempts) : 0,
                    SECOND_MS,
                    u,
                    p.profile.slots() + p.profile.room(),
                    p.profile.cold().from(),
                    p.profile.cold().ms(),
                    slows ? choke.part() : 1,
                    slows ? choke.at() : 0);
            told.add(new PoolReport(
                    n.name,
                    drawn.zones().get(n.zone),
                    p.name,
                    drawn.world().classes().get(c).name(),
                    new RecordVersion(1, second),
                    seen,
                    100));
        }
    }

    /** What a driver sees of pools: the sums over the last second's records. */
    List<PoolMeasurement> seen() {
        List<PoolMeasurement> out = new ArrayList<>();
        for (Pool p : pools) {
            double attempts = 0;
            double refused = 0;
            for (PoolReport o : told) {
                if (o.pool().equals(p.name)) {
                    attempts += o.observation().attemptRate();
                    refused += o.observation().rejectionRate();
                }
            }
            out.add(new PoolMeasurement(
                    p.name, p.servers.size(), attempts, p.utilisation, attempts > 0 ? refused / attempts : 0, 500));
        }
        return out;
    }

    // ---- What is true ----

    /** When a pool saturates between these times: a stated part of what came in a window fails; NaN if it does not. */
    static double saturatesMs(Pool p, double fromMs, double toMs, double failing, double windowMs) {
        int window = (int) Math.round(windowMs / BIN_MS);
        double failed = 0;
        double came = 0;
        for (int b = Math.max(0, (int) (fromMs / BIN_MS) - window); b < Math.min(p.came.length, toMs / BIN_MS); b++) {
            failed += p.failed[b];
            came += p.came[b];
            int old = b - window;
            if (old >= Math.max(0, (int) (fromMs / BIN_MS) - window)) {
                failed -= p.failed[old];
                came -= p.came[old];
            }
            if (b * BIN_MS >= fromMs && came > 0 && failed / came >= failing && failed >= 3) {
                return b * BIN_MS - fromMs;
            }
        }
        return Double.NaN;
    }

    /** Tries a second that came to a pool between these times. */
    static double load(Pool p, double fromMs, double toMs) {
        double sum = 0;
        for (int b = (int) (fromMs / BIN_MS); b < Math.min(p.came.length, toMs / BIN_MS); b++) {
            sum += p.came[b];
        }
        return sum / (toMs - fromMs) * 1000;
    }

    /** The most tries in a second that came to a pool until then. */
    static double peak(Pool p, double toMs) {
        double most = 0;
        for (double at = 0; at + SECOND_MS <= toMs; at += SECOND_MS) {
            most = Math.max(most, load(p, at, at + SECOND_MS));
        }
        return most;
    }
}
