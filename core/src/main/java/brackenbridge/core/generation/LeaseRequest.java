package brackenbridge.core.generation;

/**
 * A holder's request for a new lease.
 *
 * @param holder the number of the holder
 * @param incarnation the incarnation of its process; a restarted process has another
 * @param requestNumber the number of the request within this incarnation
 * @param decidedVersion the version of the decision that the holder uses; 0 if it has none
 * @param rejectedGeneration the generation that the holder can't use; 0 if none
 */
public record LeaseRequest(
        int holder, long incarnation, long requestNumber, long decidedVersion, long rejectedGeneration) {}
