package brackenbridge.core.share;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;

/**
 * Who goes next of a node's tenants, by what each may hold of the connections: stands between admission and forwards.
 *
 * <p>Start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996; with many servers at once, Jin, Chase and Kaur,
 * SIGMETRICS 2004) over tenants: each call moves its tenant's tag on by its connection time through its allowance, by
 * what was expected when it begins and by what it took when it ends; one that is still running beyond that is charged
 * meanwhile. Virtual time runs with the clock, so that an allowance in full use moves its tag as fast as time goes.
 * A tag stays behind virtual time by {@link SchedulerLimits#burstMs} at the most, which is the tenant's burst credit:
 * it lets
 * the tenant hold up to twice its allowance and is spent by that. A tenant that holds less than its allowance goes
 * before all that hold more. What nobody may claim is lent, by weights, to tenants whose calls are short enough to
 * be given back within {@link SchedulerLimits#returnMs}.
 *
 * <p>Tenants that are not named in {@link TenantQuotas} share what is for all others, by the same method among
 * themselves. At no time begins a call while as many run as all allowances make together. Until allowances are told
 * for the first time every call goes.
 *
 * <p>Each call costs at most logarithmic time in the tenants that wait. Idle tenants hold nothing. Not for more than
 * one thread; time never goes back.
 */
public final class TenantScheduler {
    /** What a new tenant's call is expected to take where its caller does not say; milliseconds. */
    private static final double UNKNOWN_MS = 50;
    /** How much the newest call counts in a tenant's mean. */
    private static final double NEWEST = 0.1;

    private static final double LEAST_ALLOWANCE = 0.01;
    private static final double LEAST_RATE = 0.05;
    private static final double LONGEST_RETRY_MS = 60_000;
    private static final double ROUNDING = 1e-6;

    /**
     * Bounds of a scheduler.
     *
     * @param burstMs burst credit at the most, in milliseconds of the allowance
     * @param returnMs a tenant whose calls hold a connection for longer is lent nothing; milliseconds
     * @param mostWaiting flows that wait at the most, over all tenants
     * @param mostTenants tenants that are told apart at the most; more of them count as one without a name
     */
    public record SchedulerLimits(double burstMs, double returnMs, int mostWaiting, int mostTenants) {
        /** For a node. */
        public static final SchedulerLimits USUAL = new SchedulerLimits(250, 1000, 4096, 200_000);

        /** Limits that can't be kept are rejected. */
        public SchedulerLimits {
            if (!(burstMs >= 0) || !(returnMs >= 0) || mostWaiting < 0 || mostTenants < 1) {
                throw new IllegalArgumentException(
                        "limits: " + burstMs + ", " + returnMs + ", " + mostWaiting + ", " + mostTenants);
            }
        }
    }

    /** What becomes of a flow that has just come. */
    public enum AdmissionVerdict {
        /** Forward it now. */
        ADMIT,
        /** It waits for its turn: a later {@link SchedulingResult} names it. */
        QUEUE,
        /** It can't be served in time. */
        REJECT
    }

    /**
     * What becomes of a flow.
     *
     * @param verdict which
     * @param retryAfterMs if refused: when its client may come back, in milliseconds from now
     */
    public record AdmissionDecision(AdmissionVerdict verdict, double retryAfterMs) {
        private static final AdmissionDecision GO = new AdmissionDecision(AdmissionVerdict.ADMIT, 0);
        private static final AdmissionDecision WAIT = new AdmissionDecision(AdmissionVerdict.QUEUE, 0);
    }

    private static final class Call {
        private final long flow;
        private final Tenant tenant;
        private final double expectedMs;
        /** The last moment at which it may begin. */
        private final double latestMs;

        private double beganMs = Double.NaN;
        private boolean gone;

        private Call(long flow, Tenant tenant, double expectedMs, double latestMs) {
            this.flow = flow;
            this.tenant = tenant;
            this.expectedMs = expectedMs;
            this.latestMs = latestMs;
        }

        private boolean running() {
            return !Double.isNaN(beganMs);
        }
    }

