package brackenbridge.lab.fleet.check;

import com.eclipsesource.json.JsonValue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * No two members act by values that have no generation in common: once anyone has acted by a generation and none before
 * it, nobody acts by earlier ones alone. And a generation has one content.
 *
 * <p>A line {@code acts} has the moment {@code from} by which the member had begun to act so and {@code until}, a
 * moment at which it was still to ask again and then acted so: what lies between is certain, so no breach is in doubt.
 */
public record NoContradiction() implements Promise {
    private record Least(long generation, double from, String who) {}

    @Override
    public Finding check(List<Entry> log) {
        List<Breach> breaches = new ArrayList<>();
        Map<String, List<Least>> acted = new HashMap<>();
        Map<String, String> contents = new HashMap<>();
        List<Entry> acts = log.stream().filter(e -> e.what().equals("acts")).toList();
        for (Entry e : acts) {
            List<JsonValue> generations = e.more().get("generations").asArray().values();
            for (int i = 0; i < generations.size(); i++) {
                String content = e.more().get("contents").asArray().get(i).asString();
                String known = contents.putIfAbsent(e.text("name") + "/" + generations.get(i), content);
                if (known != null && !known.equals(content)) {
                    breaches.add(new Breach(
                            e.t(),
                            e.who() + " acts by generation " + generations.get(i) + " of " + e.text("name") + " as '"
                                    + content + "', others as '" + known + "'"));
                }
            }
            generations.stream()
                    .mapToLong(JsonValue::asLong)
                    .min()
                    .ifPresent(least -> acted.computeIfAbsent(e.text("name"), n -> new ArrayList<>())
                            .add(new Least(least, e.number("from"), e.who())));
        }
        for (Entry e : acts) {
            long most = e.more().get("generations").asArray().values().stream()
                    .mapToLong(JsonValue::asLong)
                    .max()
                    .orElse(Long.MAX_VALUE);
            for (Least l : acted.getOrDefault(e.text("name"), List.of())) {
                if (l.generation() > most && e.number("until") > l.from()) {
                    breaches.add(new Breach(
                            e.number("until"),
                            String.format(
                                    Locale.ROOT,
                                    "%s acts by generation %d of %s at %.1f ms, %s by none before %d at %.1f ms",
                                    e.who(),
                                    most,
                                    e.text("name"),
                                    e.number("until"),
                                    l.who(),
                                    l.generation(),
                                    l.from())));
                    break;
                }
            }
        }
        return new Finding(breaches, Map.of("acts", (double) acts.size(), "generations", (double) contents.size()));
    }
}
