package brackenbridge.lab.fleet.check;

import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * What was acknowledged is there at the end, at every member, the same at all, and nothing that nobody wrote: own
 * records of their owner's present life with the last number that was taken (or a later one that was tried), sums
 * between what was taken and what was tried, and the last agreed value or a later one. Held against the lines
 * {@code final}.
 *
 * @param firmMs how long before its owner's end an addition must have been taken to be owed, in milliseconds
 */
public record NeverLost(double firmMs) implements Promise {
    @Override
    public Finding check(List<Entry> log) {
        Troubles troubles = new Troubles(log);
        List<Entry> finals = log.stream().filter(e -> e.what().equals("final")).toList();
        List<Breach> breaches = new ArrayList<>();
        double owed = own(log, troubles, finals, breaches)
                + counted(log, troubles, finals, breaches)
                + agreed(log, finals, breaches);
        for (String m : Records.members(log)) {
            if (finals.stream().noneMatch(f -> f.who().equals(m))) {
                breaches.add(new Breach(Records.end(log), m + " did not say what it holds at the end"));
            }
        }
        return new Finding(breaches, Map.of("lost", (double) breaches.size(), "owed", owed));
    }

    private double own(List<Entry> log, Troubles troubles, List<Entry> finals, List<Breach> breaches) {
        Map<Records.Id, Records.Wrote> last = new HashMap<>();
        for (Records.Wrote w : new Records(log).wrote()) {
            // Own records belong to their owner's life: a later one writes its own.
            if (troubles.all().stream().noneMatch(t -> t.ends() && t.a().equals(w.id().owner()) && t.to() >= w.t())) {
                last.merge(w.id(), w, (a, b) -> a.n() > b.n() ? a : b);
            }
        }
        Map<Records.Id, Set<Long>> tried = new HashMap<>();
        Map<Records.Id, Long> removals = new HashMap<>();
        for (Entry e : log) {
            if (e.what().equals("tries")) {
                Records.Id id = new Records.Id(e.text("member"), e.text("key"));
                if (e.is("gone")) {
                    removals.merge(id, e.whole("n"), Math::max);
                } else {
                    tried.computeIfAbsent(id, i -> new HashSet<>()).add(e.whole("n"));
                }
            }
        }
        for (Entry f : finals) {
            Map<Records.Id, Long> have = Records.have(f);
            last.forEach((id, w) -> {
                Long n = have.get(id);
                boolean mayBeGone = removals.getOrDefault(id, 0L) >= w.n();
                if (n == null ? !mayBeGone : n < w.n()) {
                    breaches.add(new Breach(
                            f.t(),
                            String.format(
                                    Locale.ROOT,
                                    "%s holds number %s of %s/%s at the end, " + "%s was taken at %.0f ms",
                                    f.who(),
                                    n,
                                    id.owner(),
                                    id.key(),
                                    w.gone() ? "its removal" : w.n(),
                                    w.t())));
                }
            });
            have.forEach((id, n) -> {
                if (!tried.getOrDefault(id, Set.of()).contains(n)) {
                    breaches.add(new Breach(
                            f.t(),
                            String.format(
                                    Locale.ROOT,
                                    "%s holds number %d of %s/%s, which nobody wrote",
                                    f.who(),
                                    n,
                                    id.owner(),
                                    id.key())));
                }
            });
        }
        for (Entry f : finals) {
            Map<Records.Id, Long> one = Records.have(finals.get(0));
            Map<Records.Id, Long> other = Records.have(f);
            if (!one.equals(other)) {
                one.entrySet().stream()
                        .filter(e -> !e.getValue().equals(other.get(e.getKey())))
                        .findFirst()
                        .or(() -> other.entrySet().stream()
                                .filter(e -> !one.containsKey(e.getKey()))
                                .findFirst())
                        .ifPresent(e -> breaches.add(new Breach(
                                f.t(),
                                String.format(
                                        Locale.ROOT,
                                        "%s and %s differ at the end: %s/%s is %s and %s",
                                        finals.get(0).who(),
                                        f.who(),
                                        e.getKey().owner(),
                                        e.getKey().key(),
                                        one.get(e.getKey()),
                                        other.get(e.getKey())))));
            }
        }
        return last.size();
    }

    private double counted(List<Entry> log, Troubles troubles, List<Entry> finals, List<Breach> breaches) {
        Map<String, Long> least = new HashMap<>();
        Map<String, Long> most = new HashMap<>();
        for (Entry e : log) {
            if (e.what().equals("tries_add")) {
                most.merge(e.text("key"), e.whole("by"), Long::sum);
            } else if (e.what().equals("added") && Firm.is(e.who(), e.t(), firmMs, troubles)) {
                least.merge(e.text("key"), e.whole("by"), Long::sum);
            }
        }
        for (Entry f : finals) {
            for (Map.Entry<String, Long> m : most.entrySet()) {
                JsonObject sums = f.more().get("sums") == null
                        ? new JsonObject()
                        : f.more().get("sums").asObject();
                long sum = sums.getLong(m.getKey(), 0);
                long low = least.getOrDefault(m.getKey(), 0L);
                if (sum < low || sum > m.getValue()) {
                    breaches.add(new Breach(
                            f.t(),
                            String.format(
                                    Locale.ROOT,
                                    "%s has the sum %d of %s at the end: %d was taken and %d was tried",
                                    f.who(),
                                    sum,
                                    m.getKey(),
                                    low,
                                    m.getValue())));
                }
            }
        }
        return least.size();
    }

    /** The generation of a proposal is known by its content, which no other has. */
    private static double agreed(List<Entry> log, List<Entry> finals, List<Breach> breaches) {
        Map<String, Long> generations = new HashMap<>();
        for (Entry e : log) {
            if (e.what().equals("acts")) {
                for (int i = 0; i < e.more().get("generations").asArray().size(); i++) {
                    generations.put(
                            e.text("name") + "/"
                                    + e.more().get("contents").asArray().get(i).asString(),
                            e.more().get("generations").asArray().get(i).asLong());
                }
            } else if (e.what().equals("final") && e.more().get("known") != null) {
                for (JsonObject.Member m : e.more().get("known").asObject()) {
                    JsonObject v = m.getValue().asObject();
                    generations.put(m.getName() + "/" + v.getString("content", ""), v.getLong("generation", 0));
                }
            }
        }
        double owed = 0;
        for (Entry e : log) {
            if (!e.what().equals("proposed") || !e.text("verdict").equals("in_force")) {
                continue;
            }
            owed++;
            Long generation = generations.get(e.text("name") + "/" + e.text("content"));
            if (generation == null) {
                breaches.add(new Breach(
                        e.t(),
                        "nobody ever held " + e.text("name") + " '" + e.text("content")
                                + "', which was in force by the answer to " + e.who()));
                continue;
            }
            for (Entry f : finals) {
                JsonObject known = f.more().get("known") == null
                        ? new JsonObject()
                        : f.more().get("known").asObject();
                long holds = known.get(e.text("name")) == null
                        ? 0
                        : known.get(e.text("name")).asObject().getLong("generation", 0);
                if (holds < generation) {
                    breaches.add(new Breach(
                            f.t(),
                            String.format(
                                    Locale.ROOT,
                                    "%s knows generation %d of %s at the end, %d was in force at %.0f ms",
                                    f.who(),
                                    holds,
                                    e.text("name"),
                                    generation,
                                    e.t())));
                }
            }
        }
        return owed;
    }
}