    /** One tenant with calls, or with a tag that is not forgotten yet. */
    private static final class Tenant {
        private final String name;
        private final long number;
        private final ArrayDeque<Call> line = new ArrayDeque<>(2);
        private Share share;
        private int running;
        private int waiting;
        private double meanMs = Double.NaN;
        private double sumBegan;
        private double changedMs;
        private double usedArea;
        private double waitedArea;
        private int refused;
        /** Its tag among the tenants of one share. */
        private double tag;

        private boolean queued;

        private Tenant(String name, long number, double nowMs) {
            this.name = name;
            this.number = number;
            this.changedMs = nowMs;
        }

        private void flows(double nowMs) {
            usedArea += running * (nowMs - changedMs);
            waitedArea += waiting * (nowMs - changedMs);
            changedMs = nowMs;
        }

        private double holdMs(double nowMs) {
            double mean = Double.isNaN(meanMs) ? UNKNOWN_MS : meanMs;
            return running == 0 ? mean : Math.max(mean, nowMs - sumBegan / running);
        }
    }

    /** What has an allowance: one named tenant, or all others together. */
    private static final class Share {
        private final long number;
        private final TreeSet<Tenant> queue =
                new TreeSet<>(Comparator.<Tenant>comparingDouble(t -> t.tag).thenComparingLong(t -> t.number));
        private double allowance;
        private double weight = 1;
        private int running;
        private double sumBegan;
        private double sumExpected;
        private double meanMs = UNKNOWN_MS;
        /** Connection time charged, through its allowance. */
        private double tag = Double.NEGATIVE_INFINITY;
        /** Connection time charged, through its weight. */
        private double lentTag;
        /** Virtual time among its tenants. */
        private double inner;

        private double key;
        private double refillKey;
        private TreeSet<Share> in;
        private boolean refills;

        private Share(long number) {
            this.number = number;
        }

        private double owed() {
            return Math.max(allowance, LEAST_ALLOWANCE);
        }

        /** The tag, with what running calls took beyond what was expected of them. */
        private double charged(double nowMs) {
            return tag + Math.max(0, running * nowMs - sumBegan - sumExpected) / owed();
        }

        private double holdMs(double nowMs) {
            return running == 0 ? meanMs : Math.max(meanMs, nowMs - sumBegan / running);
        }
    }

    private static final Comparator<Share> BY_KEY =
            Comparator.<Share>comparingDouble(s -> s.key).thenComparingLong(s -> s.number);

    private final SchedulerLimits limits;
    private final Map<Long, Call> calls = new HashMap<>();
    private final Map<String, Tenant> tenants = new HashMap<>();
    private final Share rest = new Share(0);
    /** Shares that hold less than they may and have flows that wait. */
    private final TreeSet<Share> under = new TreeSet<>(BY_KEY);
    /** Shares that may be lent to. */
    private final TreeSet<Share> over = new TreeSet<>(BY_KEY);
    /** Shares that hold less than they may, once virtual time is that far. */
    private final TreeSet<Share> later =
            new TreeSet<>(Comparator.<Share>comparingDouble(s -> s.refillKey).thenComparingLong(s -> s.number));

    private final PriorityQueue<Call> latest = new PriorityQueue<>(Comparator.comparingDouble(c -> c.latestMs));
    private TenantQuotas told;
    private boolean byGuarantee;
    private int total = Integer.MAX_VALUE;
    private double rate = 1;
    private int running;
    private int waiting;
    private double virtual;
    private double virtualAtMs = Double.NaN;
    private double lentTime;
    private double readMs = Double.NaN;
    private long numbers;
    private long sweepFrom;

    /** A scheduler that was told nothing yet. */
    public TenantScheduler(SchedulerLimits limits) {
        this.limits = limits;
    }

    /** What may be held from now on; a lower epoch than was told before is passed over. */
    public SchedulingResult applyQuotas(double nowMs, TenantQuotas a) {
        if (told != null && a.epoch() < told.epoch()) {
            return SchedulingResult.NONE;
        }
        advance(nowMs);
        told = a;
        byGuarantee = !(nowMs < a.untilMs());
        allowances(nowMs);
        return turn(nowMs);
    }

