package brackenbridge.core.generation;

/**
 * The authority's response to a {@link LeaseRequest}.
 *
 * @param incarnation the incarnation that sent the request
 * @param requestNumber the number of the request
 * @param decided the latest decision at the time of the response
 * @param leaseMs how long the holder may use it, counted from the sending of the request, in milliseconds of its clock
 */
public record LeaseGrant(long incarnation, long requestNumber, DecidedVersion decided, double leaseMs) {}
