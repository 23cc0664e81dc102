package brackenbridge.lab.fleet.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A member that returns, from its end or from standing still, is level within a time, counted from its return or the
 * end of the last trouble with its links; and it says so only once it holds what the others had before.
 *
 * @param boundMs the time, in milliseconds
 * @param firmMs how long before it went away a write must have been taken to be owed, in milliseconds
 */
public record LevelAfter(double boundMs, double firmMs) implements Promise {
    @Override
    public Finding check(List<Entry> log) {
        Records records = new Records(log);
        Troubles troubles = new Troubles(log);
        double end = Records.end(log);
        List<Breach> breaches = new ArrayList<>();
        double longest = 0;
        double returns = 0;
        double level = 0;
        for (Troubles.Trouble away : troubles.all()) {
            if (!away.ofMember()) {
                continue;
            }
            if (Double.isInfinite(away.to())) {
                breaches.add(new Breach(end, away.a() + " never came back from " + away.kind()));
                continue;
            }
            String who = away.a();
            double back = away.to();
            List<Troubles.Trouble> way = troubles.like(t -> t != away && t.to() > back && t.concerns(who));
            double due = Troubles.due(back, boundMs, way);
            if (way.stream().anyMatch(t -> t.ofMember() && t.from() < due) || due > end) {
                // Struck again before it had the time, or the play was over.
                continue;
            }
            returns++;
            double at = levelAt(log, who, back);
            if (at > due) {
                breaches.add(new Breach(
                        due,
                        String.format(
                                Locale.ROOT,
                                "%s is not level by %.0f ms after it returned at %.0f ms",
                                who,
                                due,
                                back)));
                continue;
            }
            Records.Wrote missing = missing(log, records, troubles, who, away, at);
            if (missing != null) {
                breaches.add(new Breach(
                        at,
                        String.format(
                                Locale.ROOT,
                                "%s says level at %.0f ms and lacks %s/%s number %d of %.0f ms",
                                who,
                                at,
                                missing.id().owner(),
                                missing.id().key(),
                                missing.n(),
                                missing.t())));
                continue;
            }
            level++;
            longest = Math.max(longest, Troubles.took(back, at, way));
        }
        return new Finding(breaches, Map.of("returns", returns, "level", level, "longest_ms", longest));
    }

    private static double levelAt(List<Entry> log, String who, double fromMs) {
        return log.stream()
                .filter(e -> e.t() >= fromMs && e.who().equals(who) && e.what().equals("level") && e.is("level"))
                .mapToDouble(Entry::t)
                .findFirst()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /** A write that it should hold: of an owner that was not in trouble with it, well before it went away. */
    private Records.Wrote missing(
            List<Entry> log, Records records, Troubles troubles, String who, Troubles.Trouble away, double at) {
        if (!away.ends()) {
            // It may say level for a moment after it stood still: it has not heard yet that time has passed.
            return null;
        }
        Entry said = log.stream()
                .filter(e -> e.t() == at && e.who().equals(who) && e.what().equals("level"))
                .findFirst()
                .orElseThrow();
        Map<Records.Id, Long> have = Records.have(said);
        for (Records.Wrote w : records.wrote()) {
            String owner = w.id().owner();
            if (owner.equals(who)
                    || w.gone()
                    || w.t() > away.from() - firmMs
                    || troubles.all().stream().anyMatch(t -> t != away && t.between(owner, who) && t.at(w.t(), at))) {
                continue;
            }
            boolean removedLater = records.wrote().stream()
                    .anyMatch(x -> x.gone() && x.id().equals(w.id()) && x.n() > w.n() && x.t() < at + boundMs);
            if (!removedLater && have.getOrDefault(w.id(), 0L) < w.n()) {
                return w;
            }
        }
        return null;
    }
}
