package brackenbridge.core.generation;

/**
 * The authority's answer.
 *
 * @param incarnation the life that asked
 * @param requestNumber the question that it answers
 * @param decided what was decided when the answer was given
 * @param leaseMs for how long the holder may act by it, from the moment at which it asked; milliseconds of its clock
 */
public record LeaseGrant(long incarnation, long requestNumber, DecidedVersion decided, double leaseMs) {}
