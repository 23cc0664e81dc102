package brackenbridge.lab.fleet.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A role has one holder at any moment: each has a token of its own, and once one was seen to hold it by a token nobody
 * holds it by a lesser one. Lines {@code holds}, with {@code from} and {@code until} as {@link NoContradiction} has.
 */
public record OneHolder() implements Promise {
    @Override
    public Finding check(List<Entry> log) {
        List<Breach> breaches = new ArrayList<>();
        Map<String, String> owners = new HashMap<>();
        List<Entry> holds = log.stream().filter(e -> e.what().equals("holds")).toList();
        for (Entry e : holds) {
            String token = e.text("role") + "/" + e.whole("token");
            String other = owners.putIfAbsent(token, e.who());
            if (other != null && !other.equals(e.who())) {
                breaches.add(new Breach(
                        e.t(),
                        e.who() + " and " + other + " hold " + e.text("role") + " by one token, " + e.whole("token")));
            }
        }
        for (Entry e : holds) {
            for (Entry later : holds) {
                if (later.text("role").equals(e.text("role"))
                        && later.whole("token") > e.whole("token")
                        && e.number("until") > later.number("from")) {
                    breaches.add(new Breach(
                            e.number("until"),
                            String.format(
                                    Locale.ROOT,
                                    "%s holds %s by token %d at %.1f ms, %s by %d at %.1f ms",
                                    e.who(),
                                    e.text("role"),
                                    e.whole("token"),
                                    e.number("until"),
                                    later.who(),
                                    later.whole("token"),
                                    later.number("from"))));
                    break;
                }
            }
        }
        return new Finding(breaches, Map.of("holders", (double) owners.size()));
    }
}
