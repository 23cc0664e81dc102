package brackenbridge.fleet.share;

import brackenbridge.core.share.TenantQuotas;
import brackenbridge.core.share.TenantUsage;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * A node's side of the leases of one pool: asks, and says what its tenants may hold.
 *
 * <p>It acts by an answer for a lease from the moment of the question; then, until the leases of those to whom its
 * guaranteed part may have been lent have run out, by the smaller of that lease and the guaranteed part; then by the
 * guaranteed part. A node that has just started begins with nothing, in the same way: an earlier life of it may have
 * lent its part. Where the pool is smaller by its own list than the lessor knew, it takes its part of that. Plain:
 * times and values in, values out; times by one clock that never goes back.
 */
public final class QuotaLeaseClient {
    /** Tenants that a question names; the smaller ones count together. */
    static final int MOST_NAMED = 1000;
    /** How fast demand's estimate follows, in milliseconds. */
    private static final double FOLLOW_MS = 150;
    /** At what part of the time to drain calls are given up: the rest is for doing so. */
    private static final double GIVE_UP = 0.85;

    private final String pool;
    private final QuotaLeaseTerms terms;
    private final long life;
    private final Map<String, PoolUse> demand = new HashMap<>();
    private double readAtMs = Double.NaN;
    private long asked;
    private double askedAtMs = Double.NEGATIVE_INFINITY;
    private long acting;
    private long token;
    private long heard;
    private double untilMs = Double.NEGATIVE_INFINITY;
    private double answeredAtMs;
    private int capacity;
    /** The smallest that the pool was since the last question. */
    private int lowest;

    private int members;
    private int leased;
    private int leasedOf = 1;
    private Map<String, Double> lease = Map.of();
    private int busy;
    private boolean toAck;
    private boolean nudged;
    private long epoch;
    private double tellAtMs = Double.NEGATIVE_INFINITY;

    /** A node that starts now. */
    public QuotaLeaseClient(String pool, QuotaLeaseTerms terms, long life, double nowMs) {
        this.pool = pool;
        this.terms = terms;
        this.life = life;
        this.answeredAtMs = nowMs;
    }

    /** Its own list has the pool at so many connections, and the agreed membership has so many members. */
    public void knows(int capacityNow, int membersNow) {
        if (capacity != capacityNow || members != membersNow) {
            capacity = capacityNow;
            lowest = Math.min(lowest, capacity);
            cut(capacity);
            members = membersNow;
            tellAtMs = Double.NEGATIVE_INFINITY;
            nudged = true;
        }
    }

    /** What its tenants wanted and used since the last reading. */
    public void read(double nowMs, List<TenantUsage> uses) {
        double part = Double.isNaN(readAtMs) ? 1 : 1 - Math.exp(-(nowMs - readAtMs) / FOLLOW_MS);
        readAtMs = nowMs;
        Map<String, PoolUse> now = new HashMap<>();
        for (TenantUsage u : uses) {
            now.put(u.tenant(), new PoolUse(u.demand(), u.running(), u.rejectedPerSecond(), u.meanHoldMs()));
        }
        demand.forEach((t, u) -> now.putIfAbsent(t, new PoolUse(0, 0, 0, u.meanMs())));
        now.replaceAll((t, u) -> {
            PoolUse before = demand.get(t);
            return before == null
                    ? u
                    : new PoolUse(
                            before.wanted() + part * (u.wanted() - before.wanted()), u.used(), u.refused(), u.meanMs());
        });
        // A tenant that is new here can't wait for its turn.
        nudged |= now.keySet().stream().anyMatch(t -> !demand.containsKey(t) && !lease.containsKey(t));
        demand.clear();
        now.forEach((t, u) -> {
            if (u.wanted() > 0.01) {
                demand.put(t, u);
            }
        });
    }

    /** Connections that it uses now. */
    public void busy(int connections) {
        toAck |= busy > leased && connections < busy;
        busy = connections;
    }

    /** When the next question is due. */
    public double askAtMs() {
        return askedAtMs + (nudged ? terms.leastMs() : terms.askMs());
    }

    /** It asks now. */
    public QuotaLeaseMessage.Ask ask(double nowMs) {
        asked++;
        askedAtMs = nowMs;
        lowest = capacity;
        nudged = false;
        toAck = false;
        return new QuotaLeaseMessage.Ask(
                pool,
                life,
                asked,
                acting,
                token,
                heard,
                nowMs < untilMs ? leased : 0,
                Math.max(0, untilMs - nowMs),
                busy,
                named());
    }

