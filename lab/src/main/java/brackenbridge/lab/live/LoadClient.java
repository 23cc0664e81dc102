package brackenbridge.lab.live;

import brackenbridge.clock.Clock;
import brackenbridge.http.HttpException;
import brackenbridge.http.HttpResponse;
import brackenbridge.http.ResponseDecoder;
import brackenbridge.lab.load.Arrivals;
import brackenbridge.lab.load.ClientBehaviour;
import brackenbridge.lab.load.Mix;
import brackenbridge.lab.random.Streams;
import brackenbridge.lab.rules.RuleChecker;
import brackenbridge.lab.rules.RuleChecker.Answer;
import brackenbridge.lab.stats.Scoreboard;
import brackenbridge.lab.stats.Scoreboard.End;
import brackenbridge.lab.world.World;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The load tool: requests go out when they are due, whatever becomes of those before (open loop), and every latency
 * runs from the moment at which the request was due, so that a stall of the target shows in all that were due in it.
 * What the tool itself sends late is measured too, and marks the run.
 */
final class LoadClient {
    /** A first try that is written so much after it was due was sent late by the tool. */
    private static final double LATE_MS = 10;
    /** The part of late first tries from which a run is marked. */
    private static final double LATE_PART = 0.01;

    private static final double SLACK_MS = 58;
    private static final double END_MS = 500;

    /** Where clients may go: a node, or whatever listens at an address. */
    interface Gate {
        /** Its name. */
        String name();

        /** Where it listens. */
        InetSocketAddress address();

        /** Whether the front sends clients there. */
        boolean open();

        /** What it decides for the rule on lost requests: whether its process was killed meanwhile. */
        default boolean killed() {
            return false;
        }
    }

    /** A connection to a gate. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        final Gate gate;
        final ResponseDecoder decoder = new ResponseDecoder();
        Channel channel;
        Attempted at;
        int uses;
        boolean keep;
        boolean begun;

        Connection(Gate gate) {
            this.gate = gate;
        }

        void send(Attempted a) {
            at = a;
            uses++;
            begun = false;
            a.written(this);
            channel.writeAndFlush(a.bytes(channel)).addListener(f -> {
                if (!f.isSuccess()) {
                    channel.close();
                }
            });
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            ByteBuf in = (ByteBuf) msg;
            begun = true;
            try {
                while (in.isReadable()) {
                    if (!decoder.decode(in)) {
                        break;
                    }
                    answered(decoder.takeResponse());
                }
            } catch (HttpException e) {
                ctx.close();
            } finally {
                in.release();
            }
        }

        private void answered(HttpResponse r) {
            Attempted a = at;
            at = null;
            boolean stays = r.keepAlive() && keep && channel.isActive();
            if (stays) {
                idle.computeIfAbsent(gate, g -> new ArrayDeque<>()).add(this);
            } else {
                channel.close();
            }
            if (a != null) {
                a.answered(r);
            }
            next();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections--;
            ArrayDeque<Connection> kept = idle.get(gate);
            if (kept != null) {
                kept.remove(this);
            }
            Attempted a = at;
            at = null;
            if (a != null) {
                a.broken(uses > 1 && !begun);
            }
            next();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** A first try and its repeats. */
    private final class Attempted {
        final double dueMs;
        final int classIndex;
        final int tenant;
        final double part;
        final World.ClassSpec spec;
        final boolean heeds;
        final double work;
        int tries;
        boolean over;
        boolean crossed;
        boolean kept;
        boolean written;
        boolean waits;
        double tryEndsMs;
        Gate gate;
        String id;
        RuleChecker.Entry entry;
        Connection connection;

        Attempted(double dueMs) {
            this.dueMs = dueMs;
            classIndex = mix.drawClass();
            tenant = mix.drawTenant();
            part = mix.part(tenant, dueMs - startMs);
            spec = world.classes().get(classIndex);
            heeds = habits.heeds();
            work = workSampler.sample();
            double leaves = habits.leavesAfter(spec.deadlineMs());
            if (Double.isFinite(leaves)) {
                scheduler.at(dueMs + leaves, this::leaves);
            }
            scheduler.at(deadline() + SLACK_MS, this::timesOut);
        }

        double deadline() {
            return dueMs + spec.deadlineMs();
        }

        void go() {
            if (over) {
                return;
            }
            tries++;
            crossed = false;
            id = HexFormat.of().toHexDigits(ids.nextLong());
            tryEndsMs = Math.min(deadline(), clock.nowMs() + habits.tryLasts(spec.deadlineMs()));
            if (tryEndsMs < deadline()) {
                int number = tries;
                scheduler.at(tryEndsMs + SLACK_MS, () -> tryTimesOut(number));
            }
            gate = pick();
            if (gate == null) {
                failed(null, false, 0);
                return;
            }
            begin(habits.keepsConnection());
        }