    /**
     * A flow has come.
     *
     * @param tenant its tenant; null if none
     * @param deadlineMs when its answer must be there
     * @param expectedMs how long it will hold a connection; 0 or less if unknown: what its tenant's do on average
     * @throws IllegalArgumentException if there is such a flow already
     */
    public AdmissionDecision onRequest(double nowMs, long flow, String tenant, double deadlineMs, double expectedMs) {
        advance(nowMs);
        Tenant t = tenant(tenant == null ? "" : tenant, nowMs);
        double expected = expectedMs > 0 ? expectedMs : Double.isNaN(t.meanMs) ? UNKNOWN_MS : t.meanMs;
        Call c = new Call(flow, t, expected, deadlineMs - expected);
        if (calls.putIfAbsent(flow, c) != null) {
            throw new IllegalArgumentException("flow " + flow + " was opened before");
        }
        t.flows(nowMs);
        Share s = t.share;
        // Guards against a call that overtakes those that waited before it: a place is free for it only if no share
        // that holds less than it may has one waiting.
        if (told == null
                || running < total
                        && under.isEmpty()
                        && t.waiting == 0
                        && fits(t, nowMs)
                        && (mayClaim(s, nowMs) || over.isEmpty() && mayBorrow(s, nowMs))) {
            begin(c, nowMs);
            place(s, nowMs);
            return AdmissionDecision.GO;
        }
        double waitMs = waitMs(t, nowMs);
        double room = c.latestMs - nowMs;
        if (waiting >= limits.mostWaiting() || !(waitMs <= room)) {
            calls.remove(flow);
            t.refused++;
            return new AdmissionDecision(AdmissionVerdict.REJECT, retryMs(waitMs - Math.max(0, room), expected));
        }
        t.line.add(c);
        t.waiting++;
        waiting++;
        latest.add(c);
        queue(t, nowMs);
        place(s, nowMs);
        return AdmissionDecision.WAIT;
    }

    /** A flow has its answer, or is given up, whether it runs or waits; unknown ones are passed over. */
    public SchedulingResult onRequestEnded(double nowMs, long flow) {
        Call c = calls.remove(flow);
        if (c == null) {
            return SchedulingResult.NONE;
        }
        advance(nowMs);
        if (c.running()) {
            end(c, nowMs);
        } else {
            drop(c, nowMs);
        }
        return turn(nowMs);
    }

    /** A flow that waits is gone; the same as {@link #onRequestEnded}. */
    public SchedulingResult onClientDisconnected(double nowMs, long flow) {
        return onRequestEnded(nowMs, flow);
    }

    /** The time of {@link #nextTimerMs} has come. */
    public SchedulingResult onTimer(double nowMs) {
        advance(nowMs);
        if (told != null && !byGuarantee && !(nowMs < told.untilMs())) {
            byGuarantee = true;
            allowances(nowMs);
        }
        return turn(nowMs);
    }

    /** When {@link #onTimer} is to be called; infinite if not by time. */
    public double nextTimerMs() {
        double at = told == null || byGuarantee ? Double.POSITIVE_INFINITY : told.untilMs();
        if (!latest.isEmpty()) {
            at = Math.min(at, latest.peek().latestMs);
        }
        if (!later.isEmpty() && running < total && rate > 0) {
            at = Math.min(at, virtualAtMs + Math.max(1, (later.first().refillKey - virtual) / rate));
        }
        return at;
    }

    /** Flows that run. */
    public int running() {
        return running;
    }

    /** Flows that wait. */
    public int waiting() {
        return waiting;
    }

    /** Flows that may run at once; {@link Integer#MAX_VALUE} until allowances were told. */
    public int total() {
        return total;
    }

    /** Tenants that are remembered at this moment. */
    public int tenants() {
        return tenants.size();
    }

    /**
     * Flows to give up so that no more run than may: for a node that is cut off and whose calls outlast its lease by
     * more than the fleet waits. The oldest of those who are furthest over their allowance.
     */
    public List<Long> overstaying(double nowMs) {
        onTimer(nowMs);
        if (running <= total) {
            return List.of();
        }
        List<Call> all = new ArrayList<>();
        calls.values().stream().filter(Call::running).forEach(all::add);
        all.sort(Comparator.<Call>comparingDouble(c -> -(c.tenant.share.running / c.tenant.share.owed()))
                .thenComparingDouble(c -> c.beganMs));
        return all.stream().limit(running - total).map(c -> c.flow).toList();
    }

