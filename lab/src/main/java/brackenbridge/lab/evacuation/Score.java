package brackenbridge.lab.evacuation;

import brackenbridge.fleet.evacuation.Forecast.Verdict;
import brackenbridge.lab.evacuation.Evacuations.PoolResult;
import brackenbridge.lab.evacuation.Evacuations.Result;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * How well it was foretold.
 *
 * @param pools pools that were looked at
 * @param saturated pools that did saturate
 * @param foretold of these, how many were foretold
 * @param falsely pools that were foretold and did not
 * @param unknown pools of which nothing was said
 * @param offPart the mean by which the time was off, as a part of the plan's length
 * @param within how many times were off by a tenth at the most
 * @param timed times that were compared
 */
public record Score(
        int pools, int saturated, int foretold, int falsely, int unknown, double offPart, int within, int timed) {
    /** What is allowed: of saturating pools foretold, of foretold ones false, of the plan's length off. */
    public static final double LEAST_FORETOLD = 0.95;
    /** Of those foretold. */
    public static final double MOST_FALSE = 0.05;
    /** Of the plan's length. */
    public static final double MOST_OFF = 0.1;

    /** Scores a way to foretell: a time for each pool, NaN for none. */
    static Score of(List<PoolResult> all, ToDoubleFunction<PoolResult> foretoldMs) {
        int saturated = 0;
        int foretold = 0;
        int falsely = 0;
        int unknown = 0;
        double off = 0;
        int within = 0;
        int timed = 0;
        for (PoolResult r : all) {
            double said = foretoldMs.applyAsDouble(r);
            boolean truth = !Double.isNaN(r.truthMs());
            saturated += truth ? 1 : 0;
            unknown += r.foretold().verdict() == Verdict.UNKNOWN ? 1 : 0;
            if (!Double.isNaN(said)) {
                foretold += truth ? 1 : 0;
                falsely += truth ? 0 : 1;
                if (truth) {
                    double by = Math.abs(said - r.truthMs()) / r.lengthMs();
                    off += by;
                    within += by <= MOST_OFF ? 1 : 0;
                    timed++;
                }
            }
        }
        return new Score(
                all.size(), saturated, foretold, falsely, unknown, timed == 0 ? 0 : off / timed, within, timed);
    }

    /** The forecast's own word. */
    static double forecast(PoolResult r) {
        return r.foretold().verdict() == Verdict.SATURATES
                ? r.foretold().saturationMs().expected()
                : Double.NaN;
    }

    boolean good() {
        return foretold >= LEAST_FORETOLD * saturated
                && falsely <= MOST_FALSE * (foretold + falsely)
                && offPart <= MOST_OFF;
    }

    String line(String name) {
        return String.format(
                Locale.ROOT,
                "%-22s %5d %9d %9d %7d %8d %9.3f %8d of %d",
                name,
                pools,
                saturated,
                foretold,
                falsely,
                unknown,
                offPart,
                within,
                timed);
    }

    /** How often intervals held: of times, and of loads. */
    static double[] coverage(List<PoolResult> all) {
        double times = 0;
        double timesHeld = 0;
        double loads = 0;
        double loadsHeld = 0;
        for (PoolResult r : all) {
            if (r.foretold().verdict() == Verdict.SATURATES && !Double.isNaN(r.truthMs())) {
                times++;
                timesHeld += r.foretold().saturationMs().contains(r.truthMs()) ? 1 : 0;
            }
            if (r.foretold().verdict() != Verdict.UNKNOWN) {
                for (int i = 0; i < r.loads().size(); i++) {
                    loads++;
                    loadsHeld += r.foretold()
                                    .steps()
                                    .get(i)
                                    .load()
                                    .contains(r.loads().get(i))
                            ? 1
                            : 0;
                }
            }
        }
        return new double[] {times == 0 ? 0 : timesHeld / times, times, loads == 0 ? 0 : loadsHeld / loads, loads};
    }

    /** The last line. */
    static String last(Score s, List<Result> results) {
        long surprised = results.stream().filter(Result::surprised).count();
        long inTime = results.stream().filter(r -> r.surprised() && r.inTime()).count();
        return String.format(
                Locale.ROOT,
                "evacuation: %d of %d saturating pools foretold, %d false, "
                        + "time off by %.3f of %.3f, rehearsals halted in time %d of %d",
                s.foretold,
                s.saturated,
                s.falsely,
                s.offPart,
                MOST_OFF,
                inTime,
                surprised);
    }
}
