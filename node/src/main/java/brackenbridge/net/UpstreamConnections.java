package brackenbridge.net;

import brackenbridge.clock.Clock;
import brackenbridge.core.Effect;
import brackenbridge.core.Event;
import brackenbridge.core.Event.ServerReply;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.LoadReport;
import brackenbridge.core.connection.ConnectionCommand;
import brackenbridge.core.connection.ConnectionPool;
import brackenbridge.core.connection.EndpointIdentity;
import brackenbridge.counters.Counter;
import brackenbridge.counters.Counters;
import brackenbridge.counters.RejectionReason;
import brackenbridge.http.HttpEncoder;
import brackenbridge.http.HttpException;
import brackenbridge.http.HttpRequest;
import brackenbridge.http.HttpResponse;
import brackenbridge.http.LoadReportParser;
import brackenbridge.http.ResponseDecoder;
import brackenbridge.log.Log;
import brackenbridge.net.channel.Addresses;
import brackenbridge.net.channel.BodyStream;
import brackenbridge.net.channel.DescriptorBudget;
import brackenbridge.net.channel.EventSink;
import brackenbridge.net.channel.StreamedRequest;
import brackenbridge.net.channel.StreamedResponse;
import brackenbridge.transport.ConnectAttempt;
import brackenbridge.transport.SocketErrors;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Sends forwards to servers, each alone on a connection, and keeps connections for the next. */
final class UpstreamConnections {
    /**
     * A connection rests for so long after an answer. Guards the next forward against what a server may still
     * send behind its answer: it would be read as the answer to the next.
     */
    private static final long REST_MS = 5;
    /** An answer that has begun must go on within so long. */
    private static final double ANSWER_MS = 1000;
    /** A long body must go on within so long, whichever way it goes. */
    private static final double STREAM_MS = 10_000;
    /** A long answer goes on to its client when its first part has come, or so long after its head. */
    private static final double FIRST_PART_MS = 200;
    /** Bytes that all answers together may hold that are not whole yet. */
    private static final int HELD_LIMIT = 16 * 1024 * 1024;

    /** A forward that its connection's end meets so soon may have met a connection that was dead already. */
    private static final double AT_ONCE_MS = 50;
    /** Connects that failed on this machine are logged so often at most. */
    private static final double LOCAL_FAILURE_LOG_MS = 1000;

    /** A forward that begins so long after it was decided is looked at once more: its client may have gone. */
    private static final double HELD_MS = 50;

    /** A forward whose client is not known to be present is looked at again after so long. */
    private static final long LOOK_AGAIN_MS = 1;

    /** What is asked of a forward just before its first byte is written. */
    interface BeginCheck {
        /** What it may tell its server of its client's time, in milliseconds; 0 if it must not begin any more. */
        double timeLeftMs(long flow, int forward);

        /** Whether its client is known to be present. */
        boolean isClientPresent(long flow);
    }

    /** What became of a forward that was to be sent. */
    private enum Sending {
        BEGUN,
        /** It must not begin any more. */
        TOO_LATE,
        /** Its client may have gone: it begins once the client is known to be present. */
        CLIENT_UNKNOWN
    }

    private Bootstrap bootstrap;
    private final EventLoop loop;
    private final Log log;
    private BalancerSettings settings;
    private final Clock clock;
    private final EventSink events;
    private final BeginCheck beginCheck;
    private final DescriptorBudget sockets;
    private final Counters counters;
    private final Runnable makeRoom;
    private int held;
    /** Who gets which connection, and when one is opened; here is only what is sent and read on them. */
    private final ConnectionPool pool;
    /** Connections by their number in the pool. */
    private final Map<Long, Connection> connections = new HashMap<>();

    private final Map<Long, Running> running = new HashMap<>();
    /** Forwards that wait for a connection, by the number of their wait. */
    private final Map<Long, Running> waits = new HashMap<>();

    private long waited;
    /** When a connect that failed on this machine was last logged. */
    private double localFailureLoggedMs = Double.NEGATIVE_INFINITY;
    /** Connections whose answer is long and on its way to a client. */
    private final Set<Connection> streaming = new HashSet<>();

    /** A forward from its effect to its end. */
    private static final class Running {
        final Effect.StartAttempt forward;
        Connection connection;
        boolean written;
        /** Its wait in the pool; negative before it. */
        long wait = -1;

