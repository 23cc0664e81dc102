package brackenbridge.fleet.evacuation;

import brackenbridge.fleet.evacuation.PoolSnapshot.Flow;
import brackenbridge.fleet.evacuation.PoolSnapshot.Missing;
import brackenbridge.fleet.evacuation.PoolSnapshot.Pool;
import brackenbridge.fleet.evacuation.PoolSnapshot.Want;
import brackenbridge.fleet.replica.RecordVersion;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * What is learnt of pools from the records of all nodes. Plain: takes times and values, from one thread.
 *
 * <p>Capacity follows from the utilisation law of operational analysis (Denning and Buzen, The operational analysis of
 * queueing network models, 1978): tries a second over the utilisation that servers tell. It needs no guess of what a
 * server is like, and no load near the limit.
 */
public final class PoolModel {
    /** Nodes, pools and classes together that are kept: what comes from peers must not fill the memory. */
    private static final int MOST = 200_000;

    private static final double FORGOTTEN_MS = 600_000;
    /** Capacity and calls change more slowly than load. */
    private static final double SLOWER = 4;
    /** Less than this says nothing of what a server can do. */
    private static final double LEAST_UTILISATION = 0.02;

    private static final double LEAST_ATTEMPTS = 0.5;
    private static final double ENOUGH = 3;
    /** A capacity known worse than this is not known. */
    private static final double WORST_SPREAD = 0.35;
    /** How far moved load may go otherwise than by slots, as long as no rehearsal has shown how it goes. */
    private static final double UNREHEARSED = 0.06;

    private static final double REHEARSED = 0.02;
    private static final double MOST_CORRECTION = 3;

    /**
     * A record of a node.
     *
     * @param node its owner
     * @param zone the owner's zone
     * @param pool the pool
     * @param className the class
     * @param version the owner's count: what was learnt once is not learnt again
     * @param seen its content
     * @param heardMs how long ago its owner was last known to hold it so
     */
    public record PoolReport(
            String node,
            String zone,
            PoolName pool,
            String className,
            RecordVersion version,
            PoolObservation observation,
            double heardMs) {}

    private record Key(String node, PoolName pool, String className) {}

    private record Origin(String zone, PoolName pool) {}

    private record Caller(String tier, String zone) {}

    private static final class Kept {
        String zone;
        RecordVersion version;
        PoolObservation seen;
        double heldMs;
    }

    private final class Learning {
        final MovingEstimate attempts = new MovingEstimate(terms.halfLifeMs() * SLOWER);
        final MovingEstimate now = new MovingEstimate(terms.halfLifeMs());
        final MovingEstimate busyServers = new MovingEstimate(terms.halfLifeMs() * SLOWER);
        final MovingEstimate each = new MovingEstimate(terms.halfLifeMs() * SLOWER);
        final MovingEstimate serviceMs = new MovingEstimate(terms.halfLifeMs() * SLOWER);
        final MovingEstimate variation = new MovingEstimate(terms.halfLifeMs() * SLOWER);
        final Map<String, MovingEstimate> classes = new HashMap<>();
        PoolObservation last;
        int servers;
        double correction = 1;
        double correctionSpread = UNREHEARSED;
    }

    private final class Calls {
        final MovingEstimate made = new MovingEstimate(terms.halfLifeMs() * SLOWER);
        final MovingEstimate by = new MovingEstimate(terms.halfLifeMs() * SLOWER);
        final MovingEstimate ratio = new MovingEstimate(terms.halfLifeMs() * SLOWER);
    }

    private final ForecastSettings terms;
    private final Map<Key, Kept> kept = new HashMap<>();
    private final Map<String, Double> heardAt = new TreeMap<>();
    private final Map<PoolName, Learning> pools = new TreeMap<>();
    private final Map<Origin, MovingEstimate> origins = new HashMap<>();
    private final Map<Caller, Calls> callers = new HashMap<>();
    private final DailyProfile swing = new DailyProfile();
    private Map<String, String> expected = Map.of();
    private List<Want> wants = List.of();
    private double dayMs;

    /** Knows nothing yet. */
    public PoolModel(ForecastSettings terms) {
        this.terms = terms;
    }

    /** What it takes as given. */
    public ForecastSettings terms() {
        return terms;
    }

    /** The nodes that there should be, with their zones: one that is not heard is missed. */
    public void expectNodes(Map<String, String> nodes) {
        expected = Map.copyOf(nodes);
    }

