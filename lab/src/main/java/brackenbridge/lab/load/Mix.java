package brackenbridge.lab.load;

import brackenbridge.lab.world.World;
import brackenbridge.lab.world.World.ClassSpec;
import brackenbridge.lab.world.World.TenantSpec;
import org.apache.commons.rng.UniformRandomProvider;

/** Draws what a request is: its class and its tenant, and whether it lies beyond its tenant's share. */
public final class Mix {
    /** The part of its worth that a request beyond its tenant's share keeps. */
    public static final double BEYOND_SHARE = 0.05;
    /** A tenant's share may be used up to so many milliseconds late. */
    private static final double SAVED_MS = 1000;

    private final World world;
    private final UniformRandomProvider random;
    private final double[] tokens;
    private final double[] filledMs;

    /** Draws from this stream. */
    public Mix(World world, UniformRandomProvider random) {
        this.world = world;
        this.random = random;
        this.tokens = new double[world.tenants().size()];
        this.filledMs = new double[world.tenants().size()];
        for (int i = 0; i < tokens.length; i++) {
            tokens[i] = perMs(i) * SAVED_MS;
        }
    }

    private double perMs(int tenant) {
        return world.quotaPerSecond(world.tenants().get(tenant)) / 1000;
    }

    /** The next request's class, as its place among the world's. */
    public int drawClass() {
        double all = 0;
        for (ClassSpec c : world.classes()) {
            all += c.share();
        }
        double u = random.nextDouble() * all;
        for (int i = 0; i < world.classes().size(); i++) {
            u -= world.classes().get(i).share();
            if (u < 0) {
                return i;
            }
        }
        return world.classes().size() - 1;
    }

    /** The next request's tenant, as its place among the world's; -1 if there are none. */
    public int drawTenant() {
        double all = 0;
        for (TenantSpec t : world.tenants()) {
            all += t.arrivals();
        }
        double u = random.nextDouble() * all;
        for (int i = 0; i < world.tenants().size(); i++) {
            u -= world.tenants().get(i).arrivals();
            if (u < 0) {
                return i;
            }
        }
        return world.tenants().size() - 1;
    }

    /** The part of its worth that a request of this tenant, due at this time, has; in order of time. */
    public double part(int tenant, double dueMs) {
        if (tenant < 0) {
            return 1;
        }
        tokens[tenant] =
                Math.min(perMs(tenant) * SAVED_MS, tokens[tenant] + perMs(tenant) * (dueMs - filledMs[tenant]));
        filledMs[tenant] = dueMs;
        if (tokens[tenant] < 1) {
            return BEYOND_SHARE;
        }
        tokens[tenant]--;
        return 1;
    }
}
