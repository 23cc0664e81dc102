package brackenbridge.net;

import brackenbridge.BalancerApi.Settings;
import brackenbridge.core.Event;
import brackenbridge.http.HttpEncoder;
import brackenbridge.http.HttpException;
import brackenbridge.http.HttpResponse;
import brackenbridge.http.LoadReport;
import brackenbridge.http.ResponseDecoder;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Examines servers, each time on a connection of its own. */
final class Probes {
    private final Bootstrap bootstrap;
    private final Events events;
    private final String target;
    private final boolean reports;
    private final Map<Long, Channel> running = new HashMap<>();

    Probes(Bootstrap bootstrap, Settings settings, Events events) {
        this.bootstrap = bootstrap;
        this.events = events;
        this.reports = !settings.network().reportFields().isEmpty();
        this.target = reports ? "/stats" : "/health/live";
    }

    void begin(long probe, String dial) {
        InetSocketAddress address = Addresses.of(dial);
        if (address == null) {
            events.raise(new Event.ProbeEnded(probe, false, false, null));
            return;
        }
        ChannelFuture opened = bootstrap.clone().handler(new Exchange(probe)).connect(address);
        running.put(probe, opened.channel());
        opened.addListener(f -> {
            if (f.isSuccess()) {
                opened.channel().writeAndFlush(HttpEncoder.get(opened.channel().alloc(), target, dial));
            } else {
                over(probe, null);
            }
        });
    }

    void end(long probe) {
        Channel channel = running.remove(probe);
        if (channel != null) {
            channel.close();
        }
    }

    private void over(long probe, HttpResponse r) {
        Channel channel = running.remove(probe);
        if (channel == null) {
            return;
        }
        channel.close();
        boolean passed = r != null && r.status() == 200;
        String load = r == null || !reports ? null : r.headers().get("X-Backend-Load") != null
                ? r.headers().get("X-Backend-Load") : new String(r.body(), StandardCharsets.UTF_8);
        events.raise(new Event.ProbeEnded(probe, r != null, passed, LoadReport.parse(load)));
    }

    /** One probe. */
    private final class Exchange extends ChannelInboundHandlerAdapter {
        private final long probe;
        private final ResponseDecoder decoder = new ResponseDecoder();

        Exchange(long probe) {
            this.probe = probe;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            ByteBuf in = (ByteBuf) msg;
            try {
                if (decoder.decode(in)) {
                    over(probe, decoder.take());
                }
            } catch (HttpException e) {
                over(probe, null);
            } finally {
                in.release();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            over(probe, decoder.ended() ? decoder.take() : null);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            over(probe, null);
        }
    }
}
