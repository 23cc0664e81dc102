package brackenbridge.core.connection;

/**
 * Token bucket for connections that are opened in addition to a late one. Guards servers that are slow to accept
 * connections against the work of further handshakes.
 */
final class AdditionalOpenBudget {
    private static final double TOKENS_PER_FIRST_OPEN = 0.5;
    private static final double MAX_TOKENS = 10;

    private double tokens = MAX_TOKENS;

    void onFirstOpen() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_FIRST_OPEN);
    }

    boolean hasToken() {
        return tokens >= 1;
    }

    void takeToken() {
        tokens--;
    }
}
