package brackenbridge.lab.grow;

import java.util.List;
import java.util.Locale;

/** Words what a node needed at each size beside the bounds. */
public final class GrowTable {
    private final GrowRunner.Outcome usual;
    private final List<GrowRunner.Outcome> larger;

    /** A table of outcomes, of which the first is the usual size. */
    public GrowTable(List<GrowRunner.Outcome> outcomes) {
        usual = outcomes.get(0);
        larger = List.copyOf(outcomes.subList(1, outcomes.size()));
    }

    /** Whether every bound holds at every larger size. */
    public boolean holds() {
        return larger.stream().allMatch(this::holds);
    }

    private boolean holds(GrowRunner.Outcome outcome) {
        for (Bound bound : Bound.values()) {
            if (!bound.holds(usual.needs(), outcome.needs(), outcome.servers())) {
                return false;
            }
        }
        return true;
    }

    /** The table. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (GrowRunner.Outcome outcome : larger) {
            text.append(String.format(
                    Locale.ROOT,
                    "| what | %d servers | %d servers | bound | |%n| --- | --- | --- | --- | --- |%n",
                    usual.servers(),
                    outcome.servers()));
            for (Bound bound : Bound.values()) {
                text.append(row(bound, outcome));
            }
        }
        return text.toString();
    }

    private String row(Bound bound, GrowRunner.Outcome outcome) {
        return String.format(
                Locale.ROOT,
                "| %s | %.2f | %.2f | %s %.2f | %s |%n",
                bound.title(),
                bound.of(usual.needs()),
                bound.of(outcome.needs()),
                bound == Bound.SERVED ? "at least" : "at most",
                bound.limit(usual.needs(), outcome.servers()),
                bound.holds(usual.needs(), outcome.needs(), outcome.servers()) ? "holds" : "PASSED");
    }
}
