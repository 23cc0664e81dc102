package brackenbridge.lab.stats;

import brackenbridge.lab.world.World;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * Counts what became of first tries, by class, by tenant and by the second in which they were due. Latency runs from
 * the moment at which a request was due to the last byte of its last answer, whatever held it up in between.
 */
public final class Scoreboard {
    private static final long LONGEST_US = 600_000_000L;

    /** What became of a first try, with all its repeats. */
    public enum End {
        /** Served within its aim. */
        IN_AIM,
        /** Served after its aim, within its deadline. */
        LATE,
        /** Refused in the end. */
        REFUSED,
        /** Failed in the end. */
        FAILED,
        /** No answer by its deadline. */
        UNANSWERED,
        /** Its client went away by itself. */
        GONE
    }

    /** Sums of worth and counts of ends. */
    private static final class Tally {
        double worth;
        double served;
        final long[] ends = new long[End.values().length];

        JsonObject json() {
            JsonObject o = Json.object().add("worth", round(worth)).add("served", round(served));
            JsonObject e = Json.object();
            for (End end : End.values()) {
                e.add(end.name().toLowerCase(Locale.ROOT), ends[end.ordinal()]);
            }
            return o.add("ends", e);
        }
    }

    private final World world;
    private final Tally all = new Tally();
    private final Tally[] byClass;
    private final Tally[] byTenant;
    private final Tally[] bySecond;
    private final Histogram latency = new Histogram(LONGEST_US, 3);
    private final Histogram[] latencyBySecond;
    private final List<double[]> spread = new ArrayList<>();
    private long first;
    private long tries;
    private long due;
    private long crossings;

    /** Counts for this world. */
    public Scoreboard(World world) {
        this.world = world;
        byClass = tallies(world.classes().size());
        byTenant = tallies(world.tenants().size());
        int seconds = (int) Math.ceil(world.seconds());
        bySecond = tallies(seconds);
        latencyBySecond = new Histogram[seconds];
    }

    private static Tally[] tallies(int n) {
        Tally[] t = new Tally[n];
        for (int i = 0; i < n; i++) {
            t[i] = new Tally();
        }
        return t;
    }

    /**
     * A first try has ended.
     *
     * @param dueMs when it was due, from the start of the run
     * @param tookMs how long it took from then
     * @param part the part of its class's worth that it has
     */
    public void ended(int classIndex, int tenant, double dueMs, double tookMs, double part, End end, int triesMade) {
        due++;
        World.ClassSpec c = world.classes().get(classIndex);
        double worth = c.worth() * part;
        double got = end == End.IN_AIM ? worth : end == End.LATE ? worth * c.lateShare() : 0;
        int second = Math.min(bySecond.length - 1, (int) (dueMs / 1000));
        add(bySecond[second], worth, got, end);
        if (end == End.IN_AIM || end == End.LATE) {
            long us = Math.max(1, Math.min(LONGEST_US, Math.round(tookMs * 1000)));
            if (latencyBySecond[second] == null) {
                latencyBySecond[second] = new Histogram(LONGEST_US, 2);
            }
            latencyBySecond[second].recordValue(us);
            if (dueMs >= world.warmupS() * 1000) {
                latency.recordValue(us);
            }
        }
        if (dueMs < world.warmupS() * 1000) {
            return;
        }
        first++;
        tries += triesMade;
        add(all, worth, got, end);
        add(byClass[classIndex], worth, got, end);
        if (tenant >= 0) {
            add(byTenant[tenant], worth, got, end);
        }
    }

    private static void add(Tally t, double worth, double got, End end) {
        t.worth += worth;
        t.served += got;
        t.ends[end.ordinal()]++;
    }

    /** A request has come to a server, from a node of another zone or of its own. */
    public void sent(boolean fromOtherZone) {
        crossings += fromOtherZone ? 1 : 0;
    }

    /** Requests at all tiers that changed zones on their way, for each first try; the warm-up counts in both. */
    public double crossedPerFirst() {
        return due > 0 ? crossings / (double) due : 0;
    }

