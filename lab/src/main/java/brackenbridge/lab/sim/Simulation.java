package brackenbridge.lab.sim;

import brackenbridge.core.HostIds;
import brackenbridge.core.ServerEndpoint;
import brackenbridge.core.balancing.BalancerActions;
import brackenbridge.core.balancing.BalancerApi;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.lab.load.Arrivals;
import brackenbridge.lab.load.ClientBehaviour;
import brackenbridge.lab.load.Mix;
import brackenbridge.lab.model.Scheduler;
import brackenbridge.lab.model.ServerModel;
import brackenbridge.lab.model.ServerProfile;
import brackenbridge.lab.random.Streams;
import brackenbridge.lab.rules.RuleChecker;
import brackenbridge.lab.rules.RuleChecker.Answer;
import brackenbridge.lab.sim.SimRequest.Plan;
import brackenbridge.lab.stats.Scoreboard;
import brackenbridge.lab.stats.Scoreboard.End;
import brackenbridge.lab.trouble.Faults;
import brackenbridge.lab.trouble.Stage;
import brackenbridge.lab.world.World;
import brackenbridge.lab.world.World.TierSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;

/**
 * One run in simulated time. Random numbers come from streams that are taken in a fixed order, so that what arrives,
 * and the work that it brings, is the same whatever decides.
 */
public final class Simulation implements Stage {
    /** Simulated time begins here, in milliseconds: well after 0, which would mean long ago to servers' births. */
    private static final double START_MS = 1_000_000;
    /** How much past its deadline an answer still counts. */
    private static final double SLACK_MS = 58;
    /** After the last arrival a run goes on for the longest deadline and this. */
    private static final double END_MS = 2000;
    /** The front notices so long after it that a node is gone, or that it says that it stops. */
    private static final double FRONT_NOTICES_MS = 2000;

    private static final double STOP_NOTICED_MS = 300;

    /** Makes what decides, for a run; it may look at the truth, which only the oracle does. */
    public interface PolicyMaker {
        /** Decisions for one node. */
        BiFunction<BalancerSettings, BalancerActions, BalancerApi> decisions(Truth truth);
    }

    /** What is true of servers, whatever nodes believe. */
    public interface Truth {
        /** The expected time of one more request there, in units of its work; infinite if it would not be served. */
        double stretch(long endpoint);
    }

    /**
     * What came of a run.
     *
     * @param board the figures
     * @param ledger the rules
     * @param events events that reducers took in
     * @param tasks steps of the simulation
     */
    public record Result(Scoreboard board, RuleChecker ledger, long events, long tasks) {}

    private final World spec;
    private final long seed;
    private final EventQueue queue = new EventQueue(START_MS);
    private final RuleChecker ledger;
    private final Scoreboard board;
    private final List<List<SimServer>> tiers = new ArrayList<>();
    private final List<List<SimNode>> nodes = new ArrayList<>();
    private final List<SimDiscovery> discoveries = new ArrayList<>();
    private final Map<String, SimServer> byDial = new HashMap<>();
    private final Map<Long, SimServer> byNumber = new HashMap<>();
    private final Map<SimNode, Double> downSince = new HashMap<>();
    private final UniformRandomProvider clientRandom;
    private final UniformRandomProvider frontRandom;
    private final UniformRandomProvider callRandom;
    private final UniformRandomProvider planRandom;
    private final Arrivals arrivals;
    private final Mix mix;
    private final ClientBehaviour habits;
    private final List<ContinuousSampler> work = new ArrayList<>();
    private long requests;
    private long replacements;

