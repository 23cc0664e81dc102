package brackenbridge.lab.cli;

import brackenbridge.lab.replica.Bounds;
import brackenbridge.lab.replica.Explorer;
import brackenbridge.lab.replica.Mistake;
import brackenbridge.lab.replica.Model;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** {@code lab replicate}: the replica at size, or every history of three members. */
@Parameters(commandDescription = "Play the replica: members in simulated time, or every small history")
final class Replicate {
    @Parameter(names = "--explore", description = "Go through every history instead, and look for each mistake")
    private boolean explore;
    @Parameter(names = "--most", description = "With --explore: moments to look at, at the most")
    private long most = 1_000_000;
    @Parameter(names = "--bounds", description = "With --explore: writes,wants,pieces,ends,saves,forgets,folds")
    private List<Integer> bounds = new ArrayList<>(List.of(3, 1, 2, 1, 0, 1, 0));

    /** The exit status: 0, or 1 where the promise was broken or a mistake was not found. */
    int run() {
        if (bounds.size() != 7 || bounds.stream().anyMatch(b -> b < 0 || b > 20)) {
            throw new ParameterException("--bounds wants seven numbers within 0 to 20");
        }
        return explore();
    }

    private int explore() {
        Explorer.Found all = Explorer.explore(new Model(new Bounds(bounds.get(0), bounds.get(1), bounds.get(2),
                bounds.get(3), bounds.get(4), bounds.get(5), bounds.get(6)), Mistake.NONE), most);
        System.out.printf(Locale.ROOT, "%d moments, %d steps, %d deep, %s%n", all.states(), all.steps(), all.depth(),
                all.whole() ? "all there are" : "and more");
        boolean failed = tell("as it is", all, false);
        for (Mistake m : Mistake.values()) {
            if (m != Mistake.NONE) {
                failed |= tell(m.name().toLowerCase(Locale.ROOT), Explorer.explore(new Model(Bounds.of(m), m), most),
                        true);
            }
        }
        return failed ? LabCommand.BROKEN : 0;
    }

    private static boolean tell(String name, Explorer.Found f, boolean wanted) {
        System.out.printf(Locale.ROOT, "%-22s %s%n", name, f.breach() == null
                ? "no breach in " + f.states() + " moments" : f.breach() + ", after " + String.join("; ", f.history()));
        return f.breach() == null == wanted;
    }
}