    /** The part of the worth that was served, less the price of changing zones. */
    public double pricedPart() {
        return servedPart() - world.net().crossPrice() * crossedPerFirst();
    }

    /** The servers' load at one moment: the mean, the most, and the standard deviation over the mean. */
    public void load(double mean, double most, double variation) {
        spread.add(new double[] {mean, most, variation});
    }

    /** The part of the worth that was served. */
    public double servedPart() {
        return all.worth > 0 ? all.served / all.worth : 1;
    }

    /** How many first tries ended so. */
    public long count(End end) {
        return all.ends[end.ordinal()];
    }

    /** First tries that ended, after the warm-up. */
    public long first() {
        return first;
    }

    /** Latencies of served requests, in microseconds. */
    public Histogram latency() {
        return latency;
    }

    /** The part of the worth served in the worst ten seconds. */
    public double worstTenSeconds() {
        double worst = 1;
        int from = (int) Math.ceil(world.warmupS());
        for (int i = from; i < bySecond.length; i++) {
            double worth = 0;
            double served = 0;
            for (int j = i; j < Math.min(bySecond.length, i + 10); j++) {
                worth += bySecond[j].worth;
                served += bySecond[j].served;
            }
            if (worth > 0 && (i + 10 <= bySecond.length || i == from)) {
                worst = Math.min(worst, served / worth);
            }
        }
        return worst;
    }

    /** All figures. */
    public JsonObject json() {
        JsonObject o = Json.object()
                .add("served", round(servedPart()))
                .add("worst10s", round(worstTenSeconds()))
                .add("first", first)
                .add("tries", tries)
                .add("crossed", round(crossedPerFirst()))
                .add("priced", round(pricedPart()))
                .add("all", all.json());
        JsonObject ms = Json.object();
        for (double p : new double[] {50, 90, 99, 99.9}) {
            ms.add(
                    "p" + (p == Math.rint(p) ? Long.toString((long) p) : Double.toString(p)),
                    round(latency.getTotalCount() == 0 ? 0 : latency.getValueAtPercentile(p) / 1000.0));
        }
        ms.add("max", round(latency.getTotalCount() == 0 ? 0 : latency.getMaxValue() / 1000.0))
                .add("mean", round(latency.getTotalCount() == 0 ? 0 : latency.getMean() / 1000));
        o.add("latency_ms", ms);
        JsonObject classes = Json.object();
        for (int i = 0; i < byClass.length; i++) {
            classes.add(world.classes().get(i).name(), byClass[i].json());
        }
        JsonObject tenants = Json.object();
        for (int i = 0; i < byTenant.length; i++) {
            tenants.add(world.tenants().get(i).name(), byTenant[i].json());
        }
        o.add("classes", classes).add("tenants", tenants);
        JsonArray worth = new JsonArray();
        JsonArray served = new JsonArray();
        JsonArray p50 = new JsonArray();
        JsonArray p99 = new JsonArray();
        for (int i = 0; i < bySecond.length; i++) {
            worth.add(round(bySecond[i].worth));
            served.add(round(bySecond[i].served));
            p50.add(percentile(latencyBySecond[i], 50));
            p99.add(percentile(latencyBySecond[i], 99));
        }
        JsonArray mean = new JsonArray();
        JsonArray most = new JsonArray();
        JsonArray variation = new JsonArray();
        for (double[] s : spread) {
            mean.add(round(s[0]));
            most.add(round(s[1]));
            variation.add(round(s[2]));
        }
        return o.add(
                "seconds",
                Json.object()
                        .add("worth", worth)
                        .add("served", served)
                        .add("p50_ms", p50)
                        .add("p99_ms", p99)
                        .add("load_mean", mean)
                        .add("load_most", most)
                        .add("load_cv", variation));
    }

    private static double percentile(Histogram h, double p) {
        return h == null ? 0 : round(h.getValueAtPercentile(p) / 1000.0);
    }

    /** Six decimals, so that a figure reads the same wherever it is printed. */
    public static double round(double x) {
        return Math.rint(x * 1e6) / 1e6;
    }
}