    /** What tenants want of pools, all nodes together. */
    public void wanted(List<Want> now) {
        wants = List.copyOf(now);
    }

    /**
     * Learns from the records as they are now; one that was learnt is passed over, one that is too old as well.
     *
     * @param nowMs now, by this member's clock
     * @param nowDayMs now, as a time of the day
     */
    public void update(double nowMs, double nowDayMs, List<PoolReport> all) {
        dayMs = nowDayMs;
        boolean news = false;
        Map<Key, Kept> present = new HashMap<>();
        for (PoolReport o : all) {
            heardAt.merge(o.node(), nowMs - o.heardMs(), Math::max);
            Key key = new Key(o.node(), o.pool(), o.className());
            Kept k = kept.get(key);
            if (k == null) {
                if (kept.size() >= MOST || !sane(o.observation())) {
                    continue;
                }
                k = new Kept();
                kept.put(key, k);
            }
            k.heldMs = nowMs - o.heardMs();
            // What its owner has taken back counts no more.
            present.put(key, k);
            if (!o.version().equals(k.version) && o.heardMs() <= terms.freshMs() && sane(o.observation())) {
                k.version = o.version();
                k.seen = o.observation();
                k.zone = o.zone();
                news = true;
            }
        }
        // Guards against names of the past that fill the memory.
        kept.values().removeIf(k -> nowMs - k.heldMs > FORGOTTEN_MS);
        heardAt.values().removeIf(at -> nowMs - at > FORGOTTEN_MS);
        if (news) {
            learn(nowMs, present);
        }
    }

    /** Guards against figures that a faulty node sends: they must not spoil what others see. */
    private static boolean sane(PoolObservation s) {
        return s != null
                && fine(s.arrivalRate())
                && fine(s.attemptRate())
                && fine(s.rejectionRate())
                && s.servers() >= 0
                && s.servers() <= 1_000_000
                && fine(s.slots())
                && fine(s.inFlight())
                && fine(s.serviceMs())
                && fine(s.latencyMs())
                && fine(s.squaredVariation())
                && s.failureRatio() >= 0
                && s.failureRatio() <= 1
                && s.utilisation() <= 1.01
                && fine(s.connections())
                && s.coldFrom() > 0
                && s.coldFrom() <= 1
                && fine(s.coldMs())
                && s.slowPart() > 0
                && s.slowPart() <= 1
                && fine(s.slowAt());
    }

    private static boolean fine(double v) {
        return v >= 0 && v < 1e12;
    }

    private static final class Sum {
        double attempts;
        double good;
        double utilisation;
        double told;
        double service;
        double serviced;
        double variation;
        int servers;
        PoolObservation last;
        final Map<String, Double> classes = new TreeMap<>();
    }

    private void learn(double nowMs, Map<Key, Kept> present) {
        Map<PoolName, Sum> sums = new TreeMap<>();
        Map<Origin, Double> from = new HashMap<>();
        for (Map.Entry<Key, Kept> e : present.entrySet()) {
            Kept k = e.getValue();
            if (k.seen == null || nowMs - k.heldMs > terms.freshMs()) {
                continue;
            }
            PoolObservation s = k.seen;
            Sum sum = sums.computeIfAbsent(e.getKey().pool(), p -> new Sum());
            sum.attempts += s.attemptRate();
            sum.good += s.attemptRate() * (1 - s.failureRatio());
            sum.servers = Math.max(sum.servers, s.servers());
            sum.classes.merge(e.getKey().className(), s.attemptRate(), Double::sum);
            if (s.utilisation() >= 0) {
                sum.utilisation += s.utilisation();
                sum.told++;
            }
            if (s.serviceMs() > 0 && s.attemptRate() > 0) {
                sum.service += s.serviceMs() * s.attemptRate();
                sum.variation += s.squaredVariation() * s.attemptRate();
                sum.serviced += s.attemptRate();
            }
            if (sum.last == null || s.slowAt() > 0) {
                sum.last = s;
            }
            from.merge(new Origin(k.zone, e.getKey().pool()), s.arrivalRate(), Double::sum);
        }
        sums.forEach((name, sum) -> learn(nowMs, pools.computeIfAbsent(name, n -> new Learning()), sum));
        from.forEach((o, rate) -> origins.computeIfAbsent(o, n -> new MovingEstimate(terms.halfLifeMs()))
                .take(nowMs, rate));
        calls(nowMs, sums, from);
        if (!terms.tiers().isEmpty()) {
            Map<String, Double> first = new HashMap<>();
            from.forEach((o, rate) -> {
                if (o.pool().tier().equals(terms.tiers().get(0))) {
                    first.merge(o.zone(), rate, Double::sum);
                }
            });
            first.forEach((zone, rate) -> swing.take(zone, dayMs, rate));
        }
    }

