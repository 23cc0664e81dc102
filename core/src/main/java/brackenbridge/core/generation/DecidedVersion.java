package brackenbridge.core.generation;

/**
 * A decision of the lease authority; decisions are ordered by version.
 *
 * @param version the number of the decision; a higher version was decided later
 * @param inForce the generation in force; 0 if there is none yet
 * @param staged the generation to be activated next; 0 if there is none
 */
public record DecidedVersion(long version, long inForce, long staged) {
    /** The state before any decision. */
    public static final DecidedVersion NONE = new DecidedVersion(0, 0, 0);

    /** Rejects negative numbers and a generation that is both staged and in force. */
    public DecidedVersion {
        if (version < 0 || inForce < 0 || staged < 0 || staged > 0 && staged == inForce) {
            throw new IllegalArgumentException(
                    "invalid decision: version " + version + ", in force " + inForce + ", staged " + staged);
        }
    }

    DecidedVersion stage(long generation) {
        return new DecidedVersion(version + 1, inForce, generation);
    }

    DecidedVersion activate() {
        return new DecidedVersion(version + 1, staged, 0);
    }

    DecidedVersion abandon() {
        return new DecidedVersion(version + 1, inForce, 0);
    }
}
