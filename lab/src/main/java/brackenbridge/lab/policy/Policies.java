package brackenbridge.lab.policy;

import brackenbridge.core.balancing.Balancer;
import brackenbridge.core.balancing.BalancerActions;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.lab.sim.Simulation.PolicyMaker;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** The policies that an experiment may name. */
public final class Policies {
    /** The project's own module. */
    public static final String MODULE = "module";

    private static final Map<String, PolicyMaker> ALL = new LinkedHashMap<>();

    static {
        ALL.put(MODULE, truth -> Balancer::new);
        ALL.put("random", simple(Choosers::random));
        ALL.put("round_robin", simple(Choosers::roundRobin));
        ALL.put("least_of_two", simple(Choosers::leastOfTwo));
        ALL.put("least_connections", simple(Choosers::leastConnections));
        ALL.put("peak_ewma", simple(Choosers.PeakEwma::new));
        ALL.put(
                "prequal",
                truth -> (settings, out) -> new Textbook(settings, out, new Choosers.Prequal(random(settings), out)));
        ALL.put(
                "oracle",
                truth -> (settings, out) -> new Textbook(settings, out, Choosers.oracle(truth, random(settings))));
    }

    private Policies() {}

    private interface Simple {
        Chooser make(SplittableRandom random);
    }

    private static PolicyMaker simple(Simple simple) {
        return truth -> (settings, out) -> textbook(settings, out, simple);
    }

    private static Textbook textbook(BalancerSettings settings, BalancerActions out, Simple simple) {
        return new Textbook(settings, out, simple.make(random(settings)));
    }

    private static SplittableRandom random(BalancerSettings settings) {
        return new SplittableRandom(settings.seed());
    }

    /** The names. */
    public static Set<String> names() {
        return Collections.unmodifiableSet(ALL.keySet());
    }

    /** The policy of this name. */
    public static PolicyMaker of(String name) {
        PolicyMaker maker = ALL.get(name);
        if (maker == null) {
            throw new IllegalArgumentException("no policy " + name);
        }
        return maker;
    }
}
