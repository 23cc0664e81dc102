package brackenbridge.lab.fleet.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Each write is held by every other member within a time, counted from the end of what was in its way: trouble with one
 * of the two members or with the links between them. Own records belong to their owner's life: once that has ended
 * within the time they are owed no more.
 *
 * @param boundMs the time, in milliseconds
 */
public record Converges(double boundMs) implements Promise {
    @Override
    public Finding check(List<Entry> log) {
        Records records = new Records(log);
        Troubles troubles = new Troubles(log);
        List<String> members = Records.members(log);
        double end = Records.end(log);
        List<Breach> breaches = new ArrayList<>();
        List<Double> all = new ArrayList<>();
        double longest = 0;
        for (String reader : members) {
            Map<String, List<Troubles.Trouble>> between = new HashMap<>();
            for (Records.Wrote w : records.wrote()) {
                String owner = w.id().owner();
                if (owner.equals(reader)) {
                    continue;
                }
                List<Troubles.Trouble> way =
                        between.computeIfAbsent(owner, o -> troubles.like(t -> t.between(o, reader)));
                double due = Troubles.due(w.t(), boundMs, way);
                double at = records.seenAt(reader, w);
                if (at > due && way.stream().anyMatch(t -> t.ends() && t.a().equals(owner) && t.at(w.t(), due))) {
                    // Own records belong to their owner's life.
                    continue;
                }
                if (at > due && due <= end) {
                    breaches.add(new Breach(
                            due,
                            String.format(
                                    java.util.Locale.ROOT,
                                    "%s does not hold %s/%s number %d of %.0f ms by %.0f ms",
                                    reader,
                                    owner,
                                    w.id().key(),
                                    w.n(),
                                    w.t(),
                                    due)));
                    longest = Math.max(longest, Troubles.took(w.t(), Math.min(at, end), way));
                } else if (at <= end) {
                    double took = Troubles.took(w.t(), at, way);
                    all.add(took);
                    longest = Math.max(longest, took);
                }
            }
        }
        all.sort(null);
        return new Finding(
                breaches,
                Map.of(
                        "longest_ms",
                        longest,
                        "bound_ms",
                        boundMs,
                        "compared",
                        (double) all.size(),
                        "p50_ms",
                        quantile(all, 0.5),
                        "p99_ms",
                        quantile(all, 0.99)));
    }

    private static double quantile(List<Double> sorted, double q) {
        return sorted.isEmpty() ? 0 : sorted.get((int) Math.min(sorted.size() - 1L, (long) (q * sorted.size())));
    }
}
