package brackenbridge.lab.live;

import brackenbridge.core.ServerEndpoint;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.core.balancing.LoadReport;
import brackenbridge.http.Headers;
import brackenbridge.http.HttpRequest;
import brackenbridge.lab.model.ServerModel;
import brackenbridge.lab.model.ServerModel.Verdict;
import brackenbridge.lab.rules.RuleChecker;
import brackenbridge.lab.trouble.Stage;
import brackenbridge.lab.world.World;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/** A server of the platform on a real socket, round the model. It lives on one event loop. */
final class StandInServer implements Stage.Server {
    /** Word of a closed connection may come so much after that of the next attempt. */
    private static final double CROSSING_MS = 50;
    /** From a handshake that took longer than this on, the first request's time of arrival is unknown. */
    private static final double HELD_BACK_MS = 20;

    private static final Pattern TIME = Pattern.compile("[0-9]{1,9}");

    /** Work and calls of a request that comes. */
    interface Behaviour {
        /** The parts of its work, as told in the request or drawn. */
        double[] parts(HttpRequest r);

        /** Makes a call to the next tier. */
        void call(StandInServer from, HttpRequest r, double deadlineMs, int number, Consumer<Boolean> done);

        /** Something goes between it and a node: how long on the way, in milliseconds; 0 within a zone. */
        double wayMs(StandInServer at, String node);
    }

    private final class Connection extends StandInHttp.Serving {
        private ServerModel.Job job;
        private RuleChecker.Attempt attempt;
        private double idleSinceMs;
        private int uses;
        private boolean taken;
        private double way;
        private LongTransferServer latestTransfer;
        /** Bytes may have come long before they were read: the handshake's work held them. */
        private boolean heldBack;
        /** The long transfer under way; null if there is none, while bytes of the latest one may be on their way. */
        private LongTransferServer transfer;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            super.channelActive(ctx);
            connections.add(this);
            accepted++;
            idleSinceMs = scheduler.nowMs();
            channel.config().setAutoRead(false);
            model.connect(ok -> {
                taken = ok;
                if (!ok) {
                    reset();
                } else if (!cutOff) {
                    heldBack = scheduler.nowMs() - idleSinceMs > HELD_BACK_MS;
                    channel.config().setAutoRead(true);
                }
            });
            idleClose();
        }

        private void idleClose() {
            double after = model.profile().connections().idleCloseMs();
            if (after <= 0) {
                return;
            }
            double at = idleSinceMs;
            scheduler.at(at + after, () -> {
                if (!channel.isActive()) {
                    return;
                }
                if (job == null && transfer == null && idleSinceMs == at) {
                    channel.close();
                } else {
                    if (idleSinceMs == at) {
                        idleSinceMs = scheduler.nowMs();
                    }
                    idleClose();
                }
            });
        }

        @Override
        void head(HttpRequest r) {
            LongTransfer planned = registry.transferOf(r.headers().get("X-Correlation-Id"));
            transfer = planned == null ? null : new LongTransferServer(planned, channel, scheduler);
            latestTransfer = transfer;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            int bytes = ((ByteBuf) msg).readableBytes();
            super.channelRead(ctx, msg);
            if (transfer != null && job == null) {
                transfer.onRead(bytes);
            }
        }

        @Override
        void reset() {
            if (latestTransfer != null) {
                latestTransfer.onBrokenByServer();
            }
            super.reset();
        }

        @Override
        void request(HttpRequest r) {
            double now = scheduler.nowMs();
            if (transfer == null) {
                head(r);
            }
            if (uses++ > 0 && now - idleSinceMs > staleMs) {
                reset();
                return;
            }
            if (r.target().equals("/health/live") || r.target().equals("/stats")) {
                probe();
                return;
            }
            String id = r.headers().get("X-Correlation-Id");
            Registry.Known known = registry.of(id);
            if (known == null) {
                // Guards the rules: a request that no client sent, or an id that was made up on the way.
                answer(id == null ? 404 : 400, new Headers(), new byte[0]);
                return;
            }
            checkDrain(transfer == null ? now : transfer.headMs(), known.entry);
            way = behaviour.wayMs(StandInServer.this, known.entry.node());
            afterWay(() -> {
                begin(r, id, known, scheduler.nowMs());
                if (!channel.isActive()) {
                    giveUp();
                }
            });
        }

        /** Which process sends is looked up only where one of them must not: the look-up takes milliseconds. */
        private void checkDrain(double now, RuleChecker.Entry entry) {
            CallerLookup callers = observation.callers();
            boolean suspect =
                    callers.candidates(entry.node()).stream().anyMatch(process -> ledger.isTooLate(now, process, host));
            if (suspect) {
                String caller = callers.caller(entry.node(), channel);
                if (caller != null) {
                    ledger.sent(now, caller, host, entry);
                }
            }
        }

