package brackenbridge.core.generation;

/**
 * The authority's response to a {@link LeaseRequest}.
 *
 * @param incarnation the incarnation that sent the request
 * @param requestNumber the number of the request
 * @param decided the latest decision when the response was sent
 * @param leaseMs for how long the holder may use it, from when it sent the request; milliseconds of its clock
 */
public record LeaseGrant(long incarnation, long requestNumber, DecidedVersion decided, double leaseMs) {}
