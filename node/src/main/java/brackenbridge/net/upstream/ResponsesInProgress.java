package brackenbridge.net.upstream;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** State shared by the response readers of all connections: the buffered bytes and the responses being streamed. */
final class ResponsesInProgress {
    /** Maximum bytes buffered by all incomplete responses together. */
    private static final int MAX_BUFFERED_BYTES = 16 * 1024 * 1024;

    private final Set<ResponseReader> streaming = new HashSet<>();
    private int bufferedBytes;

    /** Adds buffered bytes of one response, or subtracts them if negative. */
    void addBufferedBytes(int change) {
        bufferedBytes += change;
    }

    boolean isOverBufferLimit() {
        return bufferedBytes > MAX_BUFFERED_BYTES;
    }

    void addStreaming(ResponseReader reader) {
        streaming.add(reader);
    }

    void removeStreaming(ResponseReader reader) {
        streaming.remove(reader);
    }

    /** Truncates the streamed responses that make no progress. */
    void sweepStreaming(double nowMs) {
        for (ResponseReader reader : List.copyOf(streaming)) {
            reader.sweepStreaming(nowMs);
        }
    }
}
