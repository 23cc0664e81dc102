package brackenbridge.wire;

import brackenbridge.core.balancing.BalancerActions;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Collects the lines of a reply and sends them together at the end of the batch. */
final class WireWriter {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;
    /** A tab, a sign and the digits of the longest number. */
    private static final int MAX_NUMBER_BYTES = 21;

    private static final char MAX_ASCII = 127;
    private static final long NO_INSTANCE = Long.MIN_VALUE;

    private final OutputStream out;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int size;
    private long currentInstance = NO_INSTANCE;

    WireWriter(OutputStream out) {
        this.out = out;
    }

    /** Returns the actions of one instance, which write their lines to the reply. */
    BalancerActions actionsOf(long instance) {
        return new BalancerActions() {
            @Override
            public void startAttempt(long request, long endpoint, long timeout) {
                from(instance)
                        .text("SUBMIT_TO")
                        .number(request)
                        .number(timeout)
                        .number(endpoint)
                        .end();
            }

            @Override
            public void reject(long request, long retryAfter) {
                from(instance).text("REJECT").number(request).number(retryAfter).end();
            }

            @Override
            public void fail(long request) {
                from(instance).text("ERROR").number(request).end();
            }

            @Override
            public void setTimer(long at, String token) {
                from(instance).text("SET_ALARM").number(at).tab().text(token).end();
            }

            @Override
            public void startHealthCheck(long endpoint) {
                from(instance).text("ASK_LOAD").number(endpoint).end();
            }
        };
    }

    /** Writes that an instance opens a watch at discovery. */
    void writeWatch(long instance) {
        from(instance).text("OBSERVE").number(1).end();
    }

    /** Writes an exception of an instance, with its cause and location on one line. */
    void writeFault(long instance, RuntimeException fault) {
        StackTraceElement[] trace = fault.getStackTrace();
        String cause = fault + (trace.length == 0 ? "" : " at " + trace[0]);
        from(instance).text("BROKEN").tab().text(cause.replaceAll("\\s+", " ")).end();
    }

    /** Ends the reply to a batch and sends it. */
    void finishBatch(long batch) throws IOException {
        text("FINISHED").number(batch).end();
        out.write(buffer, 0, size);
        out.flush();
        size = 0;
        currentInstance = NO_INSTANCE;
    }

    /** Selects the instance of the lines that follow. */
    private WireWriter from(long instance) {
        if (currentInstance != instance) {
            currentInstance = instance;
            text("FROM").number(instance).end();
        }
        return this;
    }

    private void ensureRoom(int bytes) {
        if (size + bytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, size + bytes));
        }
    }

    private WireWriter tab() {
        ensureRoom(1);
        buffer[size++] = '\t';
        return this;
    }

    private void end() {
        ensureRoom(1);
        buffer[size++] = '\n';
    }

    private WireWriter text(String text) {
        int length = text.length();
        ensureRoom(length);
        for (int i = 0; i < length; i++) {
            char character = text.charAt(i);
            if (character > MAX_ASCII) {
                byte[] rest = text.substring(i).getBytes(StandardCharsets.UTF_8);
                ensureRoom(rest.length);
                System.arraycopy(rest, 0, buffer, size, rest.length);
                size += rest.length;
                return this;
            }
            buffer[size++] = (byte) character;
        }
        return this;
    }

    private WireWriter number(long value) {
        ensureRoom(MAX_NUMBER_BYTES);
        buffer[size++] = '\t';
        if (value < 0) {
            buffer[size++] = '-';
        }
        int digits = 1;
        for (long higher = value / 10; higher != 0; higher /= 10) {
            digits++;
        }
        long remaining = value;
        for (int i = size + digits - 1; i >= size; i--) {
            buffer[i] = (byte) ('0' + Math.abs(remaining % 10));
            remaining /= 10;
        }
        size += digits;
        return this;
    }
}