    /** Sets a world up; nothing has happened yet. */
    public Simulation(World spec, long seed, PolicyMaker policy) {
        this.spec = spec;
        this.seed = seed;
        this.ledger = new RuleChecker(SLACK_MS, spec.limits().drainGraceMs());
        this.board = new Scoreboard(spec);
        Streams streams = new Streams(seed);
        arrivals = new Arrivals(spec, streams.take());
        mix = new Mix(spec, streams.take());
        planRandom = streams.take();
        clientRandom = streams.take();
        habits = new ClientBehaviour(spec.clients(), clientRandom);
        frontRandom = streams.take();
        callRandom = streams.take();
        for (TierSpec t : spec.tiers()) {
            work.add(t.work().sampler(streams.take()));
        }
        for (int t = 0; t < spec.tiers().size(); t++) {
            servers(t, streams);
        }
        BiFunction<BalancerSettings, BalancerActions, BalancerApi> decisions = policy.decisions(this::stretch);
        for (int t = 0; t < spec.tiers().size(); t++) {
            List<SimNode> of = new ArrayList<>();
            for (int i = 0; i < spec.nodes(t); i++) {
                SimNode node = new SimNode(this, t, i, streams.take(), decisions);
                of.add(node);
                if (t > 0 && spec.tiers().get(t).nodes() == 0) {
                    tiers.get(t - 1).get(i).own = node;
                }
            }
            nodes.add(of);
        }
    }

    private void servers(int tier, Streams streams) {
        TierSpec t = spec.tiers().get(tier);
        UniformRandomProvider speeds = streams.take();
        SimDiscovery discovery = new SimDiscovery(queue, spec.discovery(), streams.take(), () -> nodes.get(tier));
        discoveries.add(discovery);
        // Speeds lie evenly between the bounds, so that each seed has the same sum; who has which is drawn.
        List<Double> spread = new ArrayList<>();
        for (int i = 0; i < t.servers(); i++) {
            double place = t.servers() == 1 ? 0 : 2.0 * i / (t.servers() - 1) - 1;
            spread.add(1 + t.speedSpread() * place);
        }
        for (int i = spread.size() - 1; i > 0; i--) {
            java.util.Collections.swap(spread, i, speeds.nextInt(i + 1));
        }
        List<SimServer> of = new ArrayList<>();
        for (int i = 0; i < t.servers(); i++) {
            ServerProfile p = t.profile().withSpeed(t.profile().speed() * spread.get(i));
            ServerModel model = new ServerModel(p, queue, streams.take());
            SimServer s = new SimServer(
                    this,
                    tier,
                    i,
                    "s-" + tier + "-" + i,
                    "10." + tier + "." + i / 250 + "." + (i % 250 + 1) + ":9000",
                    model);
            model.onPushedOver(() -> pushedOver(s));
            of.add(s);
            byDial.put(s.dial, s);
            byNumber.put(HostIds.hashOf(s.host), s);
            discovery.begin(target(s, EndpointState.UP));
        }
        tiers.add(of);
    }

    // ---- What servers, nodes and clients ask of the world ----

    EventQueue queue() {
        return queue;
    }

    RuleChecker ledger() {
        return ledger;
    }

    World spec() {
        return spec;
    }

    Scoreboard board() {
        return board;
    }

    @Override
    public Scheduler scheduler() {
        return queue;
    }

    @Override
    public SimDiscovery discovery(int tier) {
        return discoveries.get(tier);
    }

    SimServer at(String dial) {
        return byDial.get(dial);
    }

    @Override
    public List<SimServer> servers(int tier) {
        return tiers.get(tier);
    }

    @Override
    public List<SimNode> nodes() {
        return nodes.get(0);
    }

    long nodeSeed(int tier, int index, int life) {
        return (seed * 1_000_003 + tier) * 1_000_033 + index * 7919L + life;
    }

    double clientDelay() {
        return spec.net().clientMs() * (1 + spec.net().jitter() * (2 * clientRandom.nextDouble() - 1));
    }

    private double stretch(long endpoint) {
        SimServer s = byNumber.get(endpoint);
        return s == null || s.cutOff || !s.model.well() ? Double.POSITIVE_INFINITY : s.model.expectedStretch();
    }

    ServerEndpoint target(SimServer s, EndpointState state) {
        return new ServerEndpoint(s.host, s.dial, spec.zone(s.index), -1, 1, s.bornMs, state);
    }

