package brackenbridge.lab.fleet;

import brackenbridge.clock.Clock;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One link: listens on loopback in the place of a process, passes bytes on to it and back, and fails as it is told.
 * Everything happens on one event loop. What it holds is bounded: a side that sends faster than the other takes is not
 * read from.
 */
public final class Relay implements AutoCloseable {
    /** Bytes held in one direction of a connection before its sender is not read from. */
    private static final int MOST_HELD = 256 * 1024;

    private static final int CONNECT_MS = 2000;
    private static final int BIND_AGAIN_MS = 20;
    /** Pause between two checks of whether a closed listening socket has been released. */
    private static final int RELEASE_CHECK_INTERVAL_MS = 1;
    /** A fault that takes longer to begin or end is reported as an error. */
    private static final long APPLY_LIMIT_MS = 10_000;

    /**
     * What has gone through it.
     *
     * @param connections connections that were made to it
     * @param resets connections that it reset
     * @param bytesThere bytes passed there
     * @param bytesBack bytes passed back
     */
    public record Counts(long connections, long resets, long bytesThere, long bytesBack) {}

    private record Piece(ByteBuf bytes, double dueMs) {}

    /**
     * The listening channel. A closed one still accepts connections until the selector has released its socket, in the
     * next turn of the event loop.
     */
    private static final class ListeningChannel extends NioServerSocketChannel {
        boolean isReleased() {
            return !javaChannel().isOpen() && !javaChannel().isRegistered();
        }
    }

    /** A connection to the relay and the one that it makes in turn. */
    private final class Pair {
        final SocketChannel near;
        final Flow there = new Flow(this, true);
        final Flow back = new Flow(this, false);
        SocketChannel far;
        /** The far side is lost; what the near side sends goes nowhere. */
        boolean deaf;

        boolean over;
        long passedBack;

        Pair(SocketChannel near) {
            this.near = near;
        }

        void connect() {
            if (over || far != null || silent(true) || silent(false)) {
                return;
            }
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                    .option(ChannelOption.AUTO_READ, false)
                    .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                    .handler(back)
                    .connect(to)
                    .addListener(f -> {
                        if (!f.isSuccess()) {
                            reset();
                            return;
                        }
                        far = (SocketChannel) ((ChannelFuture) f).channel();
                        if (over) {
                            Relay.reset(far);
                            return;
                        }
                        there.resume();
                        back.resume();
                    });
        }

        void reset() {
            if (!over) {
                resets++;
                over = true;
                Relay.reset(near);
                if (far != null) {
                    Relay.reset(far);
                }
                forget();
            }
        }

        void forget() {
            over = true;
            pairs.remove(this);
            there.drop();
            back.drop();
        }

        /** One side has ended for good: the other ends once it has what was on its way. */
        void closed(Flow by) {
            if (over || deaf) {
                return;
            }
            by.ended = true;
            by.flush();
        }

        void lose() {
            deaf = true;
            if (far != null) {
                Relay.reset(far);
            }
            there.drop();
            back.drop();
            near.config().setAutoRead(true);
        }
    }

    /** One direction of a pair; the handler of the connection that it reads from. */
    private final class Flow extends ChannelInboundHandlerAdapter {
        private final Pair pair;
        private final boolean isThere;
        private final ArrayDeque<Piece> held = new ArrayDeque<>();
        private long heldBytes;
        private double lastDueMs;
        private boolean ended;
        private boolean waits;

        Flow(Pair pair, boolean isThere) {
            this.pair = pair;
            this.isThere = isThere;
        }

        private SocketChannel from() {
            return isThere ? pair.near : pair.far;
        }

        private SocketChannel target() {
            return isThere ? pair.far : pair.near;
        }

