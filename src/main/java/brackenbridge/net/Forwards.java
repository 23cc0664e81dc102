package brackenbridge.net;

import brackenbridge.BalancerApi.Settings;
import brackenbridge.clock.Clock;
import brackenbridge.core.Effect;
import brackenbridge.core.Event;
import brackenbridge.core.Event.Reply;
import brackenbridge.counters.Counters;
import brackenbridge.http.HttpEncoder;
import brackenbridge.http.HttpException;
import brackenbridge.http.HttpRequest;
import brackenbridge.http.HttpResponse;
import brackenbridge.http.LoadReport;
import brackenbridge.http.ResponseDecoder;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Sends forwards to servers, each alone on a connection, and keeps connections for the next. */
final class Forwards {
    private final Bootstrap bootstrap;
    private final Settings settings;
    private final Clock clock;
    private final Events events;
    private final Sockets sockets;
    private final Counters counters;
    private final Runnable makeRoom;
    private final double idleMs;
    private final Map<String, ArrayDeque<Connection>> idle = new HashMap<>();
    private final Map<Long, Running> running = new HashMap<>();

    /** A forward from its effect to its end. */
    private static final class Running {
        final Effect.Forward forward;
        Connection connection;
        boolean written;

        Running(Effect.Forward forward) {
            this.forward = forward;
        }
    }

    Forwards(Bootstrap bootstrap, Settings settings, Clock clock, Events events, Sockets sockets,
            Counters counters, Runnable makeRoom) {
        this.settings = settings;
        this.clock = clock;
        this.events = events;
        this.sockets = sockets;
        this.counters = counters;
        this.makeRoom = makeRoom;
        this.bootstrap = bootstrap.clone().option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) Math.max(1, settings.network().connectTimeout() / 1000));
        // Guards against the server's own idle close: what is written to a connection from then on is lost.
        double limit = settings.idleClose() / 1000.0;
        idleMs = Math.max(limit / 2, limit - 3000);
    }

    void begin(Effect.Forward forward) {
        Running r = new Running(forward);
        running.put(forward.flow(), r);
        ArrayDeque<Connection> kept = idle.get(forward.dial());
        while (kept != null && !kept.isEmpty()) {
            Connection c = kept.pollLast();
            if (c.channel.isActive()) {
                c.send(r);
                return;
            }
        }
        connect(r);
    }

    private void connect(Running r) {
        InetSocketAddress address = Addresses.of(r.forward.dial());
        if (!sockets.serverFits()) {
            makeRoom.run();
        }
        if (address == null || !sockets.serverFits()) {
            broken(r);
            return;
        }
        Connection c = new Connection(r.forward.dial());
        ChannelFuture opened = bootstrap.clone().handler(c).connect(address);
        c.channel = opened.channel();
        sockets.server(1);
        c.channel.closeFuture().addListener(f -> sockets.server(-1));
        opened.addListener(f -> {
            boolean wanted = running.get(r.forward.flow()) == r;
            if (!f.isSuccess()) {
                if (wanted) {
                    broken(r);
                }
                return;
            }
            counters.count(Counters.Kind.CONNECTIONS_OPENED);
            if (wanted) {
                c.send(r);
            } else {
                // Its forward was called off before anything was sent: the next one can have the connection.
                c.keep();
            }
        });
    }

    private void broken(Running r) {
        if (running.remove(r.forward.flow(), r)) {
            events.raise(new Event.ForwardBroken(r.forward.flow(), r.forward.forward()));
        }
    }

    void cancel(long flow, int forward) {
        Running r = running.get(flow);
        if (r != null && r.forward.forward() == forward) {
            running.remove(flow);
            if (r.connection != null) {
                r.connection.running = null;
                r.connection.channel.close();
            }
        }
    }

    void closeIdle(String dial) {
        ArrayDeque<Connection> kept = idle.remove(dial);
        if (kept != null) {
            kept.forEach(c -> c.channel.close());
        }
    }

    /** Closes connections that have been idle for long. */
    void sweep() {
        double now = clock.nowMs();
        List<Connection> old = new ArrayList<>();
        idle.values().forEach(kept -> kept.stream().filter(c -> now - c.idleSince >= idleMs).forEach(old::add));
        old.forEach(c -> c.channel.close());
        idle.values().removeIf(ArrayDeque::isEmpty);
    }

    /** Closes one idle connection, if there is one. */
    boolean shed() {
        for (ArrayDeque<Connection> kept : idle.values()) {
            Connection c = kept.pollFirst();
            if (c != null) {
                counters.count(Counters.Kind.CONNECTIONS_SHED);
                c.channel.close();
                return true;
            }
        }
        return false;
    }

    /** A connection to a server. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        final String dial;
        final ResponseDecoder decoder = new ResponseDecoder();
        Channel channel;
        Running running;
        double idleSince;
        boolean failed;

        Connection(String dial) {
            this.dial = dial;
        }

        void send(Running r) {
            running = r;
            r.connection = this;
            ByteBuf bytes = HttpEncoder.forward(channel.alloc(), (HttpRequest) r.forward.message(),
                    r.forward.giveUpMs() - clock.nowMs());
            // The promise of the last byte, not its place in a queue, tells whether the request may run.
            channel.writeAndFlush(bytes).addListener(f -> {
                if (running != r) {
                    return;
                }
                if (f.isSuccess()) {
                    r.written = true;
                    events.raise(new Event.ForwardWritten(r.forward.flow(), r.forward.forward()));
                } else {
                    channel.close();
                }
            });
        }

        void keep() {
            if (channel.isActive()) {
                idleSince = clock.nowMs();
                idle.computeIfAbsent(dial, d -> new ArrayDeque<>()).addLast(this);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            ByteBuf in = (ByteBuf) msg;
            try {
                if (running == null) {
                    // Bytes that nobody asked for: what follows on this connection can't be trusted.
                    channel.close();
                } else if (decoder.decode(in)) {
                    answered(in.isReadable());
                }
            } catch (HttpException e) {
                failed = true;
                channel.close();
            } finally {
                in.release();
            }
        }

        private void answered(boolean more) {
            Running r = running;
            HttpResponse response = decoder.take();
            running = null;
            Forwards.this.running.remove(r.forward.flow(), r);
            if (response.keepAlive() && r.written && !more) {
                keep();
            } else {
                channel.close();
            }
            boolean reports = settings.network().reportsInAnswers();
            events.raise(new Event.ForwardAnswered(r.forward.flow(), r.forward.forward(), reply(response), response,
                    reports ? LoadReport.parse(response.headers().get("X-Backend-Load")) : null));
        }

        private Reply reply(HttpResponse response) {
            boolean away = (response.status() == 503 || response.status() == 504)
                    && "1".equals(response.headers().get("X-Unprocessed"));
            return response.status() == 200 ? Reply.SERVED : away ? Reply.TURNED_AWAY : Reply.ERROR;
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ArrayDeque<Connection> kept = idle.get(dial);
            if (kept != null) {
                kept.remove(this);
            }
            Running r = running;
            if (r == null) {
                return;
            }
            if (!failed && decoder.ended()) {
                answered(false);
            } else {
                running = null;
                broken(r);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            failed = true;
            ctx.close();
        }
    }
}