    /** What each tenant wanted and used since the last reading; forgets those that are idle. */
    public List<TenantUse> takeUse(double nowMs) {
        advance(nowMs);
        double over = nowMs - readMs;
        readMs = nowMs;
        List<TenantUse> found = new ArrayList<>(tenants.size());
        Iterator<Tenant> each = tenants.values().iterator();
        while (each.hasNext()) {
            Tenant t = each.next();
            t.flows(nowMs);
            double hold = t.holdMs(nowMs);
            boolean measured = over > 0;
            double used = measured ? t.usedArea / over : t.running;
            double waited = measured ? t.waitedArea / over : t.waiting;
            double refused = measured ? t.refused / over : 0;
            if (used > 0 || waited > 0 || t.refused > 0) {
                found.add(new TenantUse(
                        t.name,
                        used + waited + refused * hold,
                        used,
                        t.running,
                        refused * 1000,
                        hold,
                        t.share.allowance,
                        creditMs(t.share, nowMs)));
            }
            boolean forgotten = idle(t);
            t.usedArea = 0;
            t.waitedArea = 0;
            t.refused = 0;
            if (forgotten) {
                each.remove();
            }
        }
        return found;
    }

    private boolean idle(Tenant t) {
        return t.running == 0
                && t.waiting == 0
                && (t.share == rest ? t.tag <= rest.inner : t.share.tag <= virtual - limits.burstMs());
    }

    private double creditMs(Share s, double nowMs) {
        return Math.max(0, Math.min(limits.burstMs(), virtual - s.charged(nowMs)));
    }

    private void advance(double nowMs) {
        if (Double.isNaN(virtualAtMs)) {
            virtualAtMs = nowMs;
            readMs = nowMs;
        }
        virtual += Math.max(0, nowMs - virtualAtMs) * rate;
        virtualAtMs = Math.max(virtualAtMs, nowMs);
    }

    private Tenant tenant(String name, double nowMs) {
        Tenant t = tenants.get(name);
        if (t == null) {
            if (tenants.size() >= limits.mostTenants() && numbers >= sweepFrom) {
                // Guards the loop against callers of ever new names: a look at all of them only now and then.
                sweepFrom = numbers + Math.max(1, limits.mostTenants() / 8);
                tenants.values().removeIf(old -> idle(old) && old.refused == 0 && old.usedArea == 0);
            }
            // Guards against memory without bound: names beyond the limit count as calls without a tenant.
            numbers++;
            String as = tenants.size() >= limits.mostTenants() ? "" : name;
            t = tenants.get(as);
            if (t == null) {
                t = new Tenant(as, numbers, nowMs);
                join(t, as);
                tenants.put(as, t);
            }
        }
        return t;
    }

    private void join(Tenant t, String name) {
        Double named = told == null ? null : (byGuarantee ? told.guaranteed() : told.tenants()).get(name);
        if (named == null || name.isEmpty()) {
            t.share = rest;
            t.tag = rest.inner;
            return;
        }
        t.share = new Share(++numbers);
        t.share.allowance = named;
        t.share.weight = told.weights().getOrDefault(name, 1.0);
        t.share.tag = virtual - limits.burstMs();
        t.share.lentTag = lentTime;
        t.tag = 0;
    }

    /** New allowances for all that have calls. */
    private void allowances(double nowMs) {
        Map<String, Double> named = byGuarantee ? told.guaranteed() : told.tenants();
        double others = byGuarantee ? named.getOrDefault("", 0.0) : told.others() + named.getOrDefault("", 0.0);
        double sum = others;
        for (Map.Entry<String, Double> e : named.entrySet()) {
            sum += e.getKey().isEmpty() ? 0 : Math.max(0, e.getValue());
        }
        total = (int) Math.min(Integer.MAX_VALUE - 1.0, Math.floor(sum + ROUNDING));
        rate = sum > 0 ? Math.min(1, total / sum) : 0;
        rest.allowance = others;
        rest.weight = told.weights().getOrDefault("", 1.0);
        for (Tenant t : tenants.values()) {
            Double now = t.name.isEmpty() ? null : named.get(t.name);
            if (t.share == rest ? now != null : now == null) {
                move(t, nowMs);
            }
            if (t.share != rest) {
                t.share.allowance = Math.max(0, now);
                t.share.weight = told.weights().getOrDefault(t.name, 1.0);
                place(t.share, nowMs);
            }
        }
        place(rest, nowMs);
    }