        Running(Effect.StartAttempt forward) {
            this.forward = forward;
        }

        EndpointIdentity peer() {
            return new EndpointIdentity(forward.host(), forward.address());
        }
    }

    UpstreamConnections(
            Bootstrap bootstrap,
            EventLoop loop,
            BalancerSettings settings,
            Clock clock,
            EventSink events,
            BeginCheck beginCheck,
            DescriptorBudget sockets,
            Counters counters,
            Log log,
            Runnable makeRoom) {
        this.loop = loop;
        this.log = log;
        this.clock = clock;
        this.events = events;
        this.beginCheck = beginCheck;
        this.sockets = sockets;
        this.counters = counters;
        this.makeRoom = makeRoom;
        this.bootstrap = bootstrap;
        this.settings = settings;
        this.pool = new ConnectionPool(connectMs(settings), idleMs(settings));
    }

    /** Forwards that begin from now on go by these settings. */
    void applySettings(BalancerSettings now) {
        settings = now;
        pool.applySettings(connectMs(now), idleMs(now));
    }

    private static double connectMs(BalancerSettings s) {
        return Math.max(1, s.network().connectTimeout() / 1000.0);
    }

    /** Half: guards against the server's own idle close, which may come early; what is written from then on is lost. */
    private static double idleMs(BalancerSettings s) {
        return s.idleTimeout() / 2000.0;
    }

    void begin(Effect.StartAttempt forward) {
        Running r = new Running(forward);
        running.put(forward.requestId(), r);
        // Not before all that has come by now is read: among it may be the end of the very connection that this
        // forward would take, or bytes that make it worthless.
        double decidedMs = clock.nowMs();
        loop.execute(() -> {
            if (clock.nowMs() - decidedMs < HELD_MS) {
                dispatch(r);
            } else {
                // Only what is scheduled surely runs behind another look at all sockets.
                loop.schedule(() -> dispatch(r), 0, TimeUnit.NANOSECONDS);
            }
        });
    }

    private void dispatch(Running r) {
        if (running.get(r.forward.requestId()) != r) {
            return;
        }
        r.wait = waited++;
        waits.put(r.wait, r);
        follow(pool.acquire(clock.nowMs(), r.wait, r.peer()));
    }

    private void follow(List<ConnectionCommand> steps) {
        for (ConnectionCommand step : steps) {
            if (step instanceof ConnectionCommand.Open s) {
                open(s);
            } else if (step instanceof ConnectionCommand.Assign s) {
                lend(s);
            } else if (step instanceof ConnectionCommand.Close s) {
                Connection c = connections.remove(s.connection());
                if (c != null) {
                    c.channel.close();
                }
            } else if (step instanceof ConnectionCommand.GiveUp s) {
                giveUp(s);
            } else if (step instanceof ConnectionCommand.Wake s) {
                wake(s);
            }
        }
    }

