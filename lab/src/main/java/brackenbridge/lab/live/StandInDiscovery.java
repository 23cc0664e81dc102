package brackenbridge.lab.live;

import brackenbridge.core.EndpointList;
import brackenbridge.core.ServerEndpoint;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.http.Headers;
import brackenbridge.http.HttpRequest;
import brackenbridge.lab.rules.RuleChecker;
import brackenbridge.lab.trouble.Stage;
import brackenbridge.lab.world.ServiceList;
import brackenbridge.lab.world.World;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;

/**
 * Discovery of one tier on real sockets: the whole list, and watches that last. Each node has an address of its own
 * here, so that what it was told, and when, is known. Where lists are pushed that address is the node's agent: what the
 * agent was sent counts as told, and while discovery is down it holds calls and says nothing.
 */
final class StandInDiscovery implements Stage.Discovery {
    private static final double BEAT_MS = 2000;
    private static final double MOVED_MS = 1500;
    /** A call that would wait longer than this in the queue fails. */
    private static final double LONGEST_WAIT_MS = 1000;
    /**
     * A node whose watch ends after a message asks again within 0.6 s, and may be held up for 0.15 s: a change that the
     * watch did not tell counts as told then.
     */
    private static final double ASKS_AGAIN_WITHIN_MS = 750;

    /** How long a watch stays open that ends in place of telling. */
    private static final double UNTOLD_WATCH_MS = 500;

    private final class Call extends StandInHttp.Serving {
        private final String node;
        private boolean watching;
        private boolean over;
        private long told;

        Call(String node) {
            this.node = node;
        }

        @Override
        void request(HttpRequest r) {
            if (down && spec.pushed()) {
                heldCalls.add(() -> {
                    if (channel.isActive()) {
                        request(r);
                    }
                });
                return;
            }
            if (down) {
                reset();
                return;
            }
            if (!r.firstPathSegment().equals("registry")) {
                answer(404, new Headers(), new byte[0]);
                return;
            }
            if (!r.target().contains("watch=1")) {
                fetch();
                return;
            }
            int after = r.target().indexOf("after=");
            long version = after < 0
                    ? -1
                    : Long.parseLong(r.target().substring(after + 6).replaceAll("[^-0-9].*", ""));
            write(
                    Unpooled.copiedBuffer(
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", StandardCharsets.ISO_8859_1),
                    false);
            if (endsNextWatchUntold) {
                endsNextWatchUntold = false;
                endUntold(version);
                return;
            }
            watching = true;
            watches.add(this);
            EndpointList since = list.since(version);
            told = list.seq();
            line(since);
            beat();
        }

        private void fetch() {
            double now = scheduler.nowMs();
            double starts = Math.max(now, busyUntilMs);
            busyUntilMs = starts + callMs;
            if (busyUntilMs - now > LONGEST_WAIT_MS) {
                scheduler.at(now + LONGEST_WAIT_MS, () -> answer(503, new Headers(), new byte[0]));
                return;
            }
            scheduler.at(busyUntilMs, () -> {
                if (down) {
                    reset();
                    return;
                }
                EndpointList whole = list.whole();
                byte[] text =
                        SettingsJson.group(seen.apply(node, whole)).toString().getBytes(StandardCharsets.UTF_8);
                listBytes += text.length;
                answer(200, new Headers(), text);
                tell(whole);
            });
        }

        private void tell(EndpointList g) {
            String caller = observation.callers().caller(node, channel);
            if (caller == null) {
                return;
            }
            for (ServerEndpoint t : g.endpoints()) {
                ledger.told(scheduler.nowMs(), caller, t.host(), t.state() == EndpointState.UP);
            }
        }

        private void line(EndpointList g) {
            if (g.endpoints().stream().noneMatch(observation.faults()::withholds)) {
                chunk(SettingsJson.group(seen.apply(node, g)) + "\n");
            }
            tell(g);
        }

        private void chunk(String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            listBytes += bytes.length;
            write(
                    Unpooled.copiedBuffer(
                            Unpooled.copiedBuffer(
                                    Integer.toHexString(bytes.length) + "\r\n", StandardCharsets.ISO_8859_1),
                            Unpooled.wrappedBuffer(bytes),
                            Unpooled.copiedBuffer("\r\n", StandardCharsets.ISO_8859_1)),
                    false);
        }

        private void beat() {
            scheduler.at(scheduler.nowMs() + BEAT_MS, () -> {
                if (!over) {
                    if (!down) {
                        chunk("\n");
                    }
                    beat();
                }
            });
        }

        void changed() {
            if (!over && !down && told < list.seq()) {
                EndpointList since = list.since(told);
                told = list.seq();
                line(since);
            }
        }

        /** Tells nothing but that the watch is open, and ends it soon, whatever has changed since this version. */
        private void endUntold(long version) {
            chunk("\n");
            // Looked up now: by the end of the watch its process may have ended, and another one have taken its place.
            String caller = observation.callers().caller(node, channel);
            scheduler.at(scheduler.nowMs() + UNTOLD_WATCH_MS, () -> {
                channel.close();
                double asksAgainMs = scheduler.nowMs() + ASKS_AGAIN_WITHIN_MS;
                if (caller != null) {
                    scheduler.at(asksAgainMs, () -> toldUnasked(asksAgainMs, caller, version));
                }
            });
        }

        private void toldUnasked(double atMs, String caller, long version) {
            for (ServerEndpoint change : list.since(version).endpoints()) {
                if (change.state() != EndpointState.UP) {
                    ledger.told(atMs, caller, change.host(), false);
                }
            }
        }

        @Override
        void ended() {
            over = true;
            if (watching) {
                watches.remove(this);
            }
        }
    }