    /** From its own share to that of all others, or back, with what it runs and what waits. */
    private void move(Tenant t, double nowMs) {
        Share from = t.share;
        unqueue(t);
        double expected = 0;
        if (t.running > 0) {
            expected = from == rest ? t.running * Math.min(t.holdMs(nowMs), UNKNOWN_MS) : from.sumExpected;
            from.running -= t.running;
            from.sumBegan -= t.sumBegan;
            from.sumExpected = Math.max(0, from.sumExpected - expected);
        }
        place(from, nowMs);
        join(t, t.name);
        t.share.running += t.running;
        t.share.sumBegan += t.sumBegan;
        t.share.sumExpected += expected;
        queue(t, nowMs);
    }

    /** Whether it holds less than its allowance lets it. */
    private boolean mayClaim(Share s, double nowMs) {
        double most = most(s, nowMs);
        return s.running + 1 <= most + ROUNDING || s.running < most && s.charged(nowMs) <= virtual + ROUNDING;
    }

    /** Its allowance, with what its burst credit adds. */
    private double most(Share s, double nowMs) {
        return limits.burstMs() == 0 ? s.allowance : s.allowance * (1 + creditMs(s, nowMs) / limits.burstMs());
    }

    private boolean mayBorrow(Share s, double nowMs) {
        return s.holdMs(nowMs) <= limits.returnMs();
    }

    /** Guards against an unnamed tenant of long calls that takes all that is for others. */
    private boolean fits(Tenant t, double nowMs) {
        return t.share != rest
                || t.running == 0
                || t.holdMs(nowMs) <= limits.returnMs()
                || t.running + 1 <= rest.allowance / Math.max(2, rest.queue.size() + 1);
    }

    private double waitMs(Tenant t, double nowMs) {
        if (total == 0) {
            return Double.POSITIVE_INFINITY;
        }
        Share s = t.share;
        double served = Math.min(total, Math.max(s.allowance, s.running));
        if (s == rest) {
            served /= rest.queue.size() + (t.queued ? 0 : 1);
        }
        return (t.waiting + 1) * t.holdMs(nowMs) / Math.max(LEAST_RATE, served);
    }

    private double retryMs(double lateMs, double expectedMs) {
        double ms = total == 0 ? limits.returnMs() : Math.max(lateMs, expectedMs);
        return Math.min(LONGEST_RETRY_MS, Math.max(1, ms));
    }

    private void queue(Tenant t, double nowMs) {
        if (!t.queued && t.waiting > 0 && fits(t, nowMs)) {
            t.queued = true;
            t.share.queue.add(t);
        }
    }

    private void unqueue(Tenant t) {
        if (t.queued) {
            t.share.queue.remove(t);
            t.queued = false;
        }
    }

    /** Puts a share where it belongs, after each change to it. */
    private void place(Share s, double nowMs) {
        if (s.in != null) {
            s.in.remove(s);
            s.in = null;
        }
        if (s.refills) {
            later.remove(s);
            s.refills = false;
        }
        if (s.queue.isEmpty()) {
            return;
        }
        if (mayClaim(s, nowMs)) {
            s.key = s.charged(nowMs);
            s.in = under;
            under.add(s);
            return;
        }
        if (mayBorrow(s, nowMs)) {
            s.key = s.lentTag;
            s.in = over;
            over.add(s);
        }
        if (s.running < s.allowance) {
            s.refillKey = s.charged(nowMs);
            s.refills = true;
            later.add(s);
        }
    }

    private void begin(Call c, double nowMs) {
        Tenant t = c.tenant;
        Share s = t.share;
        c.beganMs = nowMs;
        running++;
        t.running++;
        t.sumBegan += nowMs;
        t.tag = Math.max(t.tag, s.inner);
        s.inner = t.tag;
        t.tag += c.expectedMs / weight(t);
        s.running++;
        s.sumBegan += nowMs;
        s.sumExpected += c.expectedMs;
        s.tag = Math.max(s.tag, virtual - limits.burstMs()) + c.expectedMs / s.owed();
        double start = Math.max(s.lentTag, lentTime);
        if (s.in == over) {
            lentTime = start;
        }
        s.lentTag = start + c.expectedMs / Math.max(s.weight, ROUNDING);
    }

