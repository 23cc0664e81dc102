package brackenbridge.core.generation;

/**
 * A request of a holder for a new lease.
 *
 * @param holder the number of the holder
 * @param incarnation the incarnation of its process; a restarted process has another
 * @param requestNumber counts its requests in this incarnation
 * @param effectiveVersion the version of the decision that it uses; 0 if it has none
 * @param rejectedGeneration the generation that it can't use; 0 if none
 */
public record LeaseRequest(
        int holder, long incarnation, long requestNumber, long decidedVersion, long rejectedGeneration) {}
