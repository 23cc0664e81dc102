package brackenbridge.lab.soak;

import brackenbridge.lab.rules.RuleChecker.Breach;
import brackenbridge.lab.rules.RuleChecker.Rule;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What came of a play.
 *
 * @param plan the play
 * @param requests requests that clients wrote whole
 * @param served with a server's answer
 * @param refused with 429 or 503
 * @param failed in any other way
 * @param resent written once more, as their connection had ended before the node read them
 * @param untaken requests that no connection took in time
 * @param connections connections that clients made
 * @param signals signals and calls to the node's processes
 * @param starts processes that were started
 * @param kills processes that had to be killed
 * @param peakDescriptors the most descriptors of all processes at once
 * @param peakMemoryMb the most memory of all processes at once
 * @param countsChecked whether the node's own counts were held against the clients'
 * @param broken how often each rule was broken that was
 * @param breaches the first of these
 */
public record SoakOutcome(
        SoakPlan plan,
        long requests,
        long served,
        long refused,
        long failed,
        long resent,
        long untaken,
        long connections,
        int signals,
        int starts,
        int kills,
        long peakDescriptors,
        double peakMemoryMb,
        boolean countsChecked,
        Map<Rule, Long> broken,
        List<Breach> breaches) {
    /** One line. */
    public String text() {
        return String.format(
                Locale.ROOT,
                "seed %d %-12s %5d requests: %d served, %d refused, %d failed, %d sent again, %d not taken;"
                        + " %d signals, %d starts, %d kills; %d of %d descriptors, %.0f MB; counts %s; %s",
                plan.seed(),
                plan.kind(),
                requests,
                served,
                refused,
                failed,
                resent,
                untaken,
                signals,
                starts,
                kills,
                peakDescriptors,
                plan.descriptors(),
                peakMemoryMb,
                countsChecked ? "checked" : "not checked",
                broken.isEmpty() ? "no rule broken" : "BROKEN " + broken);
    }
}
