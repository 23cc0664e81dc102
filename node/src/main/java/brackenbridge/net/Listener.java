package brackenbridge.net;

import brackenbridge.clock.Clock;
import brackenbridge.core.ClientRequest;
import brackenbridge.core.Effect.LocalReply;
import brackenbridge.core.Event;
import brackenbridge.core.Event.ResponseEnd;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.Idempotence;
import brackenbridge.core.balancing.RequestClass;
import brackenbridge.counters.Counter;
import brackenbridge.counters.Counters;
import brackenbridge.counters.RejectionReason;
import brackenbridge.http.Headers;
import brackenbridge.http.HttpEncoder;
import brackenbridge.http.HttpException;
import brackenbridge.http.HttpRequest;
import brackenbridge.http.HttpResponse;
import brackenbridge.http.RequestDecoder;
import brackenbridge.net.channel.BodyStream;
import brackenbridge.net.channel.DescriptorBudget;
import brackenbridge.net.channel.EventSink;
import brackenbridge.net.channel.ReceiveBuffers;
import brackenbridge.net.channel.StreamedRequest;
import brackenbridge.net.channel.StreamedResponse;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** The HTTP listener: makes flows of what clients send, and writes the answers. */
final class Listener {
    private static final String READY = "/health/ready";
    private static final String LIVE = "/health/live";
    /** No class can be named so: "health" is what the first part of these paths means to every party. */
    private static final String COUNTERS = "/health/counters";
    /**
     * A head must be whole this long after its first byte, the first one after its connection came; and a body may be
     * behind its least pace for so long.
     */
    private static final double SLOW_MS = 2500;
    /** The least pace of a request's body, in bytes a millisecond. */
    private static final double LEAST_PACE = 32;
    /** A client must take some of a long answer within so long. */
    private static final double STALLED_STREAM_MS = 20_000;
    /** A connection without a request is kept for so long while there is room. */
    private static final double IDLE_MS = 60_000;
    /** And for so long once clients hold half of what they may. */
    private static final double CROWDED_IDLE_MS = 3000;
    /** A client must take its answer within so long. */
    private static final double STALLED_MS = 5000;
    /** After a last answer, what the client still sends is read and dropped for so long. */
    private static final double LINGER_MS = 1000;
    /** A process that exits gives its last clients so long to see their answers' end. */
    private static final double EXIT_LINGER_MS = 100;
    /** And so many bytes of it at most: to read all that a client could send would cost the others. */
    private static final int LINGER_BYTES = 256 * 1024;
    /** Guards clients that have just come: their request may be on the way already. */
    private static final double YOUNG_MS = 100;
    /** Longer than the turn of the loop in which a connection is first read. */
    private static final long FIRST_LOOK_MS = 1;
    /**
     * Bytes that may wait behind a request that is being served, or of a body that nobody takes yet. Java sees that a
     * client has gone only by reading, so what it sent before it went is read first: hundreds of requests at once.
     * Beyond this, and what the looks below add, an end stays hidden behind bytes that the kernel holds, and nothing
     * begins for this client.
     */
    private static final int AHEAD = 256 * 1024;
    /** And so many once all clients hold half of what they may: to see an end must cost nobody his connection. */
    private static final int AHEAD_CROWDED = 16 * 1024;
    /** A connection that is not read is looked at so often, by one bounded read: its client may have gone. */
    private static final long LOOK_MS = 50;
    /** Looks may add so many bytes. */
    private static final int LOOKS = 64 * 1024;
    /** An attempt begins only for a client that was present so long ago at most, a little under the promised 100 ms. */
    private static final double PRESENT_MS = 80;
    /** Bytes that all clients together may have here in requests that are not whole or not begun. */
    private static final int HELD_LIMIT = 8 * 1024 * 1024;

    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Clock clock;
    private final EventSink events;
    private final DescriptorBudget sockets;
    private final Counters counters;
    private final BooleanSupplier ready;
    private final Runnable makeRoom;
    private final Set<Client> clients = new LinkedHashSet<>();
    private final Map<Long, Client> flows = new HashMap<>();
    /** The ids of the requests that are open. */
    private final Set<String> open = new HashSet<>();

