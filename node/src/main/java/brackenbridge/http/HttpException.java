package brackenbridge.http;

/** A malformed message, with the status of the response to a client that sent it. */
public final class HttpException extends Exception {
    private static final long serialVersionUID = 1;
    private final int status;

    HttpException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /** Returns the status of the response to such a request. */
    public int status() {
        return status;
    }
}
