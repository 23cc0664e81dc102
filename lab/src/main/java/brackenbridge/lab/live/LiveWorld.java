package brackenbridge.lab.live;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.core.EndpointList;
import brackenbridge.core.ServerEndpoint;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.http.Headers;
import brackenbridge.http.HttpException;
import brackenbridge.http.HttpRequest;
import brackenbridge.http.HttpResponse;
import brackenbridge.http.ResponseDecoder;
import brackenbridge.lab.model.Scheduler;
import brackenbridge.lab.model.ServerModel;
import brackenbridge.lab.random.Streams;
import brackenbridge.lab.rules.RuleChecker;
import brackenbridge.lab.stats.Scoreboard;
import brackenbridge.lab.trouble.Stage;
import brackenbridge.lab.world.World;
import brackenbridge.lab.world.World.TierSpec;
import brackenbridge.log.Log;
import brackenbridge.net.Node;
import com.eclipsesource.json.JsonObject;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;

/**
 * A world on loopback: a stand-in for each server, one discovery for each tier, and for each server that calls the next
 * tier a node of its own, or the tier's shared nodes. All stand-ins live on one event loop, so nothing here is locked.
 */
public final class LiveWorld implements Stage {
    private static final double SLACK_MS = 58;
    private static final Observation PLAIN = new Observation(SLACK_MS, CallerLookup.BY_NODE, StandInFaults.NONE);
    /** Sends are told late by the time that word is under way on a busy machine. */
    private static final double GRACE_SLACK_MS = 50;

    private static final int SOCKETS = 1024;
    private static final Pattern FACTS = Pattern.compile("work=[0-9]{1,7}(\\.[0-9]{1,6})?");

    /** A node of a later tier, inside this process, and the calls that servers make through it. */
    private final class Inner {
        final String name;
        final int tier;
        final int index;
        final ArrayDeque<Caller> idle = new ArrayDeque<>();
        String discovery;
        Node node;
        InetSocketAddress address;

        Inner(int tier, int index, String discovery) {
            this.name = "n" + tier + "-" + index;
            this.tier = tier;
            this.index = index;
            this.discovery = discovery;
        }

        void start() {
            JsonObject json = SettingsJson.config(
                    name,
                    "127.0.0.1:0",
                    discovery,
                    SOCKETS,
                    spec.settings(tier, index, seed * 31 + index),
                    seenFrom(name, discoveries.get(tier).list().whole()));
            Node n = new Node(
                    Config.parse(json.toString()),
                    clock,
                    new Log(clock, new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8)));
            n.start();
            node = n;
            address = StandInHttp.address(links.through("callers", name, StandInHttp.dial(n.address())));
        }

        /** Starts and kills wait for the node's own loop: not on the loop of the stand-ins. */
        void aside(Runnable work) {
            Thread t = new Thread(work, name);
            t.setDaemon(true);
            t.start();
        }