    private final EventLoop loop;
    private final LoopScheduler scheduler;
    private final World.DiscoverySpec spec;
    private final RuleChecker ledger;
    private final ServiceList list = new ServiceList();
    private final Map<String, Channel> listening = new LinkedHashMap<>();
    private final List<Call> watches = new ArrayList<>();
    private final BiConsumer<String, String> nodeMoves;
    private final BiFunction<String, EndpointList, EndpointList> seen;
    private final Observation observation;
    private double extraMs;
    private double callMs;
    private double busyUntilMs;
    private boolean down;
    private boolean endsNextWatchUntold;
    /** Bytes of lists and changes so far; read by other threads once the load is over. */
    private volatile long listBytes;

    private final List<ServerEndpoint> held = new ArrayList<>();
    private final List<Runnable> heldCalls = new ArrayList<>();

    /**
     * An empty list.
     *
     * @param nodeMoves tells a node, by its name, that discovery has this address for it from now on
     * @param seen a list as a node, by its name, sees it: where servers are for it
     */
    StandInDiscovery(
            EventLoop loop,
            LoopScheduler scheduler,
            World.DiscoverySpec spec,
            RuleChecker ledger,
            BiConsumer<String, String> nodeMoves,
            BiFunction<String, EndpointList, EndpointList> seen,
            Observation observation) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.spec = spec;
        this.ledger = ledger;
        this.nodeMoves = nodeMoves;
        this.seen = seen;
        this.observation = observation;
    }

    /** Bytes of lists, changes and empty lines that it has written so far. */
    long listBytes() {
        return listBytes;
    }

    ServiceList list() {
        return list;
    }

    /** The address at which this node finds it. */
    String addressFor(String node) {
        return StandInHttp.dial(listening.computeIfAbsent(node, n -> listen(n)));
    }

    private Channel listen(String node) {
        return StandInHttp.listen(loop, new InetSocketAddress("127.0.0.1", 0), () -> new Call(node));
    }

    /** A server has changed; it is listed so after the notice. */
    void changed(ServerEndpoint t, boolean silent) {
        double wait = (silent ? spec.silentNoticeMs() : spec.noticeMs()) + extraMs;
        scheduler.at(scheduler.nowMs() + wait, () -> {
            if (down && spec.pushed()) {
                held.add(t);
            } else {
                list(t);
            }
        });
    }

    private void list(ServerEndpoint t) {
        list.change(t);
        if (spec.pushed()) {
            // Guards the rule on drains against a node that does not listen to its agent.
            listening.keySet().forEach(n -> ledger.told(scheduler.nowMs(), n, t.host(), t.state() == EndpointState.UP));
        }
        List.copyOf(watches).forEach(Call::changed);
    }

    @Override
    public void endNextWatchUntold() {
        endsNextWatchUntold = true;
    }

    @Override
    public void late(double ms) {
        extraMs = ms;
    }

    @Override
    public void silent(boolean on) {
        down = on;
        if (on && !spec.pushed()) {
            List.copyOf(watches).forEach(StandInHttp.Serving::reset);
        } else if (!on) {
            List<Runnable> calls = List.copyOf(heldCalls);
            heldCalls.clear();
            held.forEach(this::list);
            held.clear();
            calls.forEach(Runnable::run);
        }
    }

    @Override
    public void overloaded(double msForEach) {
        callMs = msForEach;
    }

    @Override
    public void moved() {
        Map<String, Channel> old = new LinkedHashMap<>(listening);
        List<Call> open = List.copyOf(watches);
        listening.clear();
        for (String node : old.keySet()) {
            StandInHttp.listenLater(loop, new InetSocketAddress("127.0.0.1", 0), () -> new Call(node))
                    .addListener(f -> {
                        if (f.isSuccess()) {
                            Channel moved = ((ChannelFuture) f).channel();
                            listening.put(node, moved);
                            nodeMoves.accept(node, StandInHttp.dial(moved));
                        }
                    });
        }
        old.values().forEach(Channel::close);
        scheduler.at(scheduler.nowMs() + MOVED_MS, () -> open.forEach(c -> c.channel.close()));
    }

    void close() {
        listening.values().forEach(Channel::close);
        List.copyOf(watches).forEach(c -> c.channel.close());
    }
}
