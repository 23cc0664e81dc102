package brackenbridge.core.generation;

/**
 * A holder asks whether it may go on, and by what.
 *
 * @param holder who asks
 * @param incarnation which of its lives; a process that starts again is another
 * @param requestNumber counts its questions in this life
 * @param effectiveVersion the version of the word that it acts by; 0 if it has none
 * @param rejectedGeneration the generation that it can't use; 0 if none
 */
public record LeaseRequest(
        int holder, long incarnation, long requestNumber, long effectiveVersion, long rejectedGeneration) {}