        void resume() {
            if (from() != null && !pair.over && !pair.deaf) {
                from().config().setAutoRead(pair.far != null && !silent(isThere) && heldBytes < MOST_HELD);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            ByteBuf bytes = (ByteBuf) msg;
            if (pair.over || pair.deaf) {
                bytes.release();
                return;
            }
            double due = clock.nowMs() + delayMs(isThere);
            double rate = amount(LinkFault.Kind.NARROW);
            due = Math.max(due, lastDueMs) + (rate > 0 ? bytes.readableBytes() / rate * 1000 : 0);
            lastDueMs = due;
            heldBytes += bytes.readableBytes();
            held.add(new Piece(bytes, due));
            resume();
            flush();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            // This handler's connection is what the other direction writes to.
            (isThere ? pair.back : pair.there).flush();
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event == ChannelInputShutdownEvent.INSTANCE) {
                pair.closed(this);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (pair.deaf && isThere) {
                pair.forget();
            } else {
                pair.closed(this);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!pair.deaf) {
                pair.reset();
            }
        }

        void flush() {
            SocketChannel target = target();
            if (pair.over || pair.deaf || target == null || silent(isThere)) {
                return;
            }
            double now = clock.nowMs();
            boolean wrote = false;
            double cut = isThere ? 0 : amount(LinkFault.Kind.CUT);
            while (!held.isEmpty() && held.peek().dueMs() <= now && target.isWritable()) {
                ByteBuf bytes = held.poll().bytes();
                int size = bytes.readableBytes();
                heldBytes -= size;
                if (cut > 0 && pair.passedBack + size > cut) {
                    bytes.writerIndex(bytes.readerIndex() + (int) Math.max(0, cut - pair.passedBack));
                    target.writeAndFlush(bytes).addListener(f -> pair.reset());
                    return;
                }
                if (isThere) {
                    bytesThere += size;
                } else {
                    bytesBack += size;
                    pair.passedBack += size;
                }
                target.write(bytes);
                wrote = true;
            }
            if (wrote) {
                target.flush();
            }
            if (!held.isEmpty() && held.peek().dueMs() > now) {
                later(held.peek().dueMs());
            } else if (held.isEmpty() && ended) {
                end(target);
            }
            resume();
        }

        private void end(SocketChannel target) {
            if (target.isOutputShutdown() || !target.isActive()) {
                return;
            }
            target.shutdownOutput().addListener(f -> {
                Flow other = isThere ? pair.back : pair.there;
                if (other.ended && other.held.isEmpty()) {
                    pair.near.close();
                    pair.far.close();
                    pair.forget();
                }
            });
        }

        private void later(double atMs) {
            if (!waits) {
                waits = true;
                loop.schedule(
                        () -> {
                            waits = false;
                            flush();
                        },
                        (long) (Math.max(0, atMs - clock.nowMs()) * 1e6) + 1,
                        TimeUnit.NANOSECONDS);
            }
        }

        void drop() {
            held.forEach(p -> p.bytes().release());
            held.clear();
            heldBytes = 0;
        }
    }

    private final String name;
    private final EventLoop loop;
    private final Clock clock;
    private final InetSocketAddress to;
    private final SplittableRandom random;
    private final List<LinkFault> faults = new ArrayList<>();
    private final Set<Pair> pairs = new LinkedHashSet<>();
    private final InetSocketAddress address;
    private ListeningChannel listening;
    private boolean closed;
    private long connections;
    private long resets;
    private long bytesThere;
    private long bytesBack;

    /** A link to this address, on a free port of loopback; not to be made on the loop. */
    public Relay(String name, EventLoop loop, Clock clock, InetSocketAddress to, long seed) {
        this.name = name;
        this.loop = loop;
        this.clock = clock;
        this.to = to;
        this.random = new SplittableRandom(seed);
        listening = (ListeningChannel) listen(new InetSocketAddress("127.0.0.1", 0))
                .syncUninterruptibly()
                .channel();
        address = listening.localAddress();
    }

