package brackenbridge.lab.agree;

/** Bounds within which each mistake shows, as small as they can be: the shortest history that breaks the promise. */
public final class Search {
    private Search() {}

    /** Bounds for a search for this mistake. */
    public static Bounds bounds(AgreementMistake mistake) {
        return switch (mistake) {
            case ANY_ANSWER_TAKEN -> new Bounds(1, 6, 2, 0, 1, 0);
            case TAKEOVER_WITHOUT_WAIT, WORD_NOT_DURABLE, DEPOSED_GRANTS -> new Bounds(1, 4, 1, 0, 1, 1);
            case RENEWAL_FORGOTTEN -> new Bounds(1, 5, 2, 0, 1, 0);
            default -> new Bounds(1, 4, 2, 0, 1, 0);
        };
    }
}
