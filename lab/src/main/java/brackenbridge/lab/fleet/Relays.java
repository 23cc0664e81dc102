package brackenbridge.lab.fleet;

import brackenbridge.clock.Clock;
import brackenbridge.lab.live.ProcessLinks;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A relay on every link, made when the link is first asked for. */
final class Relays implements ProcessLinks, AutoCloseable {
    private record Link(String from, String to, Relay relay) {}

    private final EventLoop loop;
    private final Clock clock;
    private final long seed;
    private final Map<String, Link> links = new LinkedHashMap<>();

    Relays(EventLoop loop, Clock clock, long seed) {
        this.loop = loop;
        this.clock = clock;
        this.seed = seed;
    }

    @Override
    public synchronized String through(String from, String to, String dial) {
        String name = from + ">" + to;
        Link l = links.computeIfAbsent(name + "@" + dial, k -> {
            int colon = dial.lastIndexOf(':');
            return new Link(
                    from,
                    to,
                    new Relay(
                            name,
                            loop,
                            clock,
                            new InetSocketAddress(
                                    dial.substring(0, colon), Integer.parseInt(dial.substring(colon + 1))),
                            seed * 31 + links.size()));
        });
        InetSocketAddress at = l.relay().address();
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    /** The relay of a link that was asked for. */
    synchronized Relay of(String link) {
        return links.values().stream()
                .map(Link::relay)
                .filter(r -> r.name().equals(link))
                .findFirst()
                .orElseThrow();
    }

    synchronized List<String> names() {
        return links.values().stream().map(l -> l.relay().name()).distinct().toList();
    }

    synchronized List<Relay> struckBy(Fault f) {
        List<Relay> struck = new ArrayList<>();
        for (Link l : links.values()) {
            if (f.strikes(l.from(), l.to())) {
                struck.add(l.relay());
            }
        }
        return struck;
    }

    /** What all links together have passed. */
    synchronized Relay.Counts counts() {
        List<Relay> all = links.values().stream().map(Link::relay).toList();
        return loop.submit(() -> {
                    long connections = 0;
                    long resets = 0;
                    long there = 0;
                    long back = 0;
                    for (Relay r : all) {
                        Relay.Counts c = r.counts();
                        connections += c.connections();
                        resets += c.resets();
                        there += c.bytesThere();
                        back += c.bytesBack();
                    }
                    return new Relay.Counts(connections, resets, there, back);
                })
                .syncUninterruptibly()
                .getNow();
    }

    @Override
    public synchronized void close() {
        links.values().forEach(l -> l.relay().close());
    }
}
