package brackenbridge.core.generation;

/**
 * The generations that a lease holder has to obey: each of its decisions must be allowed by all of them.
 *
 * <p>Two holders contradict each other if they have no generation in common, so that no generation allows what both may
 * do.
 *
 * @param first a generation; 0 if in doubt
 * @param second another generation, or the same one
 */
public record EffectiveGenerations(long first, long second) {
    /** Obeys every possible generation, so only what all of them allow may be done. */
    public static final EffectiveGenerations IN_DOUBT = new EffectiveGenerations(0, 0);

    /** Obeys one generation. */
    public static EffectiveGenerations of(long generation) {
        return new EffectiveGenerations(generation, generation);
    }

    /** Obeys both generations. */
    public static EffectiveGenerations ofBoth(long first, long second) {
        return new EffectiveGenerations(first, second);
    }

    /** Whether no usable generation is known. */
    public boolean inDoubt() {
        return first == 0;
    }

    /** Whether this generation is obeyed. */
    public boolean includes(long generation) {
        return inDoubt() || first == generation || second == generation;
    }

    /** Whether no generation allows what both holders may do. */
    public boolean contradicts(EffectiveGenerations that) {
        return !inDoubt() && !that.inDoubt() && !that.includes(first) && !that.includes(second);
    }
}