    private void open(ConnectionCommand.Open s) {
        InetSocketAddress address = Addresses.parse(s.endpoint().address());
        if (!sockets.hasRoomForServer()) {
            makeRoom.run();
        }
        if (address == null) {
            follow(pool.onConnectionEnded(clock.nowMs(), s.connection()));
            return;
        }
        if (!sockets.hasRoomForServer()) {
            // Guards the servers' standing against a node that has too many connections itself.
            follow(pool.onNoDescriptor(clock.nowMs(), s.connection()));
            return;
        }
        Connection c = new Connection(s.connection(), s.endpoint());
        Bootstrap attempt = bootstrap
                .clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.min(Integer.MAX_VALUE, s.timeoutMs()))
                // So that the server's end of sending is told as such: a closed channel may as well be one that was
                // reset, or one whose writes failed.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(c);
        c.channel = ConnectAttempt.begin(attempt, loop, address, c);
        if (s.additional()) {
            counters.count(Counter.CONNECTIONS_JOINED);
        }
        if (c.channel != null) {
            connections.put(c.id, c);
            sockets.addServers(1);
            c.channel.closeFuture().addListener(f -> sockets.addServers(-1));
        }
    }

    private void warnOfLocalFailure(EndpointIdentity peer, Throwable cause) {
        double now = clock.nowMs();
        if (now - localFailureLoggedMs >= LOCAL_FAILURE_LOG_MS) {
            localFailureLoggedMs = now;
            log.warn("no connection to " + peer.host() + ", failed on this machine: " + cause.getMessage());
        }
    }

    private void lend(ConnectionCommand.Assign s) {
        Connection c = connections.get(s.connection());
        Running r = waits.remove(s.waiter());
        if (r == null) {
            // Called off by what an earlier step has raised, or while its client was looked for.
            follow(pool.release(clock.nowMs(), s.connection()));
        } else if (c != null && c.channel.isActive()) {
            lend(s, c, r);
        } else {
            // It has ended, and its end is not told yet.
            follow(pool.onConnectionEnded(clock.nowMs(), s.connection()));
            dispatch(r);
        }
    }

    private void lend(ConnectionCommand.Assign s, Connection c, Running r) {
        Sending sending = c.send(r);
        if (sending == Sending.TOO_LATE) {
            follow(pool.release(clock.nowMs(), s.connection()));
            notBegun(r);
        } else if (sending == Sending.CLIENT_UNKNOWN) {
            // Ends by itself: soon the client is seen, is found to have gone, or counts as hidden.
            waits.put(s.waiter(), r);
            loop.schedule(() -> lend(s), LOOK_AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void giveUp(ConnectionCommand.GiveUp s) {
        Running r = waits.remove(s.waiter());
        if (r == null) {
            return;
        }
        switch (s.reason()) {
            case UNCONNECTED -> broken(r);
            case FAILED_LOCALLY -> failedLocally(r);
            case NO_ROOM -> notBegun(r);
        }
    }

    private void wake(ConnectionCommand.Wake s) {
        double wait = s.atMs() - clock.nowMs();
        loop.schedule(
                () -> {
                    if (clock.nowMs() < s.atMs()) {
                        wake(s);
                    } else {
                        follow(pool.onWake(clock.nowMs(), s.waiter()));
                    }
                },
                (long) (Math.max(0, wait) * 1e6),
                TimeUnit.NANOSECONDS);
    }

    private void notBegun(Running r) {
        if (running.remove(r.forward.requestId(), r)) {
            events.raise(new Event.AttemptNotStarted(r.forward.requestId(), r.forward.attempt()));
        }
    }

    private void broken(Running r) {
        if (running.remove(r.forward.requestId(), r)) {
            events.raise(new Event.AttemptConnectionLost(r.forward.requestId(), r.forward.attempt()));
        }
    }

    private void failedLocally(Running r) {
        if (running.remove(r.forward.requestId(), r)) {
            events.raise(new Event.AttemptFailedLocally(r.forward.requestId(), r.forward.attempt()));
        }
    }

    void cancel(long flow, int forward) {
        Running r = running.get(flow);
        if (r != null && r.forward.attempt() == forward) {
            running.remove(flow);
            waits.remove(r.wait);
            follow(pool.cancelWait(r.wait));
            if (r.connection != null) {
                r.connection.running = null;
                r.connection.endUpload();
                r.connection.close();
            }
        }
    }

    void closeIdle(String host, String dial) {
        follow(pool.closeIdle(new EndpointIdentity(host, dial)));
    }

    /** Closes connections that have been idle for long, and those whose answer has stopped half way. */
    void sweep() {
        double now = clock.nowMs();
        for (Running r : List.copyOf(running.values())) {
            Connection c = r.connection;
            if (c != null) {
                c.sweep(now);
            }
        }
        for (Connection c : List.copyOf(streaming)) {
            c.sweepStream(now);
        }
        follow(pool.sweep(now));
    }

    /** Closes one idle connection, if there is one. */
    boolean shed() {
        List<ConnectionCommand> steps = pool.closeOneIdle();
        if (steps.isEmpty()) {
            return false;
        }
        counters.count(Counter.CONNECTIONS_SHED);
        follow(steps);
        return true;
    }

    /** A connection to a server. */
    private final class Connection extends ChannelInboundHandlerAdapter
            implements BodyStream.Source, ConnectAttempt.Listener {
        final long id;
        final EndpointIdentity peer;
        final ResponseDecoder decoder = new ResponseDecoder();
        Channel channel;
        Running running;
        double sentAt;
        /** The long body that goes out on it. */
        StreamedRequest upload;
        /** The long answer that comes in on it. */
        BodyStream answer;

        /** The server has ended its sending in order. */
        boolean finished;

        /** Why reading from it failed; null if it didn't. */
        Throwable readFailure;
        /** Why writing to it failed; null if it didn't. */
        Throwable writeFailure;
        /** When the latest bytes of the answer came; 0 before them. */
        double answerSince;
        /** Its part of what all answers hold. */
        int holds;

        Connection(long id, EndpointIdentity peer) {
            this.id = id;
            this.peer = peer;
        }

        @Override
        public void connected() {
            counters.count(Counter.CONNECTIONS_OPENED);
            // As in begin: the end of the client that waits for it may be there as well.
            loop.execute(() -> follow(pool.onConnected(clock.nowMs(), id)));
        }

        @Override
        public void connectFailed(Throwable cause) {
            if (SocketErrors.isLocal(cause)) {
                connections.remove(id);
                warnOfLocalFailure(peer, cause);
                follow(pool.onLocalFailure(clock.nowMs(), id));
            } else {
                forget();
            }
        }

        @Override
        public void notBegun(Throwable cause) {
            warnOfLocalFailure(peer, cause);
            if (SocketErrors.isShortage(cause)) {
                makeRoom.run();
            }
            follow(pool.onLocalFailure(clock.nowMs(), id));
        }

        Sending send(Running r) {
            sentAt = clock.nowMs();
            double left = beginCheck.timeLeftMs(r.forward.requestId(), r.forward.attempt());
            if (left <= 0) {
                return Sending.TOO_LATE;
            }
            if (!beginCheck.isClientPresent(r.forward.requestId())) {
                return Sending.CLIENT_UNKNOWN;
            }
            running = r;
            r.connection = this;
            if (r.forward.message() instanceof StreamedRequest u) {
                sendLong(r, u, left);
            } else {
                ByteBuf bytes = HttpEncoder.forward(channel.alloc(), (HttpRequest) r.forward.message(), left);
                // The promise of the last byte, not its place in a queue, tells whether the request may run.
                channel.writeAndFlush(bytes).addListener(f -> written(r, f.cause()));
            }
            return Sending.BEGUN;
        }

        private void written(Running r, Throwable cause) {
            if (running != r) {
                return;
            }
            if (cause == null) {
                r.written = true;
                events.raise(new Event.AttemptWritten(r.forward.requestId(), r.forward.attempt()));
            } else {
                writeFailed(cause);
            }
        }

        private void writeFailed(Throwable cause) {
            writeFailure = cause;
            channel.close();
        }

        /** The head and the part that is kept; once they have left, the rest as it comes. */
        private void sendLong(Running r, StreamedRequest u, double left) {
            boolean chunked = u.length() < 0;
            upload = u;
            channel.write(HttpEncoder.forwardHead(
                    channel.alloc(), u.head(), left, chunked ? HttpEncoder.CHUNKED : u.length()));
            writePiece(Unpooled.wrappedBuffer(u.head().body()), chunked);
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> {
                if (running == r && f.isSuccess()) {
                    u.body().connect(new ToServer(r, chunked));
                } else if (running == r) {
                    writeFailed(f.cause());
                }
            });
        }

        private void writePiece(ByteBuf piece, boolean chunked) {
            if (chunked && piece.isReadable()) {
                channel.write(HttpEncoder.chunkHead(channel.alloc(), piece.readableBytes()));
                channel.write(piece);
                channel.write(HttpEncoder.chunkEnd(channel.alloc()));
            } else {
                channel.write(piece);
            }
        }

        /** Sends the rest of a long body. */
        private final class ToServer implements BodyStream.Sink {
            private final Running r;
            private final boolean chunked;
            private boolean spent;

            ToServer(Running r, boolean chunked) {
                this.r = r;
                this.chunked = chunked;
            }

            @Override
            public void piece(ByteBuf piece) {
                if (!spent) {
                    spent = true;
                    events.raise(new Event.RequestBodyReleased(r.forward.requestId()));
                }
                writePiece(piece, chunked);
            }

            @Override
            public void flush() {
                // Guards the time limit of a server that takes nothing against what its client still sends ahead.
                sentAt = channel.isWritable() ? clock.nowMs() : sentAt;
                channel.flush();
                if (!channel.isWritable()) {
                    upload.body().setDemand(false);
                }
            }

            @Override
            public void onEnd(boolean whole) {
                if (whole) {
                    sentAt = clock.nowMs();
                    channel.writeAndFlush(chunked ? HttpEncoder.lastChunk(channel.alloc()) : Unpooled.EMPTY_BUFFER)
                            .addListener(f -> written(r, f.cause()));
                } else {
                    channel.close();
                }
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (upload != null && running != null && channel.isWritable()) {
                sentAt = clock.nowMs();
                upload.body().setDemand(true);
            }
        }

        /** Nothing more of a long body goes out on it. */
        private void endUpload() {
            if (upload != null) {
                StreamedRequest u = upload;
                upload = null;
                if (u.body().isConnected()) {
                    u.body().cancel();
                }
            }
        }

        void sweep(double now) {
            if (answerSince > 0 && decoder.saysLong() && decoder.status() == 200 && now - answerSince > FIRST_PART_MS) {
                startStream();
            } else if (answerSince > 0 && now - answerSince > ANSWER_MS) {
                spoilt(RejectionReason.TOO_SLOW, "stopped half way");
            } else if (upload != null && !running.written && !channel.isWritable() && now - sentAt > STREAM_MS) {
                spoilt(RejectionReason.TOO_SLOW, "takes no more of a long body");
            }
        }

        void sweepStream(double now) {
            if (!answer.isConnected() && now - answerSince > ANSWER_MS) {
                cut("nobody takes it");
            } else if (channel.config().isAutoRead() && now - answerSince > STREAM_MS) {
                cut("stopped half way");
            }
        }

        // ---- A long answer ----

        /** Its head and framing are good: it goes on to the client, piece by piece. */
        private void startStream() {
            Running r = running;
            running = null;
            endUpload();
            hold(0);
            UpstreamConnections.this.running.remove(r.forward.requestId(), r);
            answerSince = clock.nowMs();
            answer = new BodyStream(this);
            streaming.add(this);
            counters.count(Counter.RESPONSES_STREAMED);
            answer.piece(Unpooled.wrappedBuffer(decoder.stream((from, n) -> answer.piece(from.readRetainedSlice(n)))));
            HttpResponse head = decoder.part(null);
            events.raise(new Event.AttemptAnswered(
                    r.forward.requestId(),
                    r.forward.attempt(),
                    ServerReply.SERVED,
                    new StreamedResponse(head, length(), answer),
                    report(head)));
        }

        private long length() {
            try {
                return decoder.length();
            } catch (HttpException e) {
                return HttpEncoder.CHUNKED;
            }
        }

        @Override
        public void setReading(boolean on) {
            answerSince = clock.nowMs();
            channel.config().setAutoRead(on);
        }

        @Override
        public void onCancelled() {
            // Its client has left: the server is not at fault, so nothing counts as cut.
            streaming.remove(this);
            answer = null;
            close();
        }

        private void readStream(ByteBuf in) {
            try {
                answerSince = clock.nowMs();
                if (decoder.decode(in)) {
                    endStream(true);
                    HttpResponse response = decoder.take();
                    answerSince = 0;
                    keepOrClose(response, in.isReadable());
                } else {
                    answer.flush();
                }
            } catch (HttpException e) {
                cut(e.getMessage());
            }
        }

        /** The client gets no end of it, so that it can tell. */
        private void cut(String why) {
            counters.count(Counter.RESPONSES_TRUNCATED);
            log.warn("long answer of " + peer.host() + " cut: " + why);
            endStream(false);
            close();
        }

        private void endStream(boolean whole) {
            streaming.remove(this);
            channel.config().setAutoRead(true);
            BodyStream b = answer;
            answer = null;
            b.end(whole);
        }

        void keep() {
            if (channel.isActive()) {
                follow(pool.release(clock.nowMs(), id));
            }
        }

        /** Nothing more goes out on it. */
        void close() {
            forget();
            channel.close();
        }

        void forget() {
            connections.remove(id);
            follow(pool.onConnectionEnded(clock.nowMs(), id));
        }

        /**
         * Nothing that comes here can be trusted any more: the forward that is out has failed and may have run. For
         * the module it is as good as a broken connection, which says less of a server than its word of an error.
         */
        void spoilt(RejectionReason reason, String why) {
            hold(0);
            Running r = running;
            running = null;
            endUpload();
            counters.count(Counter.RESPONSES_MALFORMED);
            counters.countRejection(RejectionReason.Port.RESPONSES, reason);
            log.warn("answer of " + peer.host() + " spoilt, " + reason.key() + ": " + why);
            close();
            if (r != null) {
                broken(r);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            ByteBuf in = (ByteBuf) msg;
            try {
                if (answer != null) {
                    readStream(in);
                } else if (running == null || !running.written && upload == null) {
                    // Bytes that nobody asked for: what follows on this connection can't be trusted.
                    close();
                } else if (decoder.decode(in)) {
                    answered(in.isReadable());
                } else if (decoder.isLong()) {
                    if (decoder.status() == 200) {
                        startStream();
                        readStream(in);
                    } else {
                        // What an error has to say at such length is of no use to anybody.
                        answered(true);
                    }
                } else {
                    answerSince = decoder.begun() ? clock.nowMs() : 0;
                    hold(decoder.held());
                    if (held > HELD_LIMIT) {
                        // Guards memory against many long answers at once.
                        spoilt(RejectionReason.OVERSIZED, "too much is held of answers");
                    }
                }
            } catch (HttpException e) {
                spoilt(RejectionReason.ofStatus(e.status()), e.getMessage());
            } finally {
                in.release();
            }
        }

        private void answered(boolean more) {
            Running r = running;
            HttpResponse response = decoder.take();
            running = null;
            answerSince = 0;
            // An answer that came before the request had gone out whole: what is left of it would be the next one's.
            boolean early = !r.written;
            endUpload();
            hold(0);
            UpstreamConnections.this.running.remove(r.forward.requestId(), r);
            keepOrClose(response, more || early);
            events.raise(new Event.AttemptAnswered(
                    r.forward.requestId(), r.forward.attempt(), reply(response), response, report(response)));
        }

        private void keepOrClose(HttpResponse response, boolean more) {
            if (response.keepAlive() && !more) {
                loop.schedule(this::keep, REST_MS, TimeUnit.MILLISECONDS);
            } else {
                close();
            }
        }

        private LoadReport report(HttpResponse response) {
            return settings.network().reportsInAnswers()
                    ? LoadReportParser.parse(response.headers().get("X-Backend-Load"))
                    : null;
        }

        private void hold(int bytes) {
            held += bytes - holds;
            holds = bytes;
        }

        private ServerReply reply(HttpResponse response) {
            boolean away = (response.status() == 503 || response.status() == 504)
                    && "1".equals(response.headers().get("X-Unprocessed"));
            if (response.status() == 200) {
                return ServerReply.SERVED;
            }
            boolean rejected = response.status() >= 400
                    && response.status() < 500
                    && response.status() != 408
                    && response.status() != 429;
            return away ? ServerReply.SERVER_FULL : rejected ? ServerReply.INVALID_REQUEST : ServerReply.ERROR;
        }

        /** The connection has ended: whether its end is that of the answer. */
        private boolean isWhole() {
            return finished && readFailure == null && decoder.ended();
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event == ChannelInputShutdownEvent.INSTANCE) {
                finished = true;
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            hold(0);
            if (answer != null) {
                if (isWhole()) {
                    endStream(true);
                } else {
                    cut("its connection ended");
                }
            }
            Running r = running;
            if (r == null) {
                forget();
                return;
            }
            if (isWhole()) {
                answered(true);
                return;
            }
            running = null;
            endUpload();
            Throwable failure = writeFailure == null ? readFailure : writeFailure;
            if (!r.written && SocketErrors.isLocal(failure)) {
                forget();
                warnOfLocalFailure(peer, failure);
                failedLocally(r);
                return;
            }
            boolean atOnce = answerSince == 0 && clock.nowMs() - sentAt < AT_ONCE_MS;
            if (atOnce && pool.onBrokenAtOnce(id)) {
                counters.count(Counter.CONNECTIONS_STALE);
            }
            forget();
            broken(r);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // Guards clients against half an answer: a reset is no end, whatever the answer says of its end.
            readFailure = cause;
            if (!(cause instanceof IOException)) {
                log.error("fault on a connection to " + peer.host(), cause);
            }
            ctx.close();
        }
    }
}
