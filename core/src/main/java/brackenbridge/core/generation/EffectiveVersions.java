package brackenbridge.core.generation;

/**
 * What a holder keeps to: every decision that it takes is one that each of these generations allows.
 *
 * <p>Two holders contradict each other if no generation allows what both may do: if they keep to none in common.
 *
 * @param one a generation; 0 in doubt
 * @param other another one, or the same
 */
public record EffectiveVersions(long one, long other) {
    /** Keeps to every generation there may be: does only what all of them allow. */
    public static final EffectiveVersions IN_DOUBT = new EffectiveVersions(0, 0);

    /** Keeps to one generation. */
    public static EffectiveVersions of(long generation) {
        return new EffectiveVersions(generation, generation);
    }

    /** Keeps to both. */
    public static EffectiveVersions ofBoth(long one, long other) {
        return new EffectiveVersions(one, other);
    }

    /** Whether it knows of no generation that it may act by. */
    public boolean inDoubt() {
        return one == 0;
    }

    /** Whether it keeps to this generation. */
    public boolean includes(long generation) {
        return inDoubt() || one == generation || other == generation;
    }

    /** Whether no generation allows what both may do. */
    public boolean contradicts(EffectiveVersions that) {
        return !inDoubt() && !that.inDoubt() && !that.includes(one) && !that.includes(other);
    }
}