    /** What is to be said of connections given back; empty if nothing. */
    public Optional<QuotaLeaseMessage.Ack> ack() {
        if (!toAck || acting == 0) {
            return Optional.empty();
        }
        toAck = false;
        return Optional.of(new QuotaLeaseMessage.Ack(pool, life, acting, busy));
    }

    /** An answer has come. */
    public void took(double nowMs, QuotaLeaseMessage.Grant g) {
        // Guards against answers to another life or an older question, whose lease runs from another moment, and
        // against a lessor that was replaced.
        if (g.life() != life
                || g.number() != asked
                || g.number() == acting
                || g.token() < heard
                || g.leaseMs() > terms.leaseMs()) {
            return;
        }
        acting = g.number();
        token = g.token();
        heard = token;
        untilMs = askedAtMs + g.leaseMs();
        answeredAtMs = nowMs;
        lease = g.tenants();
        leased = g.total();
        leasedOf = Math.max(1, g.capacity());
        cut(lowest);
        toAck = true;
        tellAtMs = Double.NEGATIVE_INFINITY;
    }

    /** There is another lease to be had. */
    public void took(QuotaLeaseMessage.Nudge n) {
        nudged |= n.token() >= heard;
        heard = Math.max(heard, n.token());
    }

    /** Whether there is something new to tell the node's reducer. */
    public boolean news(double nowMs) {
        return members > 0 && nowMs >= tellAtMs;
    }

    /** What the node's tenants may hold now. */
    public TenantQuotas allowances(double nowMs) {
        epoch++;
        int guaranteed = terms.guaranteed(capacity, members);
        int between = Math.min(leased, guaranteed);
        double lentUntil = answeredAtMs + terms.lentMs();
        if (nowMs < untilMs) {
            tellAtMs = untilMs;
            return allow(leased, untilMs, between);
        }
        tellAtMs = nowMs < lentUntil ? lentUntil : Double.POSITIVE_INFINITY;
        return nowMs < lentUntil
                ? allow(between, lentUntil, guaranteed)
                : allow(guaranteed, Double.POSITIVE_INFINITY, guaranteed);
    }

    /** Connections that it may use now. */
    public int mayUse(double nowMs) {
        int guaranteed = terms.guaranteed(capacity, members);
        return nowMs < untilMs
                ? leased
                : nowMs < answeredAtMs + terms.lentMs() ? Math.min(leased, guaranteed) : guaranteed;
    }

    /** Whether calls that outlast the lease are to be given up now. */
    public boolean overstays(double nowMs) {
        return nowMs >= untilMs + GIVE_UP * terms.drainMs() && busy > mayUse(nowMs);
    }

    /** Demand as it was last read, as it is put among the records of the fleet. */
    public Map<String, PoolUse> demand() {
        return Map.copyOf(demand);
    }

    /** Cuts its lease to a smaller pool: for good, as the lessor does, so that growth gives nobody what others got. */
    private void cut(int to) {
        if (to < leasedOf) {
            int before = leased;
            leased = (int) Math.floor((double) leased * to / leasedOf + 1e-9);
            leasedOf = Math.max(1, to);
            double part = before == 0 ? 0 : (double) leased / before;
            lease = lease.entrySet().stream().collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue() * part));
        }
    }

    private TenantQuotas allow(int now, double until, int then) {
        Map<String, Double> tenants = split(now);
        return new TenantQuotas(epoch, tenants, 0, Map.of(), until, split(then));
    }

    /** Connections split as the last lease was; all tenants together where there was none. */
    private Map<String, Double> split(int connections) {
        if (leased == 0) {
            return Map.of("", (double) connections);
        }
        Map<String, Double> parts = new HashMap<>();
        lease.forEach((t, d) -> parts.put(t, d * connections / leased));
        return parts;
    }

    private Map<String, PoolUse> named() {
        if (demand.size() <= MOST_NAMED) {
            return demand;
        }
        List<Map.Entry<String, PoolUse>> all = new ArrayList<>(demand.entrySet());
        all.sort(Comparator.comparingDouble(
                        (Map.Entry<String, PoolUse> e) -> -e.getValue().wanted())
                .thenComparing(Map.Entry::getKey));
        Map<String, PoolUse> named = new HashMap<>();
        double wanted = 0;
        double used = 0;
        double refused = 0;
        double held = 0;
        for (int i = 0; i < all.size(); i++) {
            PoolUse u = all.get(i).getValue();
            if (i < MOST_NAMED && !all.get(i).getKey().isEmpty()) {
                named.put(all.get(i).getKey(), u);
            } else {
                wanted += u.wanted();
                used += u.used();
                refused += u.refused();
                held += u.wanted() * u.meanMs();
            }
        }
        named.put("", new PoolUse(wanted, used, refused, wanted > 0 ? held / wanted : 0));
        return named;
    }
}
