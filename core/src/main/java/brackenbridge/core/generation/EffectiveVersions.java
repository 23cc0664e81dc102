package brackenbridge.core.generation;

/**
 * The generations that a holder obeys: each of its decisions is one that all of them allow.
 *
 * <p>Two holders contradict each other if no generation allows what both may do: if they obey none in common.
 *
 * @param one a generation; 0 in doubt
 * @param other another one, or the same
 */
public record EffectiveVersions(long one, long other) {
    /** Obeys every possible generation: does only what all of them allow. */
    public static final EffectiveVersions IN_DOUBT = new EffectiveVersions(0, 0);

    /** Obeys one generation. */
    public static EffectiveVersions of(long generation) {
        return new EffectiveVersions(generation, generation);
    }

    /** Obeys both generations. */
    public static EffectiveVersions ofBoth(long one, long other) {
        return new EffectiveVersions(one, other);
    }

    /** Whether it knows no generation that it may use. */
    public boolean inDoubt() {
        return one == 0;
    }

    /** Whether it obeys this generation. */
    public boolean includes(long generation) {
        return inDoubt() || one == generation || other == generation;
    }

    /** Whether no generation allows what both may do. */
    public boolean contradicts(EffectiveVersions that) {
        return !inDoubt() && !that.inDoubt() && !that.includes(one) && !that.includes(other);
    }
}
