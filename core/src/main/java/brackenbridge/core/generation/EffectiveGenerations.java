package brackenbridge.core.generation;

/**
 * The generations that a holder obeys: each of its decisions is one that all of them allow.
 *
 * <p>Two holders contradict each other if no generation allows what both may do: if they obey none in common.
 *
 * @param one a generation; 0 in doubt
 * @param other another one, or the same
 */
public record EffectiveGenerations(long first, long second) {
    /** Obeys every possible generation: does only what all of them allow. */
    public static final EffectiveGenerations IN_DOUBT = new EffectiveGenerations(0, 0);

    /** Obeys one generation. */
    public static EffectiveGenerations of(long generation) {
        return new EffectiveGenerations(generation, generation);
    }

    /** Obeys both generations. */
    public static EffectiveGenerations ofBoth(long one, long other) {
        return new EffectiveGenerations(one, other);
    }

    /** Whether it knows no generation that it may use. */
    public boolean inDoubt() {
        return first == 0;
    }

    /** Whether it obeys this generation. */
    public boolean includes(long generation) {
        return inDoubt() || first == generation || second == generation;
    }

    /** Whether no generation allows what both may do. */
    public boolean contradicts(EffectiveGenerations that) {
        return !inDoubt() && !that.inDoubt() && !that.includes(first) && !that.includes(second);
    }
}