    private double weight(Tenant t) {
        return t.share == rest && told != null
                ? Math.max(ROUNDING, told.weights().getOrDefault(t.name, 1.0))
                : 1;
    }

    private void end(Call c, double nowMs) {
        Tenant t = c.tenant;
        Share s = t.share;
        double took = nowMs - c.beganMs;
        double more = took - c.expectedMs;
        t.flows(nowMs);
        unqueue(t);
        running--;
        t.running--;
        t.sumBegan = t.running == 0 ? 0 : t.sumBegan - c.beganMs;
        t.meanMs = Double.isNaN(t.meanMs) ? took : t.meanMs + NEWEST * (took - t.meanMs);
        t.tag += more / weight(t);
        s.running--;
        s.sumBegan = s.running == 0 ? 0 : s.sumBegan - c.beganMs;
        s.sumExpected = s.running == 0 ? 0 : Math.max(0, s.sumExpected - c.expectedMs);
        s.meanMs += NEWEST * (took - s.meanMs);
        // Guards against a debt that a tenant with a small allowance would pay off for ever.
        s.tag = Math.min(s.tag + more / s.owed(), virtual + limits.burstMs() + 2 * s.meanMs / s.owed());
        s.lentTag += more / Math.max(s.weight, ROUNDING);
        queue(t, nowMs);
        place(s, nowMs);
    }

    /** A flow that waited does so no longer; its place in the line is passed over when it comes to the front. */
    private void drop(Call c, double nowMs) {
        Tenant t = c.tenant;
        t.flows(nowMs);
        c.gone = true;
        t.waiting--;
        waiting--;
        if (t.waiting == 0) {
            t.line.clear();
            unqueue(t);
        }
        // Guards against lines of flows that are gone.
        if (t.line.size() > 2 * t.waiting + 16) {
            t.line.removeIf(old -> old.gone);
        }
        if (latest.size() > 2 * waiting + 64) {
            latest.removeIf(old -> old.gone || old.running());
        }
        place(t.share, nowMs);
    }

    private SchedulingResult turn(double nowMs) {
        List<SchedulingResult.Rejection> refused = null;
        while (!latest.isEmpty()
                && (latest.peek().gone || latest.peek().running() || latest.peek().latestMs <= nowMs)) {
            Call c = latest.poll();
            if (!c.gone && !c.running()) {
                calls.remove(c.flow);
                drop(c, nowMs);
                c.tenant.refused++;
                refused = refused == null ? new ArrayList<>() : refused;
                refused.add(new SchedulingResult.Rejection(c.flow, retryMs(waitMs(c.tenant, nowMs), c.expectedMs)));
            }
        }
        while (!later.isEmpty() && later.first().refillKey <= virtual + ROUNDING) {
            Share s = later.first();
            place(s, nowMs);
            if (s.refills && s.refillKey <= virtual + ROUNDING) {
                later.remove(s);
                s.refills = false;
            }
        }
        List<Long> begin = null;
        while (running < total) {
            Share s = next(nowMs);
            if (s == null) {
                break;
            }
            Call c = first(s, nowMs);
            begin = begin == null ? new ArrayList<>() : begin;
            begin.add(c.flow);
        }
        return begin == null && refused == null
                ? SchedulingResult.NONE
                : new SchedulingResult(begin == null ? List.of() : begin, refused == null ? List.of() : refused);
    }

    private Share next(double nowMs) {
        while (!under.isEmpty()) {
            Share s = under.first();
            if (mayClaim(s, nowMs)) {
                return s;
            }
            place(s, nowMs);
        }
        while (!over.isEmpty()) {
            Share s = over.first();
            if (mayBorrow(s, nowMs)) {
                return s;
            }
            over.remove(s);
            s.in = null;
        }
        return null;
    }

    private Call first(Share s, double nowMs) {
        Tenant t = s.queue.first();
        t.flows(nowMs);
        unqueue(t);
        Call c = t.line.poll();
        while (c.gone) {
            c = t.line.poll();
        }
        t.waiting--;
        waiting--;
        begin(c, nowMs);
        queue(t, nowMs);
        place(s, nowMs);
        return c;
    }
}
