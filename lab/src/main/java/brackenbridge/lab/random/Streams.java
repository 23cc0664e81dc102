package brackenbridge.lab.random;

import org.apache.commons.rng.JumpableUniformRandomProvider;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Streams of random numbers of one seed that do not overlap (xoroshiro128++ with jumps of 2^64). Streams are told
 * apart by the order in which they are taken, so a world that takes them in a fixed order draws the same numbers
 * whatever is done with any one of them.
 */
public final class Streams {
    private final JumpableUniformRandomProvider next;

    /** The streams of this seed. */
    public Streams(long seed) {
        next = (JumpableUniformRandomProvider) RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** The next stream. */
    public UniformRandomProvider take() {
        return next.jump();
    }
}
