package brackenbridge.net;

import brackenbridge.core.EndpointList;
import brackenbridge.core.Event;
import brackenbridge.discovery.EndpointListParser;
import brackenbridge.discovery.ObjectCutter;
import brackenbridge.http.HttpEncoder;
import brackenbridge.http.HttpException;
import brackenbridge.http.ResponseDecoder;
import brackenbridge.log.Log;
import brackenbridge.net.channel.Addresses;
import brackenbridge.net.channel.EventSink;
import brackenbridge.transport.ConnectAttempt;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/** Makes the calls to discovery that the reducer asks for, each on a connection of its own. */
final class DiscoveryClient {
    /** A list of 15,000 servers is shorter, indented as well. Guards the heap. */
    private static final int LIST_LIMIT = 4 << 20;

    private static final String LIST = "/registry/instances";

    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private String dial;
    private final EventSink events;
    private final Log log;
    private final Map<Long, Call> calls = new HashMap<>();

    DiscoveryClient(Bootstrap bootstrap, EventLoop loop, String dial, EventSink events, Log log) {
        this.bootstrap = bootstrap.clone().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000);
        this.loop = loop;
        this.dial = dial;
        this.events = events;
        this.log = log;
    }

    /** All further calls go to this address. */
    void moved(String to) {
        dial = to;
    }

    void watch(long call, long afterSeq) {
        begin(new Call(call), LIST + "?watch=1&after=" + afterSeq);
    }

    void end(long call) {
        Call c = calls.remove(call);
        if (c != null) {
            c.done = true;
            if (c.channel != null) {
                c.channel.close();
            }
        }
    }

    private void begin(Call c, String target) {
        calls.put(c.id, c);
        InetSocketAddress address = Addresses.parse(dial);
        if (address == null) {
            c.over("no address: " + dial);
            return;
        }
        c.target = target;
        c.dialled = dial;
        c.channel = ConnectAttempt.begin(bootstrap.clone().handler(c), loop, address, c);
    }

    /** One call. */
    private final class Call extends ChannelInboundHandlerAdapter implements ConnectAttempt.Listener {
        final long id;
        final ObjectCutter cutter = new ObjectCutter(LIST_LIMIT);
        final ResponseDecoder decoder = new ResponseDecoder(this::body);
        String target;
        String dialled;
        Channel channel;
        boolean answered;
        boolean done;

        Call(long id) {
            this.id = id;
        }

        @Override
        public void connected() {
            channel.writeAndFlush(HttpEncoder.get(channel.alloc(), target, dialled));
        }

        @Override
        public void connectFailed(Throwable cause) {
            over("no connection: " + cause.getMessage());
        }

        @Override
        public void notBegun(Throwable cause) {
            over("no socket: " + cause.getMessage());
        }

        private void body(ByteBuf from, int length) throws HttpException {
            for (int i = 0; i < length; i++) {
                byte b = from.readByte();
                if (decoder.status() != 200 || done) {
                    continue;
                }
                switch (cutter.add(b)) {
                    case TEXT -> told(cutter.take());
                    // A list that comes in pieces speaks with its first byte only: guards against one that never ends.
                    case EMPTY_LINE, BEGUN -> events.raise(new Event.DiscoveryHeartbeat(id));
                    case TOO_LONG -> over("list too long");
                    default -> {
                        // Nothing else matters here.
                    }
                }
            }
        }

        private void told(String text) {
            try {
                EndpointList group = EndpointListParser.parse(text);
                if (!group.unreadableHosts().isEmpty()) {
                    log.warn(
                            "entries that can't be read, so these hosts stay as they were: " + group.unreadableHosts());
                }
                events.raise(new Event.EndpointListReceived(id, group));
            } catch (IllegalArgumentException e) {
                over(e.getMessage());
            }
        }

        /** The call ends, once. */
        private void over(String why) {
            done = true;
            if (calls.remove(id, this)) {
                log.warn("discovery call " + id + " ended: " + why);
                events.raise(new Event.DiscoveryEnded(id));
            }
            if (channel != null) {
                channel.close();
            }
        }

        private void whole() {
            over(decoder.status() != 200 ? "status " + decoder.status() : "the answer ended");
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            ByteBuf in = (ByteBuf) msg;
            try {
                boolean whole = decoder.decode(in);
                if (whole || decoder.awaitsBody() && decoder.status() != 200) {
                    // Guards against waiting for the end of a refusal.
                    whole();
                } else if (!answered && decoder.awaitsBody()) {
                    // Guards a call that had to wait for its answer: the first empty line is due 2 s behind it.
                    answered = true;
                    events.raise(new Event.DiscoveryHeartbeat(id));
                }
            } catch (HttpException e) {
                over(e.getMessage());
            } finally {
                in.release();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (decoder.ended()) {
                whole();
            } else {
                over("connection ended");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            over(String.valueOf(cause.getMessage()));
        }
    }
}
