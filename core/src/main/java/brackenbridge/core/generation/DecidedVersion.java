package brackenbridge.core.generation;

/**
 * A decision of the authority; decisions are ordered by version.
 *
 * @param version number of the decision; a higher one was decided later
 * @param inForce the generation in force; 0 before the first
 * @param staged the generation that is to be in force next; 0 if there is none
 */
public record DecidedVersion(long version, long inForce, long staged) {
    /** Before any decision. */
    public static final DecidedVersion NONE = new DecidedVersion(0, 0, 0);

    /** Numbers below 0, and a generation that is staged and in force at once, are rejected. */
    public DecidedVersion {
        if (version < 0 || inForce < 0 || staged < 0 || staged > 0 && staged == inForce) {
            throw new IllegalArgumentException("version " + version + ", in force " + inForce + ", staged " + staged);
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