    private ChannelFuture listen(InetSocketAddress at) {
        return new ServerBootstrap()
                .group(loop)
                .channelFactory(ListeningChannel::new)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel near) {
                        accepted(near);
                    }
                })
                .bind(at);
    }

    private void accepted(SocketChannel near) {
        connections++;
        Pair pair = new Pair(near);
        near.pipeline().addLast(pair.there);
        pairs.add(pair);
        if (has(LinkFault.Kind.RESET)) {
            // Once it is registered: a channel can't be closed while it is being set up.
            loop.execute(pair::reset);
        } else {
            pair.connect();
        }
    }

    /** Its name. */
    public String name() {
        return name;
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return address;
    }

    /**
     * Makes the link fail in this way until {@link #end} is called with the same fault. The fault is in force when the
     * call returns; if called on the relay's event loop, it is so after the loop's next turn.
     */
    public void begin(LinkFault f) {
        applyAndWait(applied -> {
            faults.add(f);
            switch (f.kind()) {
                case REFUSE -> stopListening(applied);
                case RESET -> List.copyOf(pairs).forEach(Pair::reset);
                case HALF_OPEN -> List.copyOf(pairs).forEach(Pair::lose);
                default -> resumeAll();
            }
            if (f.kind() != LinkFault.Kind.REFUSE) {
                applied.setSuccess(null);
            }
        });
    }

    /** Ends this fault; when the call returns is as for {@link #begin}. */
    public void end(LinkFault f) {
        applyAndWait(applied -> {
            if (!faults.remove(f)) {
                applied.setSuccess(null);
                return;
            }
            if (f.kind().endsInResets()) {
                List.copyOf(pairs).forEach(Pair::reset);
            }
            resumeAll();
            if (f.kind() == LinkFault.Kind.REFUSE && !has(LinkFault.Kind.REFUSE)) {
                listenAgain(applied);
            } else {
                applied.setSuccess(null);
            }
        });
    }

    /** Runs the change on the event loop; waits until it is complete, unless called on that loop. */
    private void applyAndWait(Consumer<Promise<Void>> change) {
        Promise<Void> applied = loop.newPromise();
        loop.execute(() -> change.accept(applied));
        if (!loop.inEventLoop() && !applied.awaitUninterruptibly(APPLY_LIMIT_MS)) {
            throw new IllegalStateException(name + ": a link fault was not applied in " + APPLY_LIMIT_MS + " ms");
        }
    }

    private void stopListening(Promise<Void> stopped) {
        listening.close();
        completeWhenReleased(listening, stopped);
    }

    private void completeWhenReleased(ListeningChannel closing, Promise<Void> released) {
        if (closing.isReleased()) {
            released.setSuccess(null);
        } else {
            loop.schedule(
                    () -> completeWhenReleased(closing, released), RELEASE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void resumeAll() {
        for (Pair p : List.copyOf(pairs)) {
            p.there.resume();
            p.back.resume();
            p.there.flush();
            p.back.flush();
        }
    }

    private void listenAgain(Promise<Void> listens) {
        if (closed || has(LinkFault.Kind.REFUSE)) {
            listens.setSuccess(null);
            return;
        }
        listen(address).addListener(f -> {
            if (!f.isSuccess()) {
                loop.schedule(() -> listenAgain(listens), BIND_AGAIN_MS, TimeUnit.MILLISECONDS);
                return;
            }
            listening = (ListeningChannel) ((ChannelFuture) f).channel();
            if (closed || has(LinkFault.Kind.REFUSE)) {
                listening.close();
            }
            listens.setSuccess(null);
        });
    }

    private boolean has(LinkFault.Kind kind) {
        return faults.stream().anyMatch(f -> f.kind() == kind);
    }

    private boolean silent(boolean there) {
        return faults.stream().anyMatch(f -> f.kind().silences(there));
    }

    /** The least amount of the faults of this kind; 0 if there is none. */
    private double amount(LinkFault.Kind kind) {
        return faults.stream()
                .filter(f -> f.kind() == kind)
                .mapToDouble(LinkFault::amount)
                .min()
                .orElse(0);
    }

    private double delayMs(boolean there) {
        double sum = 0;
        for (LinkFault f : faults) {
            if (f.kind() == LinkFault.Kind.DELAY || f.kind() == LinkFault.Kind.SLOW_ANSWERS && !there) {
                sum += Math.max(0, f.amount() + f.jitterMs() * (2 * random.nextDouble() - 1));
            }
        }
        return sum;
    }

    /** What has gone through it; to be asked on its loop. */
    public Counts counts() {
        return new Counts(connections, resets, bytesThere, bytesBack);
    }

    private static void reset(SocketChannel c) {
        if (c.isActive()) {
            c.config().setSoLinger(0);
        }
        c.close();
    }

    @Override
    public void close() {
        loop.execute(() -> {
            closed = true;
            listening.close();
            List.copyOf(pairs).forEach(Pair::reset);
        });
    }
}
