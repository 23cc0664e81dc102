package brackenbridge.wire;

import brackenbridge.core.balancing.BalancerActions;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Collects a reply's lines and writes them out whole. */
final class WireWriter {
    private final OutputStream out;
    private byte[] buffer = new byte[1 << 16];
    private int size;
    private long speaker = Long.MIN_VALUE;

    WireWriter(OutputStream out) {
        this.out = out;
    }

    /** The actions of one instance. */
    BalancerActions of(long instance) {
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

    /** An instance asks discovery for changes from now on. */
    void watch(long instance) {
        from(instance).text("OBSERVE").number(1).end();
    }

    void broken(long instance, String cause) {
        from(instance).text("BROKEN").tab().text(cause.replaceAll("\\s+", " ")).end();
    }

    /** Ends the reply and sends it. */
    void finished(long batch) throws IOException {
        text("FINISHED").number(batch).end();
        out.write(buffer, 0, size);
        out.flush();
        size = 0;
        speaker = Long.MIN_VALUE;
    }

    private WireWriter from(long instance) {
        if (speaker != instance) {
            speaker = instance;
            text("FROM").number(instance).end();
        }
        return this;
    }

    private void room(int bytes) {
        if (size + bytes > buffer.length) {
            buffer = java.util.Arrays.copyOf(buffer, Math.max(2 * buffer.length, size + bytes));
        }
    }

    private WireWriter tab() {
        room(1);
        buffer[size++] = '\t';
        return this;
    }

    private void end() {
        room(1);
        buffer[size++] = '\n';
    }

    private WireWriter text(String s) {
        int n = s.length();
        room(n);
        for (int i = 0; i < n; i++) {
            char ch = s.charAt(i);
            if (ch >= 128) {
                byte[] rest = s.substring(i).getBytes(StandardCharsets.UTF_8);
                room(rest.length);
                System.arraycopy(rest, 0, buffer, size, rest.length);
                size += rest.length;
                return this;
            }
            buffer[size++] = (byte) ch;
        }
        return this;
    }

    private WireWriter number(long value) {
        room(21);
        buffer[size++] = '\t';
        if (value < 0) {
            buffer[size++] = '-';
        }
        int digits = 1;
        for (long v = value / 10; v != 0; v /= 10) {
            digits++;
        }
        long v = value;
        for (int i = size + digits - 1; i >= size; i--) {
            buffer[i] = (byte) ('0' + Math.abs(v % 10));
            v /= 10;
        }
        size += digits;
        return this;
    }
}