    private int held;
    private ConnectionAcceptor door;
    private long flowCount;
    private boolean sayClose;
    private boolean keepNone;

    Listener(
            BalancerSettings settings,
            Clock clock,
            EventSink events,
            DescriptorBudget sockets,
            Counters counters,
            BooleanSupplier ready,
            Runnable makeRoom) {
        applySettings(settings);
        this.clock = clock;
        this.events = events;
        this.sockets = sockets;
        this.counters = counters;
        this.ready = ready;
        this.makeRoom = makeRoom;
    }

    ChannelInitializer<Channel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel ch) {
                ch.pipeline().addLast(new Client(ch));
            }
        };
    }

    /** Requests that are whole from now on go by these settings. */
    void applySettings(BalancerSettings settings) {
        classes.clear();
        settings.classes().forEach(c -> classes.put(c.name(), c));
    }

    void opened(ConnectionAcceptor opened) {
        door = opened;
    }

    // ---- Effects ----

    /** Answers a flow with what a server made for it: a whole answer, or a long one on its way. */
    void respond(long flow, Object message) {
        Client c = flows.remove(flow);
        if (c == null) {
            if (message instanceof StreamedResponse d) {
                d.body().cancel();
            }
            events.raise(new Event.ResponseFinished(flow, ResponseEnd.ABANDONED));
        } else if (message instanceof StreamedResponse d) {
            c.answerOrFail(() -> c.answerLong(d, passedOn(d.head())));
        } else {
            HttpResponse response = (HttpResponse) message;
            c.answerOrFail(() -> c.answer(200, passedOn(response), response.body()));
        }
    }

    private static Headers passedOn(HttpResponse response) {
        Headers fields = new Headers();
        for (String name : List.of("Content-Type", "Content-Encoding")) {
            String value = response.headers().get(name);
            if (value != null) {
                fields.add(name, value);
            }
        }
        return fields;
    }

    void fixedResponse(long flow, LocalReply kind, double retryAfterMs) {
        Client c = flows.remove(flow);
        if (c == null) {
            events.raise(new Event.ResponseFinished(flow, ResponseEnd.ABANDONED));
            return;
        }
        if (c.isHiddenFromWaiting(clock.nowMs())) {
            // Behind more than may wait, each further request would only be withdrawn as well.
            c.keepAlive = false;
        }
        Headers fields = new Headers();
        if (retryAfterMs > 0) {
            fields.add("Retry-After", String.format(Locale.ROOT, "%.3f", retryAfterMs / 1000));
        }
        c.answerOrFail(() -> {
            switch (kind) {
                case REJECTED -> c.answer(503, fields, text("refused\n"));
                case FAILED -> c.answer(502, fields, text("failed\n"));
                case INVALID_REQUEST -> c.reject(400, "the server rejects this request");
                default -> c.answer(504, fields, text("no answer in time\n"));
            }
        });
    }

    private static byte[] text(String s) {
        return s.getBytes(StandardCharsets.UTF_8);
    }

    void sayClose(boolean on) {
        sayClose = on;
    }

    /** Whether connections that carry nothing are ended, those of the moment and later ones. */
    void keepNone(boolean on) {
        keepNone = on;
    }

    /** Ends the connections whose request has begun and is not whole, with this status. */
    void endUnfinished(int status) {
        for (Client c : List.copyOf(clients)) {
            if (c.isReading()) {
                c.bad(status, "request too slow for a node that drains or stops");
            }
        }
    }

    void stopAccepting() {
        if (door != null) {
            door.close();
        }
    }

    void closeIdle() {
        for (Client c : List.copyOf(clients)) {
            if (c.isIdle()) {
                c.endIfIdle();
            }
        }
    }

    /** Whether no client is owed anything, and those whose connection has been ended had time to see it. */
    boolean quiet() {
        double now = clock.nowMs();
        boolean emptying = door != null && door.isEmptying();
        return !emptying && clients.stream().allMatch(c -> c.closing && now - c.since > EXIT_LINGER_MS);
    }

    /**
     * Whether the flow's client is known to have been present within {@link #PRESENT_MS}. No attempt begins without
     * this; a client that stays hidden has its flow withdrawn by the sweep.
     */
    boolean isClientPresent(long flow) {
        Client c = flows.get(flow);
        return c != null && c.isPresent();
    }

    /** Ends what takes too long. */
    void sweep() {
        double now = clock.nowMs();
        for (Client c : List.copyOf(clients)) {
            c.sweep(now);
        }
        if (door != null && sockets.hasRoomForClient()) {
            door.admit(true);
        } else {
            // At the limit others wait in the backlog: all that has been idle for a moment makes room.
            while (shed()) {
                continue;
            }
        }
    }

    /** Closes one idle client connection: one that never asked before the others, then the longest idle. */
    boolean shed() {
        return shed(false) || shed(true);
    }

    /** Closes one idle client connection that has asked before, or one that never has or lingers; the longest idle. */
    boolean shed(boolean asked) {
        double now = clock.nowMs();
        for (Client c = longestIdle(asked, now); c != null; c = longestIdle(asked, now)) {
            // A request that has come already makes it busy; what is still unread at a close would reset it.
            c.readWhatHasCome();
            if (!c.channel.isActive()) {
                return true;
            }
            if (c.mayBeShed(asked, now)) {
                counters.count(Counter.CONNECTIONS_SHED);
                // Its descriptor is wanted now: what is not here yet crosses this, and its client sends it anew.
                c.channel.close();
                return true;
            }
        }
        return false;
    }

    private Client longestIdle(boolean asked, double now) {
        Client oldest = null;
        for (Client c : clients) {
            if (c.mayBeShed(asked, now) && (oldest == null || c.since < oldest.since)) {
                oldest = c;
            }
        }
        return oldest;
    }

    /** Guards memory against many clients that each stay within their own limit: the largest goes first. */
    private void boundHeld() {
        while (held > HELD_LIMIT) {
            Client largest = null;
            for (Client c : clients) {
                if (largest == null || c.holds > largest.holds) {
                    largest = c;
                }
            }
            counters.count(Counter.CLIENTS_SHED_FOR_MEMORY);
            largest.giveUpReading("too much is held");
        }
    }

    /** A client's connection: one request at a time, in order. */
    private final class Client extends ChannelInboundHandlerAdapter implements BodyStream.Source {
        final Channel channel;
        final RequestDecoder decoder = new RequestDecoder();
        ByteBuf pending;
        /** When it became what it is now: idle, reading, writing or closing. */
        double since;

        long flow = -1;
        /** The flow whose answer is being written. */
        long answered = -1;

        boolean writing;
        boolean closing;
        boolean keepAlive;
        boolean toldToGoOn;
        /** How far a body is behind its least pace. */
        double behindMs;
        /** How long nothing of a body has come. Guards against a client that was quick first and then stopped. */
        double silentMs;

        double sweptAt;
        int arrived;
        /** The rest of a long request, until its last byte has come. */
        BodyStream upload;
        /** The long answer that is being written. */
        BodyStream download;

        boolean http11;
        /** A whole request has come on it. */
        boolean asked;
        /** The id of the request that is open. */
        String id;
        /** Its part of what all hold. */
        int holds;

        int drained;
        /** Bytes of a long request that are kept so that it can be sent again. */
        int kept;
        /** Whoever takes the rest of a long request has enough for now. */
        boolean resting;
        /** Bytes of it that have come since then. */
        int ahead;
        /** It held too much: what comes behind the request that is being served is dropped. */
        boolean full;
        /** What was there at the first look may have waited for so long, behind others that were to be taken. */
        double unseen;
        /** It is not read, but looked at. */
        boolean looks;
        /** The latest look has found nothing yet. */
        boolean lookFindsNothing;
        /** Reads in this turn of the loop. */
        int reads;
        /** Grows with each read, and whenever reading begins again. */
        int readings;
        /** It will be checked whether anything was left to read. */
        boolean checksForMore;
        /** All that had come by the latest turn of the loop is read, and no end was among it: the client is present. */
        boolean readOut;
        /** When that last began to hold. */
        double presentAt = Double.NEGATIVE_INFINITY;
        /** Since when it does not hold. */
        double hiddenSince;
        /** The last byte of a long body is here, and is passed on once its client is known to be present. */
        boolean endHeld;

        Client(Channel channel) {
            this.channel = channel;
            this.since = clock.nowMs();
            this.sweptAt = since;
            this.hiddenSince = since;
            this.unseen = ConnectionAcceptor.waitedMs(channel);
        }

        boolean isIdle() {
            return flow < 0 && !writing && !closing && !decoder.begun() && (pending == null || !pending.isReadable());
        }

        /** It has been ended, and what still comes is dropped. */
        boolean lingers() {
            return closing && !writing;
        }

        /** Whether its descriptor may go to others: it is idle, or its last answer has been out for a while. */
        boolean mayBeShed(boolean havingAsked, double now) {
            boolean idle = isIdle() && asked == havingAsked;
            // Guards its last answer: a close over more bytes than are read here would reset the connection.
            boolean over = lingers() && !havingAsked && drained <= LINGER_BYTES;
            return (idle || over) && now - since > YOUNG_MS && channel.isActive();
        }

        /**
         * Reads what lies at the socket already. Guards a request that is here against the end of a connection that
         * seems idle only because its turn to be read has not come.
         */
        private void readWhatHasCome() {
            ((AbstractNioChannel) channel).unsafe().read();
        }

        /** Ends it, unless a request turns out to have come. */
        private void endIfIdle() {
            readWhatHasCome();
            if (isIdle() && channel.isActive()) {
                end();
            }
        }

        boolean isReading() {
            return flow < 0 && !writing && !closing && decoder.begun();
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            counters.count(Counter.CLIENTS_ACCEPTED);
            sockets.addClients(1);
            clients.add(this);
            if (unseen > 0) {
                // What is not there at the first look was sent later than the connection was taken.
                channel.eventLoop()
                        .schedule(
                                () -> unseen = pending != null || decoder.begun() ? unseen : 0,
                                FIRST_LOOK_MS,
                                TimeUnit.MILLISECONDS);
            }
            // At once, not as the channel's last event: what is still to begin for this client comes before that.
            channel.closeFuture().addListener(f -> gone());
            if (!sockets.hasRoomForClient()) {
                makeRoom.run();
                // With nothing idle to shed, further clients wait in the backlog until some connection ends.
                if (!sockets.hasRoomForClient() && door != null) {
                    door.admit(false);
                }
            }
        }

        /** The connection has ended; a client that only ends its sending has gone as well. */
        private void gone() {
            clients.remove(this);
            sockets.addClients(-1);
            if (door != null && sockets.hasRoomForClient()) {
                door.admit(true);
            }
            dropPending();
            closing = true;
            hold(0);
            open.remove(id);
            if (flow >= 0) {
                flows.remove(flow);
                events.raise(new Event.ClientDisconnected(flow));
            }
            endUpload(false);
            if (download != null) {
                download.cancel();
                download = null;
            }
            left(ResponseEnd.ABANDONED);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            guarded(() -> received((ByteBuf) msg));
        }

        /** Reads; a fault of the node's own on the way leaves no request that was read without an answer. */
        private void guarded(Runnable reading) {
            try {
                reading.run();
            } catch (RuntimeException e) {
                events.onFault("reading a request failed", e);
                answerOrFail(() -> giveUpReading("the node failed to read this request"));
            }
        }

        private void received(ByteBuf in) {
            arrived += in.readableBytes();
            reads++;
            readings++;
            lookFindsNothing = false;
            hidden();
            if (closing || full) {
                drained += in.readableBytes();
                if (drained > LINGER_BYTES) {
                    autoRead(false);
                }
                in.release();
                return;
            }
            if (pending == null) {
                pending = in;
            } else {
                if (pending.refCnt() > 1) {
                    // Guards the body in front, of which parts are still on their way, against being overwritten.
                    ByteBuf rest = channel.alloc().buffer(waiting()).writeBytes(pending);
                    dropPending();
                    pending = rest;
                }
                pending.discardReadBytes().writeBytes(in);
                in.release();
            }
            if (upload != null) {
                ahead += resting ? in.readableBytes() : 0;
                readLong();
            }
            read();
            boundHeld();
            readOrRest();
        }

        /** Bytes that wait for somebody to take them. */
        private int waiting() {
            return ahead + (pending == null ? 0 : pending.readableBytes());
        }

        /** Guards memory against a client that sends ahead without reading its answers. */
        private void readOrRest() {
            if (closing || full) {
                return;
            }
            boolean on = waiting() <= most();
            autoRead(on);
            if (!on && !looks) {
                looks = true;
                look();
            }
        }

        private int most() {
            return held > HELD_LIMIT / 2 ? AHEAD_CROWDED : AHEAD;
        }

        /** Guards servers against requests of a client that went while its connection was not read. */
        private void look() {
            looks = !closing && !full && !channel.config().isAutoRead() && channel.isActive();
            if (looks) {
                if (lookFindsNothing) {
                    present();
                } else if (waiting() <= most() + LOOKS) {
                    lookFindsNothing = true;
                    channel.read();
                }
                channel.eventLoop().schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
            }
        }

        private void autoRead(boolean on) {
            if (on == channel.config().isAutoRead()) {
                return;
            }
            hidden();
            lookFindsNothing = false;
            channel.config().setAutoRead(on);
            if (on) {
                readings++;
                checkForMore();
            }
        }

        // ---- Whether the client is present ----

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            boolean all = reads < ReceiveBuffers.MAX_READS_PER_TURN;
            reads = 0;
            if (!channel.config().isAutoRead()) {
                return;
            }
            if (all) {
                present();
            } else {
                checkForMore();
            }
        }

        /** Nothing comes to read by the next turn of the loop: then nothing is left. */
        private void checkForMore() {
            if (!checksForMore) {
                checksForMore = true;
                int before = readings;
                // What is scheduled surely runs behind another look at all sockets.
                channel.eventLoop().schedule(() -> checked(before), FIRST_LOOK_MS, TimeUnit.MILLISECONDS);
            }
        }

        private void checked(int before) {
            checksForMore = false;
            if (closing || readOut || !channel.config().isAutoRead()) {
                return;
            }
            if (readings == before) {
                present();
            } else {
                checkForMore();
            }
        }

        private void present() {
            readOut = true;
            presentAt = clock.nowMs();
            if (endHeld) {
                // Not at once: if this read has found the client's end, the connection is closed in the same turn.
                channel.eventLoop().execute(() -> guarded(this::passEnd));
            }
        }

        private void hidden() {
            if (readOut) {
                readOut = false;
                hiddenSince = clock.nowMs();
            }
        }

        boolean isPresent() {
            if (readOut) {
                return true;
            }
            // A body that is still to come shows its client at the flow's begin: its last byte is not passed on before
            // the client has been seen again.
            double last = upload == null ? presentAt : Math.max(presentAt, since);
            return clock.nowMs() - last <= PRESENT_MS;
        }

        /** Nobody can tell whether the client is present, and won't soon: what has not begun for it never begins. */
        private boolean isHiddenFromWaiting(double now) {
            boolean waits = upload == null || !upload.isConnected() || endHeld;
            return flow >= 0 && waits && !readOut && now - Math.max(hiddenSince, since) > PRESENT_MS;
        }

        /** The next request has its turn; what is taken out makes room for more. */
        private void readOn() {
            guarded(() -> {
                read();
                readOrRest();
            });
        }

        /** Takes the next request out of the bytes that have come, if none is being served. */
        private void read() {
            while (flow < 0 && !writing && !closing && pending != null) {
                boolean fresh = !decoder.begun();
                try {
                    if (decoder.decode(pending)) {
                        toldToGoOn = false;
                        take(decoder.take(), true);
                    } else if (decoder.isLong()) {
                        toldToGoOn = false;
                        takeLong();
                    } else {
                        if (fresh) {
                            since = asked ? clock.nowMs() : since;
                            behindMs = 0;
                        }
                        if (!toldToGoOn && decoder.expectsContinue()) {
                            toldToGoOn = true;
                            channel.writeAndFlush(HttpEncoder.goOn(channel.alloc()));
                        }
                        break;
                    }
                } catch (HttpException e) {
                    bad(e.status(), e.getMessage());
                }
            }
            if (pending != null && !pending.isReadable()) {
                dropPending();
            }
            hold(closing ? 0 : decoder.held() + waiting() + kept);
        }

        // ---- A long request ----

        /** The first part has come: the flow opens, and what follows waits until a server takes it. */
        private void takeLong() throws HttpException {
            long length = decoder.length();
            HttpRequest head = decoder.part(decoder.stream((from, n) -> upload.piece(from.readRetainedSlice(n))));
            upload = new BodyStream(this);
            endHeld = false;
            take(new StreamedRequest(head, length, upload), head, false);
            if (flow < 0) {
                upload = null;
            } else {
                kept = head.body().length;
                counters.count(Counter.REQUESTS_STREAMED);
                readLong();
            }
        }

        private void readLong() {
            try {
                if (pending == null || endHeld) {
                    return;
                }
                if (decoder.decode(pending)) {
                    decoder.take();
                    endHeld = true;
                } else {
                    upload.flush();
                }
            } catch (HttpException e) {
                failLong(e.status(), e.getMessage());
            }
        }

        /** The last byte of a long body goes on: from then on it may run, so its client must be present. */
        private void passEnd() {
            if (upload != null && endHeld && readOut) {
                endUpload(true);
                resting = false;
                events.raise(new Event.RequestCompleted(flow));
            }
        }

        /** The request itself is at fault, in the middle of its body: its flow ends as if its client had left. */
        private void failLong(int status, String why) {
            long gone = flow;
            BodyStream rest = upload;
            upload = null;
            flow = -1;
            flows.remove(gone);
            events.raise(new Event.ClientDisconnected(gone));
            rest.end(false);
            bad(status, why);
        }

        private void endUpload(boolean whole) {
            if (upload != null) {
                BodyStream b = upload;
                upload = null;
                b.end(whole);
            }
        }

        @Override
        public void setReading(boolean on) {
            resting = !on;
            ahead = on ? 0 : ahead;
            readOrRest();
        }

        @Override
        public void onCancelled() {
            // The flow has its answer, or will have it at once; what still comes of the body is dropped.
            setReading(true);
        }

        private void dropPending() {
            if (pending != null) {
                pending.release();
                pending = null;
            }
        }

        private void hold(int bytes) {
            held += bytes - holds;
            holds = bytes;
        }

        /** Holds nothing any more: what is being served is answered, nothing behind it is begun. */
        private void giveUpReading(String why) {
            keepAlive = false;
            if (upload != null) {
                failLong(503, why);
            } else if (flow >= 0 || writing) {
                full = true;
                dropPending();
                autoRead(true);
            } else if (!closing) {
                bad(503, why);
            }
            kept = 0;
            hold(0);
        }

        /** Says what is wrong and ends the connection: where the next request begins can't be known. */
        private void bad(int status, String why) {
            counters.count(Counter.INVALID_REQUESTS);
            counters.countRejection(RejectionReason.Port.REQUESTS, RejectionReason.ofStatus(status));
            keepAlive = false;
            answer(status, new Headers(), text(why + "\n"));
        }

        private void take(HttpRequest r, boolean whole) {
            take(r, r, whole);
        }

        /** Opens a flow for this request, with a message that is the request itself or the part of it that has come. */
        private void take(Object message, HttpRequest r, boolean whole) {
            asked = true;
            http11 = r.http11();
            keepAlive = r.keepAlive();
            int query = r.target().indexOf('?');
            String path = query < 0 ? r.target() : r.target().substring(0, query);
            if (path.equals(READY) || path.equals(LIVE) || path.equals(COUNTERS)) {
                local(r, path);
                return;
            }
            String named = r.headers().get("X-Service-Class");
            RequestClass c = classes.get(r.firstPart());
            if (c == null || named != null && !named.equals(c.name())) {
                if (c == null) {
                    counters.countDropped(r.firstPart());
                }
                reject(404, "no such class");
                return;
            }
            String method = c.idempotence() == Idempotence.IDEMPOTENT ? "GET" : "POST";
            if (!r.method().equals(method)) {
                wrongMethod(method);
                return;
            }
            String expects = r.headers().get("Expect");
            if (expects != null && !expects.equalsIgnoreCase("100-continue")) {
                reject(417, "unknown expectation");
                return;
            }
            String left = r.headers().get(HttpEncoder.TIME_LEFT);
            String correlation = r.headers().get("X-Correlation-Id");
            boolean nameless = correlation == null || correlation.isEmpty();
            if (nameless || r.headers().count("X-Correlation-Id") > 1 || left != null && !left.matches("[0-9]{1,9}")) {
                reject(400, nameless ? "no X-Correlation-Id" : "X-Time-Left-Ms or X-Correlation-Id amiss");
                return;
            }
            // Guards the client whose request is open: the same id twice at the servers would be a second copy.
            if (!open.add(correlation)) {
                reject(409, "a request with this X-Correlation-Id is open");
                return;
            }
            id = correlation;
            since = clock.nowMs();
            flow = flowCount++;
            flows.put(flow, this);
            events.raise(new Event.RequestReceived(
                    flow,
                    new ClientRequest(
                            c.name(),
                            r.headers().get("X-Account"),
                            left == null ? -1 : Integer.parseInt(left),
                            "1".equals(r.headers().get("X-Repeat")),
                            whole,
                            unseen,
                            message)));
            unseen = 0;
        }

        private void local(HttpRequest r, String path) {
            if (!r.method().equals("GET")) {
                wrongMethod("GET");
            } else if (path.equals(READY)) {
                boolean up = ready.getAsBoolean();
                answer(up ? 200 : 503, new Headers(), text(up ? "ready\n" : "not ready\n"));
            } else {
                answer(200, new Headers(), text(path.equals(LIVE) ? "live\n" : counters.text()));
            }
        }

        private void wrongMethod(String right) {
            counters.count(Counter.INVALID_REQUESTS);
            counters.countRejection(RejectionReason.Port.REQUESTS, RejectionReason.ofStatus(405));
            keepAlive = false;
            answer(405, new Headers().add("Allow", right), text("only " + right + "\n"));
        }

        /** Guards usual clients as well: one that asks for nonsense at full speed must connect for each try. */
        private void reject(int status, String why) {
            bad(status, why);
        }

        /** Answers; if the node itself fails at that, the client is told so, once, and its connection ends. */
        void answerOrFail(Runnable answer) {
            try {
                answer.run();
            } catch (RuntimeException e) {
                events.onFault("an answer failed", e);
                answerFailed();
            }
        }

        private void answerFailed() {
            keepAlive = false;
            if (download != null) {
                // Its head is out: only the end of the connection tells that the rest is missing.
                channel.close();
                return;
            }
            try {
                answer(502, new Headers(), text("failed\n"));
            } catch (RuntimeException e) {
                events.onFault("no answer is possible", e);
                channel.close();
            }
        }

        void answer(int status, Headers fields, byte[] body) {
            boolean close = beginAnswer();
            channel.writeAndFlush(HttpEncoder.answer(channel.alloc(), status, fields, body, close))
                    .addListener(f -> written(f.isSuccess() ? ResponseEnd.COMPLETE : ResponseEnd.ABANDONED, close));
        }

        /** The flow has its answer; whether the connection ends behind it. */
        private boolean beginAnswer() {
            // What may fail comes first: the answer can then be tried once more.
            since = clock.nowMs();
            if (upload != null) {
                // Its request is not whole and never will be: where the next one begins can't be known.
                keepAlive = false;
                BodyStream rest = upload;
                upload = null;
                rest.cancel();
            }
            kept = 0;
            ahead = 0;
            resting = false;
            answered = flow >= 0 ? flow : answered;
            flow = -1;
            open.remove(id);
            id = null;
            writing = true;
            return !keepAlive || sayClose;
        }

        void answerLong(StreamedResponse d, Headers fields) {
            boolean chunked = d.length() < 0 && http11;
            keepAlive &= d.length() >= 0 || chunked;
            boolean close = beginAnswer();
            download = d.body();
            channel.write(HttpEncoder.answerHead(
                    channel.alloc(),
                    200,
                    fields,
                    chunked ? HttpEncoder.CHUNKED : d.length() >= 0 ? d.length() : HttpEncoder.NO_BODY,
                    close));
            d.body().connect(new ToClient(chunked, d.length() < 0, close));
        }

        /** Writes a long answer as its client takes it. */
        private final class ToClient implements BodyStream.Sink {
            private final boolean chunked;
            private final boolean close;
            private final boolean keepsNoLength;

            ToClient(boolean chunked, boolean keepsNoLength, boolean close) {
                this.chunked = chunked;
                this.keepsNoLength = keepsNoLength;
                this.close = close;
            }

            @Override
            public void piece(ByteBuf piece) {
                if (chunked && piece.isReadable()) {
                    channel.write(HttpEncoder.chunkHead(channel.alloc(), piece.readableBytes()));
                    channel.write(piece);
                    channel.write(HttpEncoder.chunkEnd(channel.alloc()));
                } else {
                    channel.write(piece);
                }
            }

            @Override
            public void flush() {
                channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> since = clock.nowMs());
                if (!channel.isWritable()) {
                    download.setDemand(false);
                }
            }

            @Override
            public void onEnd(boolean whole) {
                download = null;
                if (whole) {
                    channel.writeAndFlush(chunked ? HttpEncoder.lastChunk(channel.alloc()) : Unpooled.EMPTY_BUFFER)
                            .addListener(
                                    f -> written(f.isSuccess() ? ResponseEnd.COMPLETE : ResponseEnd.ABANDONED, close));
                } else {
                    // Short of its length or without its last chunk; where its end is the connection's, only a reset
                    // tells the client.
                    if (!chunked && keepsNoLength) {
                        channel.config().setOption(ChannelOption.SO_LINGER, 0);
                    }
                    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> written(ResponseEnd.TRUNCATED, true));
                }
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (download != null && channel.isWritable()) {
                since = clock.nowMs();
                download.setDemand(true);
            }
        }

        /** The answer of a flow has left, or never will. */
        private void left(ResponseEnd how) {
            if (answered >= 0) {
                long flowLeft = answered;
                answered = -1;
                events.raise(new Event.ResponseFinished(flowLeft, how));
            }
        }

        private void written(ResponseEnd how, boolean close) {
            left(how);
            writing = false;
            since = clock.nowMs();
            if (how != ResponseEnd.COMPLETE) {
                channel.close();
            } else if (close || full) {
                end();
            } else {
                readOrRest();
                channel.eventLoop().execute(this::readOn);
            }
        }

        /**
         * Nothing more goes out. Guards what has: closing over unread bytes would reset the connection before the
         * client has read its answer. A request that crosses this is read and dropped; its client sends it anew.
         */
        private void end() {
            closing = true;
            since = clock.nowMs();
            dropPending();
            hold(0);
            autoRead(true);
            ((SocketChannel) channel).shutdownOutput();
        }

        void sweep(double now) {
            if (isHiddenFromWaiting(now)) {
                events.raise(new Event.ClientPresenceUnknown(flow));
            }
            double age = now - since;
            double limit =
                    keepNone ? YOUNG_MS : !asked ? SLOW_MS : sockets.isCrowdedByClients() ? CROWDED_IDLE_MS : IDLE_MS;
            double stalled = download != null ? STALLED_STREAM_MS : STALLED_MS;
            if (closing ? age > LINGER_MS : writing && age > stalled) {
                channel.close();
            } else if (isIdle() && age > limit) {
                endIfIdle();
            } else if (isReading() && !decoder.awaitsBody() && age > SLOW_MS) {
                bad(408, "request too slow");
            } else if (decoder.awaitsBody() && !resting && (isReading() || upload != null)) {
                behindMs = Math.max(-SLOW_MS, behindMs + now - sweptAt - arrived / LEAST_PACE);
                silentMs = arrived > 0 ? 0 : silentMs + now - sweptAt;
                boolean slow = behindMs > SLOW_MS || silentMs > SLOW_MS;
                if (slow && upload != null) {
                    failLong(408, "body too slow");
                } else if (slow) {
                    bad(408, "body too slow");
                }
            } else {
                silentMs = 0;
            }
            arrived = 0;
            sweptAt = now;
        }
    }
}