    /** A server calls the next tier for a request that it has in hand. */
    void call(SimServer server, SimRequest request, int number, Consumer<Boolean> done) {
        Plan plan = request.plan.calls()[number];
        List<SimNode> next = nodes.get(server.tier + 1);
        SimNode node = server.own != null ? server.own : next.get(callRandom.nextInt(next.size()));
        World.ClassSpec c = classOf(plan.className());
        double now = queue.nowMs();
        SimRequest sub = new SimRequest(
                requests++,
                plan,
                request.deadlineMs,
                c.unsafe(),
                (answer, taken, retryAfter) -> done.accept(answer == Answer.SERVED));
        double left = request.deadlineMs - now;
        if (left <= 0 || !node.open(sub, true, left, null, false)) {
            done.accept(false);
        } else {
            closeLater(sub);
        }
    }

    /** Holds the rule on lost requests at the time by which each must have been answered. */
    private void closeLater(SimRequest r) {
        queue.at(r.deadlineMs + SLACK_MS + 1, () -> r.entry.close(queue.nowMs()));
    }

    private World.ClassSpec classOf(String name) {
        for (World.ClassSpec c : spec.classes()) {
            if (c.name().equals(name)) {
                return c;
            }
        }
        throw new IllegalArgumentException("no class " + name);
    }

    private Plan plan(int tier, String className) {
        TierSpec t = spec.tiers().get(tier);
        int calls = t.callsMost() == t.callsLeast()
                ? t.callsLeast()
                : t.callsLeast() + planRandom.nextInt(t.callsMost() - t.callsLeast() + 1);
        double all = work.get(tier).sample();
        double[] parts = new double[calls + 1];
        for (int i = 0; i <= calls; i++) {
            parts[i] = all / (calls + 1);
        }
        Plan[] sub = new Plan[calls];
        String subClass = t.callClass() == null ? className : t.callClass();
        for (int i = 0; i < calls; i++) {
            sub[i] = plan(tier + 1, subClass);
        }
        return new Plan(parts, sub, className);
    }

    // ---- Clients ----

    /** A first try and its repeats. */
    private final class Attempted {
        final int classIndex;
        final int tenant;
        final double dueMs;
        final double part;
        final Plan plan;
        final World.ClassSpec spec;
        final boolean heeds;
        int tries;
        boolean over;
        SimNode node;
        SimRequest request;

        Attempted(double dueMs) {
            this.dueMs = dueMs;
            this.classIndex = mix.drawClass();
            this.tenant = mix.drawTenant();
            this.part = mix.part(tenant, dueMs - START_MS);
            this.spec = Simulation.this.spec.classes().get(classIndex);
            this.plan = plan(0, spec.name());
            this.heeds = habits.heeds();
            double leaves = habits.leavesAfter(spec.deadlineMs());
            if (Double.isFinite(leaves)) {
                queue.at(dueMs + leaves, this::leaves);
            }
        }

        double deadline() {
            return dueMs + spec.deadlineMs();
        }

        void go() {
            if (over) {
                return;
            }
            tries++;
            node = pick();
            boolean kept =
                    clientRandom.nextDouble() < Simulation.this.spec.clients().keepAlive();
            double left = Math.min(deadline() - queue.nowMs(), habits.tryLasts(spec.deadlineMs()));
            String named = tenant < 0
                    ? null
                    : Simulation.this.spec.tenants().get(tenant).name();
            SimRequest r = new SimRequest(requests++, plan, queue.nowMs() + left, spec.unsafe(), this::answered);
            request = r;
            double trip = clientDelay() * (kept ? 1 : 3);
            queue.at(queue.nowMs() + trip, () -> {
                if (over) {
                    return;
                }
                if (node == null || !node.open(r, kept, left, named, tries > 1)) {
                    queue.at(queue.nowMs() + clientDelay(), () -> answered(null, false, 0));
                } else {
                    closeLater(r);
                }
            });
        }

        void leaves() {
            if (!over) {
                if (request != null && node != null && request.entry != null) {
                    node.gone(request);
                }
                end(End.GONE);
            }
        }

        void answered(Answer answer, boolean taken, double retryAfterMs) {
            if (over) {
                return;
            }
            double now = queue.nowMs();
            if (answer == Answer.SERVED && now <= request.deadlineMs + SLACK_MS) {
                end(now <= dueMs + spec.aimMs() ? End.IN_AIM : now <= deadline() ? End.LATE : End.UNANSWERED);
                return;
            }
            ClientBehaviour.Next next =
                    habits.afterFailure(answer, taken, spec.unsafe(), tries, heeds, retryAfterMs, now, deadline());
            if (next.end() != null) {
                end(next.end());
            } else {
                queue.at(now + next.waitMs(), this::go);
            }
        }

