package brackenbridge.wire;

/** What is wrong with the input, with the line it is in and the field where there is one. */
final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1;

    WireException(String message) {
        super(message);
    }
}