    private void learn(double nowMs, Learning l, Sum sum) {
        l.servers = sum.servers;
        l.last = sum.last;
        l.now.take(nowMs, sum.attempts);
        double u = sum.told > 0 ? sum.utilisation / sum.told : -1;
        if (u >= LEAST_UTILISATION && sum.good >= LEAST_ATTEMPTS && sum.servers > 0) {
            l.attempts.take(nowMs, sum.good);
            l.busyServers.take(nowMs, u * sum.servers);
            l.each.take(nowMs, sum.good / (u * sum.servers));
        }
        if (sum.serviced > 0) {
            l.serviceMs.take(nowMs, sum.service / sum.serviced);
            l.variation.take(nowMs, sum.variation / sum.serviced);
        }
        sum.classes.forEach((c, rate) -> l.classes
                .computeIfAbsent(c, k -> new MovingEstimate(terms.halfLifeMs() * SLOWER))
                .take(nowMs, rate));
    }

    private void calls(double nowMs, Map<PoolName, Sum> sums, Map<Origin, Double> from) {
        for (int t = 0; t + 1 < terms.tiers().size(); t++) {
            String tier = terms.tiers().get(t);
            String next = terms.tiers().get(t + 1);
            Map<String, Double> by = new TreeMap<>();
            sums.forEach((p, s) -> {
                if (p.tier().equals(tier)) {
                    by.merge(p.zone(), s.good, Double::sum);
                }
            });
            Map<String, Double> made = new TreeMap<>();
            from.forEach((o, rate) -> {
                if (o.pool().tier().equals(next)) {
                    made.merge(o.zone(), rate, Double::sum);
                }
            });
            for (Map.Entry<String, Double> e : by.entrySet()) {
                if (e.getValue() >= LEAST_ATTEMPTS) {
                    Calls c = callers.computeIfAbsent(new Caller(tier, e.getKey()), k -> new Calls());
                    double rate = made.getOrDefault(e.getKey(), 0.0);
                    c.made.take(nowMs, rate);
                    c.by.take(nowMs, e.getValue());
                    c.ratio.take(nowMs, rate / e.getValue());
                }
            }
        }
    }

    /**
     * A rehearsal has shown that the load which was moved to a pool was off by this factor.
     *
     * @param weight how much the rehearsal is worth beside what was known, 0 to 1
     */
    public void applyCorrection(PoolName pool, double factor, double weight) {
        Learning l = pools.get(pool);
        if (l != null && factor > 0 && Double.isFinite(factor) && weight > 0 && weight <= 1) {
            double bounded = Math.max(1 / MOST_CORRECTION, Math.min(MOST_CORRECTION, factor));
            l.correction *= Math.exp(weight * Math.log(bounded));
            l.correctionSpread = Math.max(REHEARSED, l.correctionSpread * (1 - weight));
        }
    }

    /** How the pools are now, for a plan that starts at this time of the day; negative for now. */
    public PoolSnapshot snapshot(double nowMs, double startDayMs) {
        List<Pool> out = new ArrayList<>();
        for (Map.Entry<PoolName, Learning> e : pools.entrySet()) {
            out.add(pool(nowMs, e.getKey(), e.getValue()));
        }
        List<Flow> flows = new ArrayList<>();
        Map<Origin, MovingEstimate> sorted = new TreeMap<>((a, b) -> {
            int by = a.zone().compareTo(b.zone());
            return by != 0 ? by : a.pool().compareTo(b.pool());
        });
        sorted.putAll(origins);
        sorted.forEach((o, l) -> {
            double factor = startDayMs < 0 ? 1 : swing.factor(o.zone(), dayMs, startDayMs);
            double wait = startDayMs < 0 ? 0 : swing.spread(o.zone(), dayMs, startDayMs);
            double spread = l.spread(nowMs);
            flows.add(new Flow(
                    o.zone(),
                    o.pool(),
                    l.mean() * factor,
                    Math.sqrt(spread * spread + terms.drift() * terms.drift() + wait * wait)));
        });
        List<Missing> missing = new ArrayList<>();
        new TreeMap<>(expected).forEach((node, zone) -> {
            Double at = heardAt.get(node);
            if (at == null) {
                missing.add(new Missing(node, zone, node + " was never heard"));
            } else if (nowMs - at > terms.freshMs()) {
                missing.add(new Missing(
                        node,
                        zone,
                        String.format(Locale.ROOT, "%s was last heard %.0f s ago", node, (nowMs - at) / 1000)));
            }
        });
        return new PoolSnapshot(terms, out, flows, missing, wants);
    }

