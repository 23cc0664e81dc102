package brackenbridge.http;

/** Bytes that are not the message they should be; the status is what a client is told. */
public final class HttpException extends Exception {
    private static final long serialVersionUID = 1;
    private final int status;

    HttpException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /** The status for the sender of a request like this. */
    public int status() {
        return status;
    }
}