        private void begin(boolean keep) {
            kept = keep;
            ArrayDeque<Connection> pool = idle.get(gate);
            Connection c = pool == null || !keep ? null : pool.pollLast();
            if (c != null) {
                c.send(this);
            } else if (connections >= mostConnections) {
                waits = true;
                waiting.add(this);
            } else {
                connect();
            }
        }

        void connect() {
            connections++;
            Connection c = new Connection(gate);
            c.keep = kept;
            StandInHttp.bootstrap(loop).handler(c).connect(gate.address()).addListener(f -> {
                if (!f.isSuccess()) {
                    connections--;
                    if (!over) {
                        failed(null, false, 0);
                    }
                    next();
                    return;
                }
                c.channel = ((io.netty.channel.ChannelFuture) f).channel();
                if (over) {
                    c.channel.close();
                } else {
                    c.send(this);
                }
            });
        }

        void written(Connection on) {
            double now = clock.nowMs();
            connection = on;
            written = true;
            if (tries == 1 && !crossed && dueMs - startMs >= world.warmupS() * 1000) {
                due++;
                long lateUs = Math.max(0, Math.round((now - dueMs) * 1000));
                lag.recordValue(Math.min(lag.getHighestTrackableValue(), lateUs));
                if (now - dueMs > LATE_MS) {
                    late++;
                }
            }
            if (entry == null || !crossed) {
                entry = ledger.taken(now, id, spec.name(), gate.name(), spec.unsafe(), tryEndsMs);
                registry.add(id, entry, now, tryEndsMs);
            }
        }

        ByteBuf bytes(Channel to) {
            double left = Math.max(1, tryEndsMs - clock.nowMs());
            StringBuilder head = new StringBuilder(256);
            head.append(spec.unsafe() ? "POST /" : "GET /")
                    .append(spec.name())
                    .append(" HTTP/1.1\r\n")
                    .append("Host: lab\r\nX-Correlation-Id: ")
                    .append(id)
                    .append("\r\nX-Service-Class: ")
                    .append(spec.name())
                    .append("\r\nX-Time-Left-Ms: ")
                    .append((long) left)
                    .append("\r\n");
            if (tenant >= 0) {
                head.append("X-Account: ")
                        .append(world.tenants().get(tenant).name())
                        .append("\r\n");
            }
            if (tries > 1) {
                head.append("X-Repeat: 1\r\n");
            }
            long tenths = Math.round(work * 1e4);
            head.append("X-Facts: work=")
                    .append(tenths / 10_000)
                    .append('.')
                    .append(Long.toString(10_000 + tenths % 10_000), 1, 5)
                    .append("\r\n");
            if (spec.unsafe()) {
                head.append("Content-Length: 9\r\n\r\nsignature");
            } else {
                head.append("\r\n");
            }
            return ByteBufUtil.writeAscii(to.alloc(), head);
        }

        void answered(HttpResponse r) {
            double now = clock.nowMs();
            Answer how = r.status() == 200
                    ? Answer.SERVED
                    : r.status() == 503 || r.status() == 429 ? Answer.REFUSED : Answer.FAILED;
            String body = new String(r.body(), StandardCharsets.ISO_8859_1);
            if (how == Answer.SERVED && checkBodies && !body.startsWith("served " + id + " by ")) {
                entry.forged(
                        now,
                        "answered with a body of its own: '" + body.substring(0, Math.min(60, body.length())) + "'");
            }
            entry.answered(now, how);
            if (over) {
                return;
            }
            if (how == Answer.SERVED) {
                end(now <= dueMs + spec.aimMs() ? End.IN_AIM : now <= deadline() ? End.LATE : End.UNANSWERED);
            } else {
                failed(how, true, retryAfter(r));
            }
        }

        private double retryAfter(HttpResponse r) {
            String text = r.headers().get("Retry-After");
            return text != null && text.matches("[0-9]{1,6}(\\.[0-9]{1,6})?") ? Double.parseDouble(text) * 1000 : 0;
        }

        /** The connection ended without an answer; on a kept one the close may have crossed the request. */
        void broken(boolean mayHaveCrossed) {
            connection = null;
            if (over) {
                return;
            }
            if (mayHaveCrossed && !crossed) {
                crossed = true;
                connectAgain();
                return;
            }
            if (gate.killed()) {
                entry.nodeDied(clock.nowMs());
            }
            failed(null, true, 0);
        }

        private void connectAgain() {
            if (gate.open()) {
                connect();
            } else {
                entry.nodeDied(clock.nowMs());
                failed(null, false, 0);
            }
        }

        private void failed(Answer how, boolean taken, double retryAfterMs) {
            double now = clock.nowMs();
            ClientBehaviour.Next next =
                    habits.afterFailure(how, taken, spec.unsafe(), tries, heeds, retryAfterMs, now, deadline());
            if (next.end() != null) {
                end(next.end());
            } else {
                scheduler.at(now + next.waitMs(), this::go);
            }
        }

        void leaves() {
            if (!over) {
                if (entry != null) {
                    entry.gone(clock.nowMs());
                }
                hangUp();
                end(End.GONE);
            }
        }

