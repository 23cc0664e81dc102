package brackenbridge.wire;

/** An error in the input, with its line and, where there is one, its field. */
final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1;

    WireException(String message) {
        super(message);
    }
}