        void kill() {
            Node n = node;
            node = null;
            List.copyOf(idle).forEach(c -> c.channel.close());
            if (n != null) {
                registry.nodeDied(name, clock.nowMs());
                aside(n::kill);
            }
        }
    }

    /** A connection from a server to its node. */
    private final class Caller extends ChannelInboundHandlerAdapter {
        private final Inner to;
        private final ResponseDecoder decoder = new ResponseDecoder();
        private Channel channel;
        private RuleChecker.Entry entry;
        private String id;
        private Consumer<Boolean> done;

        Caller(Inner to) {
            this.to = to;
        }

        void send(
                String sentId,
                RuleChecker.Entry sent,
                String className,
                boolean unsafe,
                double leftMs,
                Consumer<Boolean> whenDone) {
            id = sentId;
            entry = sent;
            done = whenDone;
            String head = (unsafe ? "POST /" : "GET /") + className + " HTTP/1.1\r\nHost: lab\r\nX-Correlation-Id: "
                    + id + "\r\nX-Service-Class: " + className + "\r\nX-Time-Left-Ms: " + (long) Math.max(1, leftMs)
                    + "\r\n" + (unsafe ? "Content-Length: 0\r\n" : "") + "\r\n";
            channel.writeAndFlush(ByteBufUtil.writeAscii(channel.alloc(), head));
        }

        private void end(boolean ok) {
            Consumer<Boolean> d = done;
            done = null;
            if (d != null) {
                d.accept(ok);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            ByteBuf in = (ByteBuf) msg;
            try {
                while (in.isReadable() && decoder.decode(in)) {
                    HttpResponse r = decoder.takeResponse();
                    entry.answered(
                            clock.nowMs(),
                            r.status() == 200
                                    ? RuleChecker.Answer.SERVED
                                    : r.status() == 503 ? RuleChecker.Answer.REFUSED : RuleChecker.Answer.FAILED);
                    if (r.keepAlive() && channel.isActive()) {
                        to.idle.add(this);
                    } else {
                        channel.close();
                    }
                    end(r.status() == 200);
                }
            } catch (HttpException e) {
                ctx.close();
            } finally {
                in.release();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            to.idle.remove(this);
            if (done != null && to.node == null) {
                entry.nodeDied(clock.nowMs());
            }
            end(false);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private final class Behave implements StandInServer.Behaviour {
        private final int tier;
        private final ContinuousSampler work;
        private final UniformRandomProvider random;

        Behave(int tier, UniformRandomProvider random) {
            this.tier = tier;
            this.random = random;
            this.work = spec.tiers().get(tier).work().sampler(random);
        }

        @Override
        public double[] parts(HttpRequest r) {
            TierSpec t = spec.tiers().get(tier);
            int calls = t.callsLeast()
                    + (t.callsMost() > t.callsLeast() ? random.nextInt(t.callsMost() - t.callsLeast() + 1) : 0);
            double all = told(r.headers());
            double[] parts = new double[calls + 1];
            java.util.Arrays.fill(parts, all / (calls + 1));
            return parts;
        }

        private double told(Headers headers) {
            String facts = headers.get("X-Facts");
            if (facts != null && FACTS.matcher(facts).matches()) {
                return Double.parseDouble(facts.substring(5));
            }
            return work.sample();
        }

        @Override
        public void call(StandInServer from, HttpRequest r, double deadlineMs, int number, Consumer<Boolean> done) {
            List<Inner> next = inner.get(tier + 1);
            Inner to = spec.tiers().get(tier + 1).nodes() == 0
                    ? next.get(from.index)
                    : next.get(random.nextInt(next.size()));
            String named = spec.tiers().get(tier).callClass() == null
                    ? r.firstPathSegment()
                    : spec.tiers().get(tier).callClass();
            double now = clock.nowMs();
            if (to.node == null || deadlineMs - now < 1) {
                done.accept(false);
                return;
            }
            boolean unsafe = spec.classes().stream().anyMatch(c -> c.name().equals(named) && c.unsafe());
            Caller kept = to.idle.pollLast();
            if (kept != null && kept.channel.isActive()) {
                send(kept, named, unsafe, deadlineMs, done);
                return;
            }
            Caller c = new Caller(to);
            StandInHttp.bootstrap(loop).handler(c).connect(to.address).addListener(f -> {
                if (!f.isSuccess()) {
                    done.accept(false);
                    return;
                }
                c.channel = ((io.netty.channel.ChannelFuture) f).channel();
                send(c, named, unsafe, deadlineMs, done);
            });
        }

        @Override
        public double wayMs(StandInServer at, String node) {
            // Nodes are named n0-0, n0-1 and so on; one that is not of this world is everywhere.
            boolean crosses = node.startsWith("n")
                    && node.indexOf('-') > 0
                    && !spec.zone(Integer.parseInt(node.substring(node.indexOf('-') + 1)))
                            .equals(at.zone());
            board.sent(crosses);
            return crosses ? spec.net().crossMs() : 0;
        }

        private void send(Caller c, String named, boolean unsafe, double deadlineMs, Consumer<Boolean> done) {
            double now = clock.nowMs();
            String id = HexFormat.of().toHexDigits(random.nextLong());
            RuleChecker.Entry entry = ledger.taken(now, id, named, c.to.name, unsafe, deadlineMs);
            registry.add(id, entry, now, deadlineMs);
            c.send(id, entry, named, unsafe, deadlineMs - now, done);
            scheduler.at(deadlineMs + SLACK_MS, () -> {
                if (c.to.node != null) {
                    entry.close(clock.nowMs());
                }
            });
        }
    }

    private final World spec;
    private final Scoreboard board;
    private final ProcessLinks links;
    /** Servers' places by their addresses. */
    private final Map<String, String> places = new HashMap<>();

    private final long seed;
    private final EventLoop loop;
    private final Clock clock;
    private final LoopScheduler scheduler;
    private final RuleChecker ledger;
    private final Observation observation;
    private final Registry registry = new Registry();
    private final List<List<StandInServer>> tiers = new ArrayList<>();
    private final List<StandInDiscovery> discoveries = new ArrayList<>();
    private final Map<Integer, List<Inner>> inner = new HashMap<>();
    private List<NodeProcess> nodes = List.of();

    /** Servers, lists and inner nodes of a world, all running; not on the loop. */
    LiveWorld(World spec, long seed, EventLoop loop, Clock clock, Scoreboard board, ProcessLinks links) {
        this(spec, seed, loop, clock, board, links, PLAIN);
    }

    /** The same on direct links, watched in another way. */
    public LiveWorld(World spec, long seed, EventLoop loop, Clock clock, Observation observation) {
        this(spec, seed, loop, clock, new Scoreboard(spec), ProcessLinks.DIRECT, observation);
    }

    private LiveWorld(
            World spec,
            long seed,
            EventLoop loop,
            Clock clock,
            Scoreboard board,
            ProcessLinks links,
            Observation observation) {
        this.spec = spec;
        this.links = links;
        this.board = board;
        this.seed = seed;
        this.loop = loop;
        this.clock = clock;
        this.scheduler = new LoopScheduler(loop, clock);
        this.observation = observation;
        this.ledger = new RuleChecker(observation.answerSlackMs(), spec.limits().drainGraceMs() + GRACE_SLACK_MS);
        Streams streams = new Streams(seed);
        for (int t = 0; t < spec.tiers().size(); t++) {
            StandInDiscovery d = new StandInDiscovery(
                    loop, scheduler, spec.discovery(), ledger, this::moveNode, this::seenFrom, observation);
            discoveries.add(d);
            tiers.add(servers(t, d, streams));
        }
        for (int t = 1; t < spec.tiers().size(); t++) {
            List<Inner> of = new ArrayList<>();
            for (int i = 0; i < spec.nodes(t); i++) {
                Inner n = new Inner(t, i, discoveryFor(t, "n" + t + "-" + i));
                n.start();
                of.add(n);
                if (spec.tiers().get(t).nodes() == 0) {
                    StandInServer owner = tiers.get(t - 1).get(i);
                    owner.onDie = n::kill;
                    owner.onStart = () -> n.aside(n::start);
                }
            }
            inner.put(t, of);
        }
    }

    private List<StandInServer> servers(int tier, StandInDiscovery d, Streams streams) {
        TierSpec t = spec.tiers().get(tier);
        UniformRandomProvider speeds = streams.take();
        List<Double> spread = new ArrayList<>();
        for (int i = 0; i < t.servers(); i++) {
            spread.add(1 + t.speedSpread() * (t.servers() == 1 ? 0 : 2.0 * i / (t.servers() - 1) - 1));
        }
        for (int i = spread.size() - 1; i > 0; i--) {
            java.util.Collections.swap(spread, i, speeds.nextInt(i + 1));
        }
        Behave behave = new Behave(tier, streams.take());
        List<StandInServer> of = new ArrayList<>();
        for (int i = 0; i < t.servers(); i++) {
            ServerModel model = new ServerModel(
                    t.profile().withSpeed(t.profile().speed() * spread.get(i)), scheduler, streams.take());
            StandInServer s = new StandInServer(
                    tier,
                    i,
                    loop,
                    scheduler,
                    model,
                    ledger,
                    registry,
                    behave,
                    d,
                    spec.zone(i),
                    spec.limits(),
                    observation);
            of.add(s);
            places.put(s.dial(), s.place());
            d.list().begin(s.target(EndpointState.UP));
        }
        return of;
    }

    private String discoveryFor(int tier, String node) {
        return links.through(node, "discovery-" + tier, discoveries.get(tier).addressFor(node));
    }

    /** A list as a node sees it: servers are where the links to them begin. */
    private EndpointList seenFrom(String node, EndpointList g) {
        List<ServerEndpoint> targets = new ArrayList<>();
        for (ServerEndpoint t : g.endpoints()) {
            targets.add(new ServerEndpoint(
                    t.host(),
                    links.through(node, places.getOrDefault(t.address(), t.host()), t.address()),
                    t.zone(),
                    t.cell(),
                    t.weight(),
                    t.startedAtMs(),
                    t.state()));
        }
        return new EndpointList(g.version(), g.complete(), targets);
    }

    private void moveNode(String name, String moved) {
        String dial = links.through(name, "discovery", moved);
        for (NodeProcess n : nodes) {
            if (n.name().equals(name)) {
                n.discoveryAt(dial);
            }
        }
        inner.values()
                .forEach(of -> of.forEach(n -> {
                    if (n.name.equals(name)) {
                        n.discovery = dial;
                        Node running = n.node;
                        if (running != null) {
                            n.aside(() -> running.reconfigure(() -> Config.parse(SettingsJson.config(
                                            name,
                                            "127.0.0.1:0",
                                            dial,
                                            SOCKETS,
                                            spec.settings(n.tier, n.index, seed * 31 + n.index),
                                            seenFrom(
                                                    name,
                                                    discoveries
                                                            .get(n.tier)
                                                            .list()
                                                            .whole()))
                                    .toString())));
                        }
                    }
                }));
    }

    /** The configuration of a node before the first tier. */
    public JsonObject nodeConfig(String name, int index, String listen) {
        return SettingsJson.config(
                name,
                listen,
                discoveryFor(0, name),
                SOCKETS,
                spec.settings(0, index, seed * 17 + index),
                seenFrom(name, discoveries.get(0).list().whole()));
    }

    /** The nodes before the first tier, which troubles may strike. */
    void nodes(List<NodeProcess> processes) {
        nodes = processes;
    }

    /** Connections that servers of the first tier have accepted so far. */
    long connections() {
        return tiers.get(0).stream().mapToLong(StandInServer::accepted).sum();
    }

    /** The rules. */
    public RuleChecker ledger() {
        return ledger;
    }

    /** The requests that servers may be sent. */
    public Registry registry() {
        return registry;
    }

    @Override
    public Scheduler scheduler() {
        return scheduler;
    }

    @Override
    public List<StandInServer> servers(int tier) {
        return tiers.get(tier);
    }

    @Override
    public List<NodeProcess> nodes() {
        return nodes;
    }

    @Override
    public StandInDiscovery discovery(int tier) {
        return discoveries.get(tier);
    }

    /** Ends all. */
    public void close() throws IOException {
        tiers.forEach(of -> of.forEach(StandInServer::close));
        discoveries.forEach(StandInDiscovery::close);
        inner.values()
                .forEach(of -> of.forEach(n -> {
                    if (n.node != null) {
                        n.node.kill();
                    }
                }));
    }
}