        void timesOut() {
            if (!over) {
                if (connection != null && entry != null && !gate.killed()) {
                    entry.close(clock.nowMs());
                }
                hangUp();
                end(End.UNANSWERED);
            }
        }

        /** This try is given up; what follows goes by the class. */
        private void tryTimesOut(int number) {
            if (over || number != tries || connection == null || connection.at != this) {
                return;
            }
            if (!gate.killed()) {
                entry.close(clock.nowMs());
            }
            hangUp();
            failed(null, true, 0);
        }

        private void hangUp() {
            if (connection != null && connection.at == this) {
                connection.at = null;
                connection.channel.close();
            }
        }

        void end(End how) {
            over = true;
            if (!written && dueMs - startMs >= world.warmupS() * 1000 && gate != null) {
                // It waited for a connection until its time was over: the tool never sent it.
                due++;
                late += connection == null && tries == 1 && waits ? 1 : 0;
            }
            openFirst--;
            board.ended(classIndex, tenant, dueMs - startMs, clock.nowMs() - dueMs, part, how, tries);
            finishIfDone();
        }
    }

    private final World world;
    private final EventLoop loop;
    private final Clock clock;
    private final LoopScheduler scheduler;
    private final List<? extends Gate> gates;
    private final Scoreboard board;
    private final RuleChecker ledger;
    private final Registry registry;
    private final boolean checkBodies;
    private final int mostConnections;
    private final Arrivals arrivals;
    private final Mix mix;
    private final ClientBehaviour habits;
    private final UniformRandomProvider ids;
    private final UniformRandomProvider front;
    private final org.apache.commons.rng.sampling.distribution.ContinuousSampler workSampler;
    private final Map<Gate, ArrayDeque<Connection>> idle = new HashMap<>();
    private final ArrayDeque<Attempted> waiting = new ArrayDeque<>();
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private final Histogram lag = new Histogram(600_000_000L, 3);
    private double startMs;
    private double nextDue;
    private boolean allDue;
    private long late;
    private long due;
    private long openFirst;
    private int connections;

    LoadClient(
            World world,
            long seed,
            EventLoop loop,
            Clock clock,
            List<? extends Gate> gates,
            Scoreboard board,
            RuleChecker ledger,
            Registry registry,
            boolean checkBodies,
            int mostConnections) {
        this.world = world;
        this.loop = loop;
        this.clock = clock;
        this.scheduler = new LoopScheduler(loop, clock);
        this.gates = gates;
        this.board = board;
        this.ledger = ledger;
        this.registry = registry;
        this.checkBodies = checkBodies;
        this.mostConnections = mostConnections;
        Streams streams = new Streams(seed);
        arrivals = new Arrivals(world, streams.take(), world.warmupS() * 1000);
        mix = new Mix(world, streams.take());
        habits = new ClientBehaviour(world.clients(), streams.take());
        ids = streams.take();
        front = streams.take();
        workSampler = world.tiers().get(0).work().sampler(streams.take());
    }

    /** Begins; what is returned completes when all first tries have ended. */
    CompletableFuture<Void> start() {
        loop.execute(() -> {
            startMs = clock.nowMs();
            nextDue = startMs + arrivals.next();
            sendDue();
        });
        return done;
    }

    double startMs() {
        return startMs;
    }

    private void sendDue() {
        double now = clock.nowMs();
        while (nextDue <= now) {
            openFirst++;
            new Attempted(nextDue).go();
            nextDue = startMs + arrivals.next();
            now = clock.nowMs();
        }
        if (Double.isInfinite(nextDue)) {
            allDue = true;
            finishIfDone();
        } else {
            scheduler.at(nextDue, this::sendDue);
        }
    }

    private void finishIfDone() {
        if (allDue && openFirst == 0 && !done.isDone()) {
            scheduler.at(clock.nowMs() + END_MS, () -> done.complete(null));
        }
    }

    /** A place has become free for one that waits. */
    private void next() {
        while (!waiting.isEmpty() && waiting.peek().over) {
            waiting.poll();
        }
        Attempted a = waiting.peek();
        if (a == null) {
            return;
        }
        ArrayDeque<Connection> kept = idle.get(a.gate);
        if (connections < mostConnections || kept != null && !kept.isEmpty()) {
            waiting.poll();
            a.begin(true);
        }
    }

    private Gate pick() {
        List<Gate> open = new ArrayList<>();
        for (Gate g : gates) {
            if (g.open()) {
                open.add(g);
            }
        }
        return open.isEmpty() ? null : open.get(front.nextInt(open.size()));
    }

    /** First tries that have been due, the warm-up aside, and were written. */
    long sent() {
        return due;
    }

    /** How late the tool wrote first tries, in microseconds. */
    Histogram lag() {
        return lag;
    }

    /** Whether more was due than the tool could send in time. */
    boolean overrun() {
        return late > LATE_PART * Math.max(1, due);
    }

    /** First tries that the tool wrote late. */
    long late() {
        return late;
    }
}
