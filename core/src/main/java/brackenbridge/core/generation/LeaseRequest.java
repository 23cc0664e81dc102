package brackenbridge.core.generation;

/**
 * A holder asks whether it may go on, and by what.
 *
 * @param holder who asks
 * @param life which of its lives; a process that starts again is another
 * @param number counts its questions in this life
 * @param heard the version of the word that it acts by; 0 if it has none
 * @param refused the generation that it can't use; 0 if none
 */
public record LeaseRequest(int holder, long life, long number, long heard, long refused) {}
