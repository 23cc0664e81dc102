package brackenbridge.net;

import brackenbridge.clock.Clock;
import brackenbridge.core.EndpointList;
import brackenbridge.core.Event;
import brackenbridge.core.ServerEndpoint;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.discovery.EndpointListParser;
import brackenbridge.discovery.JsonObjectSplitter;
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
import java.util.List;
import java.util.Map;

/** Makes the discovery calls that the reducer requests, each on its own connection. */
final class DiscoveryClient {
    /** Guards the heap; an indented list of 15,000 servers is shorter. */
    private static final int MAX_LIST_BYTES = 4 << 20;

    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int OK = 200;
    private static final long NO_VERSION = -1;
    private static final int MAX_LOGGED_HOSTS = 10;
    private static final String LIST_PATH = "/registry/instances";

    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private final EventSink events;
    private final Clock clock;
    private final Log log;
    private final Map<Long, Call> calls = new HashMap<>();
    private String address;
    private long latestLoggedVersion = NO_VERSION;

    DiscoveryClient(Bootstrap bootstrap, EventLoop loop, String address, EventSink events, Clock clock, Log log) {
        this.bootstrap = bootstrap.clone().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
        this.loop = loop;
        this.address = address;
        this.events = events;
        this.clock = clock;
        this.log = log;
    }

    /** Sets the address of all further calls. */
    void setAddress(String newAddress) {
        address = newAddress;
    }

    /** Starts a watch call that reports all changes of the list after this version. */
    void watch(long callId, long afterVersion) {
        startCall(new Call(callId, address, LIST_PATH + "?watch=1&after=" + afterVersion));
    }

    /** Ends a call without reporting its end. */
    void endCall(long callId) {
        Call call = calls.remove(callId);
        if (call != null) {
            call.cancel();
        }
    }

    private void startCall(Call call) {
        calls.put(call.id, call);
        InetSocketAddress socketAddress = Addresses.parse(call.address);
        if (socketAddress == null) {
            call.end("not a literal address: " + call.address);
            return;
        }
        call.channel = ConnectAttempt.start(bootstrap.clone().handler(call), loop, socketAddress, call);
    }

    /** Logs each new version once: an agent may repeat its list ten times a second. */
    private void logList(long callId, EndpointList list) {
        if (list.version() == latestLoggedVersion) {
            return;
        }
        latestLoggedVersion = list.version();
        List<String> unavailable = list.endpoints().stream()
                .filter(endpoint -> endpoint.state() != EndpointState.UP)
                .map(ServerEndpoint::host)
                .limit(MAX_LOGGED_HOSTS)
                .toList();
        log.info("endpoint list version " + list.version() + " on call " + callId
                + (list.complete() ? ", complete, " : ", changes, ")
                + list.endpoints().size()
                + " hosts; draining or removed: " + unavailable);
    }

    /** One call to discovery, from its connection to its end. */
    private final class Call extends ChannelInboundHandlerAdapter implements ConnectAttempt.Listener {
        private final long id;
        private final double openedAtMs = clock.nowMs();
        private final String address;
        private final String path;
        private final JsonObjectSplitter splitter = new JsonObjectSplitter(MAX_LIST_BYTES);
        private final ResponseDecoder decoder = new ResponseDecoder(this::readBody);
        private Channel channel;
        private boolean headReceived;
        private boolean ended;

        Call(long id, String address, String path) {
            this.id = id;
            this.address = address;
            this.path = path;
        }

        void cancel() {
            ended = true;
            closeChannel();
        }

        private void closeChannel() {
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        public void onConnected() {
            channel.writeAndFlush(HttpEncoder.get(channel.alloc(), path, address));
        }

        @Override
        public void onConnectFailed(Throwable cause) {
            end("can't connect: " + cause.getMessage());
        }

        @Override
        public void onSocketUnavailable(Throwable cause) {
            end("can't open a socket: " + cause.getMessage());
        }

        private void readBody(ByteBuf from, int length) throws HttpException {
            for (int i = 0; i < length; i++) {
                byte next = from.readByte();
                if (decoder.status() == OK && !ended) {
                    readListByte(next);
                }
            }
        }

        private void readListByte(byte next) throws HttpException {
            switch (splitter.add(next)) {
                case TEXT_COMPLETE -> onList(splitter.takeText());
                // Only the first byte of a list counts as a heartbeat: guards against a list that never ends.
                case EMPTY_LINE, TEXT_STARTED -> events.raise(new Event.DiscoveryHeartbeat(id));
                case TOO_LONG -> end("list longer than " + MAX_LIST_BYTES + " bytes");
                default -> {
                    // The list is not complete yet.
                }
            }
        }

        private void onList(String text) {
            try {
                EndpointList endpoints = EndpointListParser.parse(text);
                if (!endpoints.malformedHosts().isEmpty()) {
                    log.warn("unreadable entries in the endpoint list; these hosts keep their previous state: "
                            + endpoints.malformedHosts());
                }
                logList(id, endpoints);
                events.raise(new Event.EndpointListReceived(id, endpoints));
            } catch (IllegalArgumentException e) {
                end(e.getMessage());
            }
        }

        /** Ends the call and reports its end, once. */
        private void end(String reason) {
            ended = true;
            if (calls.remove(id, this)) {
                log.warn("discovery call " + id + " ended " + (long) (clock.nowMs() - openedAtMs)
                        + " ms after its start: " + reason);
                events.raise(new Event.DiscoveryCallEnded(id));
            }
            closeChannel();
        }

        private void endWithResponse() {
            end(decoder.status() == OK ? "response ended" : "status " + decoder.status());
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            ByteBuf in = (ByteBuf) msg;
            try {
                boolean complete = decoder.decode(in);
                if (complete || decoder.awaitsBody() && decoder.status() != OK) {
                    // Guards against waiting for the body of an error response.
                    endWithResponse();
                } else if (!headReceived && decoder.awaitsBody()) {
                    // Guards a call that waited for its response head: the head counts as a heartbeat, as the first
                    // empty line is due only 2 s after it.
                    headReceived = true;
                    events.raise(new Event.DiscoveryHeartbeat(id));
                }
            } catch (HttpException e) {
                end(e.getMessage());
            } finally {
                in.release();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (decoder.onConnectionEnd()) {
                endWithResponse();
            } else {
                end("connection ended before the response was complete");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            end(String.valueOf(cause.getMessage()));
        }
    }
}