        private void afterWay(Runnable then) {
            if (way > 0) {
                scheduler.at(scheduler.nowMs() + way, then);
            } else {
                then.run();
            }
        }

        private void begin(HttpRequest r, String id, Registry.Known known, double now) {
            boolean crossing = known.entry.out() > 0;
            RuleChecker.Attempt before = known.last;
            attempt = known.entry.arrived(now, host, !crossing);
            if (!heldBack) {
                known.entry.begunFor(now, host);
            }
            known.last = attempt;
            if (crossing) {
                scheduler.at(now + CROSSING_MS, () -> {
                    if (before != null && !before.isOver()) {
                        known.entry.twoAtOnce(scheduler.nowMs(), host);
                    }
                });
            }
            if (observation.faults().repeatsRequest(known.entry.isUnsafe())) {
                known.entry.arrived(now, host, false);
            }
            double deadline = known.deadlineMs;
            String left = r.headers().get("X-Time-Left-Ms");
            if (left != null && TIME.matcher(left).matches()) {
                long toldMs = observation.faults().timeRead(Long.parseLong(left));
                if (!heldBack) {
                    known.entry.timeTold(transfer == null ? now : transfer.headMs(), host, toldMs);
                }
                deadline = now + toldMs;
            }
            heldBack = false;
            serve(r, id, deadline);
        }

        private void serve(HttpRequest r, String id, double deadline) {
            RuleChecker.Attempt mine = attempt;
            ServerModel.Job[] begun = new ServerModel.Job[1];
            boolean[] over = {false};
            begun[0] = model.begin(
                    r.firstPathSegment(),
                    behaviour.parts(r),
                    deadline,
                    (number, done) -> behaviour.call(StandInServer.this, r, deadline, number, done),
                    v -> {
                        over[0] = true;
                        replied(v, id, mine);
                    });
            job = over[0] ? null : begun[0];
        }

        private void replied(Verdict v, String id, RuleChecker.Attempt of) {
            job = null;
            double now = scheduler.nowMs();
            idleSinceMs = now;
            if (v == Verdict.TURNED_AWAY) {
                of.turnedAway(now);
            } else {
                of.ended(now, v.name());
            }
            LoadReport report = limits.reportsInAnswers() ? model.report() : null;
            afterWay(() -> {
                if (!cutOff && channel.isActive()) {
                    reply(v, id, report);
                }
            });
        }

        private void reply(Verdict v, String id, LoadReport report) {
            Headers fields = new Headers();
            if (report != null) {
                fields.add("X-Backend-Load", StandInAnswers.loadReport(report));
            }
            switch (v) {
                case SERVED ->
                    served(fields, StandInAnswers.body(observation.faults().answeredId(id), host));
                case ERROR -> answer(500, fields, new byte[0]);
                case TURNED_AWAY -> answer(503, fields.add("X-Unprocessed", "1"), new byte[0]);
                case SPOILT -> write(StandInAnswers.spoilt(spoilt++), false);
                default -> reset();
            }
        }

        private void served(Headers fields, byte[] body) {
            if (transfer != null && transfer.hasLongAnswer()) {
                transfer.answer(body, this::endTransfer);
                return;
            }
            if (!answersWithoutLength()) {
                answer(200, fields, body);
                return;
            }
            write(StandInAnswers.withoutLength(body), true);
        }

        private void endTransfer() {
            if (transfer.endsConnection()) {
                channel.close();
            } else {
                idleSinceMs = scheduler.nowMs();
                goOn();
            }
        }

        @Override
        void goOn() {
            transfer = null;
            super.goOn();
        }

        private void probe() {
            model.probe(passed -> {
                LoadReport report = passed && !limits.reportFields().isEmpty() ? model.report() : null;
                Headers fields = new Headers();
                byte[] body = new byte[0];
                if (report != null) {
                    body = StandInAnswers.loadReport(report).getBytes(StandardCharsets.ISO_8859_1);
                    fields.add("X-Backend-Load", StandInAnswers.loadReport(report));
                }
                if (channel.isActive() && !cutOff) {
                    answer(passed ? 200 : 503, fields, body);
                }
            });
        }

        @Override
        void ended() {
            connections.remove(this);
            if (taken) {
                model.disconnect();
            }
            giveUp();
        }