        void end(End how) {
            over = true;
            board.ended(classIndex, tenant, dueMs - START_MS, queue.nowMs() - dueMs, part, how, tries);
        }
    }

    /** The front's choice: any node that it believes to be ready. */
    private SimNode pick() {
        List<SimNode> first = nodes.get(0);
        if (downSince.isEmpty()) {
            return first.get(frontRandom.nextInt(first.size()));
        }
        List<SimNode> open = new ArrayList<>(first.size());
        double now = queue.nowMs();
        for (SimNode n : first) {
            Double since = downSince.get(n);
            if (since == null || now < since + FRONT_NOTICES_MS) {
                open.add(n);
            }
        }
        return open.isEmpty() ? null : open.get(frontRandom.nextInt(open.size()));
    }

    private void arrive() {
        double next = arrivals.next();
        if (next < Double.POSITIVE_INFINITY) {
            queue.at(START_MS + next, () -> {
                new Attempted(START_MS + next).go();
                arrive();
            });
        }
    }

    // ---- Troubles ----

    private void pushedOver(SimServer s) {
        ledger.pushedOver(queue.nowMs(), s.host);
        breakConnections(s);
        discovery(s.tier).changed(target(s, EndpointState.REMOVED), true);
    }

    void breakConnections(SimServer s) {
        s.process++;
        List<SimNode.Connection> broken = List.copyOf(s.connections);
        s.connections.clear();
        if (!s.cutOff) {
            for (SimNode.Connection c : broken) {
                queue.at(queue.nowMs() + spec.net().serverMs(), () -> c.node.reset(c));
            }
        }
    }

    /** A new process takes the server's address, under a new name if it is another server. */
    void startServer(SimServer s, boolean renamed) {
        if (renamed) {
            s.host = "s-" + s.tier + "-" + s.index + "-r" + ++replacements;
            byNumber.put(HostIds.hashOf(s.host), s);
        }
        s.model.start();
        s.bornMs = queue.nowMs();
        discovery(s.tier).changed(target(s, EndpointState.UP), false);
        if (s.own != null && !s.own.up()) {
            s.own.start();
        }
    }

    /** The front will notice that a node stops, sooner if the node says so. */
    void nodeStops(SimNode n, boolean saysSo) {
        downSince.putIfAbsent(n, queue.nowMs() - (saysSo ? FRONT_NOTICES_MS - STOP_NOTICED_MS : 0));
    }

    void nodeStarts(SimNode n) {
        downSince.remove(n);
    }

    // ---- The run ----

    /** Plays it to its end. */
    public Result run() {
        nodes.forEach(of -> of.forEach(SimNode::start));
        new Faults(this).schedule(spec.troubles(), START_MS);
        arrive();
        for (int i = 1; i <= Math.ceil(spec.seconds()); i++) {
            queue.at(START_MS + i * 1000.0, this::sample);
        }
        double longest = spec.classes().stream()
                .mapToDouble(World.ClassSpec::deadlineMs)
                .max()
                .orElse(0);
        queue.runUntil(START_MS + spec.seconds() * 1000 + longest + END_MS);
        long events = 0;
        for (List<SimNode> of : nodes) {
            for (SimNode n : of) {
                events += n.events();
            }
        }
        return new Result(board, ledger, events, queue.tasksRun());
    }

    private void sample() {
        List<SimServer> first = tiers.get(0);
        double sum = 0;
        double squares = 0;
        double most = 0;
        for (SimServer s : first) {
            double load = s.model.load() / (double) s.model.profile().cores();
            sum += load;
            squares += load * load;
            most = Math.max(most, load);
        }
        double n = Math.max(1, first.size());
        double mean = sum / n;
        board.load(mean, most, mean > 0 ? Math.sqrt(Math.max(0, squares / n - mean * mean)) / mean : 0);
    }
}
