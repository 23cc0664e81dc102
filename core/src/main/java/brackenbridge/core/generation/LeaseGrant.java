package brackenbridge.core.generation;

/**
 * The authority's answer.
 *
 * @param life the life that asked
 * @param number the question that it answers
 * @param word what was decided when the answer was given
 * @param leaseMs for how long the holder may act by it, from the moment at which it asked; milliseconds of its clock
 */
public record LeaseGrant(long life, long number, DecidedVersion word, double leaseMs) {}
