package brackenbridge.lab.fleet.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A pool's members together never use more of it than it has: lines {@code uses} with {@code pool}, {@code tenant} and
 * {@code n}, each from then on; a member that has ended uses nothing, one that stands still what it used.
 *
 * @param most connections that a pool has, by its name
 */
public record Capacity(Map<String, Long> most) implements Promise {
    private record Part(String member, String pool, String tenant) {}

    /** Keeps its own copy. */
    public Capacity {
        most = Map.copyOf(most);
    }

    @Override
    public Finding check(List<Entry> log) {
        List<Breach> breaches = new ArrayList<>();
        Map<Part, Long> used = new HashMap<>();
        double over = 0;
        double fullest = 0;
        for (Entry e : log) {
            if (e.what().equals("ended")) {
                used.keySet().removeIf(p -> p.member().equals(e.text("member")));
            } else if (e.what().equals("uses")) {
                used.put(new Part(e.who(), e.text("pool"), e.text("tenant")), e.whole("n"));
                Long has = most.get(e.text("pool"));
                long sum = used.entrySet().stream()
                        .filter(u -> u.getKey().pool().equals(e.text("pool")))
                        .mapToLong(Map.Entry::getValue)
                        .sum();
                if (has != null && sum > has) {
                    over = Math.max(over, sum - has);
                    breaches.add(new Breach(
                            e.t(),
                            String.format(
                                    Locale.ROOT,
                                    "%d connections of %s are used, it has %d",
                                    sum,
                                    e.text("pool"),
                                    has)));
                }
                if (has != null) {
                    fullest = Math.max(fullest, (double) sum / has);
                }
            }
        }
        return new Finding(breaches, Map.of("over", over, "fullest", fullest));
    }
}