        private void giveUp() {
            if (job != null) {
                attempt.givenUp(scheduler.nowMs());
                model.cancel(job);
            }
        }
    }

    final int tier;
    final int index;
    private final EventLoop loop;
    private final LoopScheduler scheduler;
    private final RuleChecker ledger;
    private final Registry registry;
    private final Behaviour behaviour;
    private final StandInDiscovery discovery;
    private final String zone;
    private final World.LimitSpec limits;
    private final Observation observation;
    private final ServerModel model;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final String dial;
    /** Connections so far; read by other threads once nobody connects any more. */
    private volatile long accepted;

    private Channel listening;
    private String host;
    private double bornMs;
    private int names;
    private int spoilt;
    private boolean struck;
    private boolean cutOff;
    private double staleMs = Double.POSITIVE_INFINITY;
    private double partWithoutLength;
    private double dueWithoutLength;
    /** What ends and starts with it: the node of its own. */
    Runnable onDie = () -> {};

    Runnable onStart = () -> {};

    StandInServer(
            int tier,
            int index,
            EventLoop loop,
            LoopScheduler scheduler,
            ServerModel model,
            RuleChecker ledger,
            Registry registry,
            Behaviour behaviour,
            StandInDiscovery discovery,
            String zone,
            World.LimitSpec limits,
            Observation observation) {
        this.tier = tier;
        this.index = index;
        this.loop = loop;
        this.scheduler = scheduler;
        this.model = model;
        this.ledger = ledger;
        this.registry = registry;
        this.behaviour = behaviour;
        this.discovery = discovery;
        this.zone = zone;
        this.limits = limits;
        this.observation = observation;
        this.host = "s-" + tier + "-" + index;
        listening = StandInHttp.listen(loop, new InetSocketAddress("127.0.0.1", 0), Connection::new);
        dial = StandInHttp.dial(listening);
        model.onPushedOver(() -> {
            ledger.pushedOver(scheduler.nowMs(), host);
            die();
            list(EndpointState.REMOVED, true);
        });
    }

    ServerEndpoint target(EndpointState state) {
        return new ServerEndpoint(host, dial, zone, -1, 1, bornMs, state);
    }

    String zone() {
        return zone;
    }

    String host() {
        return host;
    }

    /** Connections that it has accepted so far. */
    long accepted() {
        return accepted;
    }

    /** Where it listens. */
    String dial() {
        return dial;
    }

    /** The name of its place, which stays the same when another server takes it. */
    String place() {
        return "s-" + tier + "-" + index;
    }

    void close() {
        if (listening != null) {
            listening.close();
        }
        List.copyOf(connections).forEach(c -> c.channel.close());
    }

    @Override
    public ServerModel model() {
        return model;
    }

    @Override
    public boolean struck() {
        return struck;
    }

    @Override
    public void strike(boolean on) {
        struck = on;
    }

    /** The kernel still takes connections; what comes on them is not read until the machine is back. */
    @Override
    public void cutOff(boolean on) {
        cutOff = on;
        connections.forEach(c -> c.channel.config().setAutoRead(!on));
        if (!on) {
            List.copyOf(connections).forEach(StandInHttp.Serving::reset);
        }
    }

    @Override
    public void stale(double afterMs) {
        staleMs = afterMs;
    }

    @Override
    public void withoutLength(double part) {
        partWithoutLength = part;
    }

    /** Evenly spread: as many answers as the part says. */
    private boolean answersWithoutLength() {
        dueWithoutLength += partWithoutLength;
        if (dueWithoutLength < 1) {
            return false;
        }
        dueWithoutLength--;
        return true;
    }

    @Override
    public void die() {
        model.die();
        if (listening != null) {
            listening.close();
            listening = null;
        }
        List.copyOf(connections).forEach(StandInHttp.Serving::reset);
        onDie.run();
    }

    @Override
    public void start(boolean renamed) {
        if (renamed) {
            host = "s-" + tier + "-" + index + "-r" + ++names;
        }
        InetSocketAddress at = StandInHttp.address(dial);
        listening = null;
        model.start();
        bornMs = scheduler.nowMs();
        bind(at, 0);
        list(EndpointState.UP, false);
        onStart.run();
    }

    /** The old process's sockets may take a moment to go. */
    private void bind(InetSocketAddress at, int tries) {
        StandInHttp.listenLater(loop, at, Connection::new).addListener(f -> {
            if (f.isSuccess()) {
                listening = ((ChannelFuture) f).channel();
            } else if (tries < 50) {
                scheduler.at(scheduler.nowMs() + 20, () -> bind(at, tries + 1));
            }
        });
    }

    @Override
    public void list(EndpointState state, boolean silent) {
        discovery.changed(target(state), silent);
    }
}