    private Pool pool(double nowMs, PoolName name, Learning l) {
        Calls c = callers.get(new Caller(name.tier(), name.zone()));
        double calls = c == null || c.by.mean() <= 0 ? 0 : c.made.mean() / c.by.mean();
        double callsSpread = c == null ? 0 : c.ratio.spread(nowMs);
        double each = l.busyServers.mean() > 0 ? l.attempts.mean() / l.busyServers.mean() : 0;
        double spread = l.each.known() ? l.each.spread(nowMs) : Double.POSITIVE_INFINITY;
        double within = calls * nextServiceMs(name);
        double service = l.serviceMs.mean();
        // What the next tier takes is not this one's work; a tenth at the least is its own.
        double work = Math.max(0.1 * service, service - within);
        String unknown = unknown(nowMs, l, spread);
        Map<String, Double> mix = new TreeMap<>();
        double all =
                l.classes.values().stream().mapToDouble(MovingEstimate::mean).sum();
        if (all > 0) {
            l.classes.forEach((k, v) -> mix.put(k, v.mean() / all));
        }
        double capacity = each * l.servers;
        double parallel = Math.max(l.servers, capacity * work / 1000);
        PoolObservation s = l.last;
        double variation = l.variation.known() ? l.variation.mean() : 1;
        return new Pool(
                name,
                l.servers,
                s.slots(),
                s.connections() > 0 ? s.connections() : s.slots(),
                capacity,
                Math.sqrt(spread * spread + terms.drift() * terms.drift()),
                work,
                variation,
                parallel,
                calls,
                callsSpread,
                mix,
                s.coldFrom(),
                s.coldMs(),
                s.slowPart(),
                s.slowAt(),
                l.correction,
                l.correctionSpread,
                l.now.mean(),
                unknown);
    }

    private double nextServiceMs(PoolName name) {
        int t = terms.tiers().indexOf(name.tier());
        if (t < 0 || t + 1 >= terms.tiers().size()) {
            return 0;
        }
        String next = terms.tiers().get(t + 1);
        double sum = 0;
        double weight = 0;
        for (Map.Entry<PoolName, Learning> e : pools.entrySet()) {
            MovingEstimate service = e.getValue().serviceMs;
            if (e.getKey().tier().equals(next) && service.known()) {
                double w = e.getKey().zone().equals(name.zone()) ? 1 : 1e-3;
                sum += w * service.mean();
                weight += w;
            }
        }
        return weight > 0 ? sum / weight : 0;
    }

    private static String unknown(double nowMs, Learning l, double spread) {
        if (l.servers == 0) {
            return "no server of it is known to run";
        }
        if (!l.now.known() || l.now.mean() < LEAST_ATTEMPTS / 10) {
            return "it has no load to learn from";
        }
        if (!l.each.known()) {
            return "nobody tells how busy its servers are";
        }
        if (l.each.weight() < ENOUGH) {
            return "it was seen too shortly";
        }
        if (l.last.slots() <= 0) {
            return "its slots are not known";
        }
        return spread > WORST_SPREAD
                ? String.format(Locale.ROOT, "its capacity is known to %.0f%% only", 100 * spread)
                : null;
    }

    /** The pools that are known. */
    public List<PoolName> names() {
        return List.copyOf(pools.keySet());
    }

    /** Forgets pools whose last record is long gone; from time to time. */
    public void forget(double nowMs) {
        Iterator<Map.Entry<PoolName, Learning>> i = pools.entrySet().iterator();
        while (i.hasNext()) {
            PoolName name = i.next().getKey();
            if (kept.keySet().stream().noneMatch(k -> k.pool().equals(name))) {
                i.remove();
                origins.keySet().removeIf(o -> o.pool().equals(name));
            }
        }
    }
}
