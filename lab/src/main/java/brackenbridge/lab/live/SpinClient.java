package brackenbridge.lab.live;

import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import org.HdrHistogram.Histogram;

/**
 * A client with one connection and one call at a time, on a thread that never sleeps: its own time straight at a server
 * is that of the system's sockets. Latencies are from just before the write until the last byte is read.
 */
final class SpinClient implements AutoCloseable {
    private static final long LONGEST_NS = 10_000_000_000L;
    private static final int DIGITS = 3;
    private static final int BUFFER = 8192;
    /** A call that takes as long has not come back at all. */
    private static final long GIVE_UP_NS = 5_000_000_000L;

    private final SocketChannel channel;
    private final ByteBuffer out = ByteBuffer.allocateDirect(BUFFER);
    private final ByteBuffer in = ByteBuffer.allocateDirect(BUFFER);
    private final byte[] head;
    private final byte[] read = new byte[BUFFER];
    private long calls;
    private long late;

    /** Connects; each call is of this class. */
    SpinClient(InetSocketAddress to, String className) throws IOException {
        channel = SocketChannel.open(to);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.configureBlocking(false);
        head = ("GET /" + className + " HTTP/1.1\r\nHost: node\r\nX-Service-Class: " + className
                        + "\r\nX-Time-Left-Ms: 4000\r\nX-Correlation-Id: ")
                .getBytes(StandardCharsets.US_ASCII);
    }

    static Histogram histogram() {
        return new Histogram(LONGEST_NS, DIGITS);
    }

    /** Calls that began later than they were due, since the one before took too long. */
    long late() {
        return late;
    }

    /** So many calls, one right after the other. */
    Histogram flood(int count) throws IOException {
        Histogram latencies = histogram();
        for (int i = 0; i < count; i++) {
            latencies.recordValue(call());
        }
        return latencies;
    }

    /** Calls at a fixed rate for so many seconds. */
    Histogram pace(double perSecond, double seconds) throws IOException {
        Histogram latencies = histogram();
        long gap = (long) (1e9 / perSecond);
        long due = System.nanoTime();
        long end = due + (long) (seconds * 1e9);
        late = 0;
        while (due < end) {
            long now = System.nanoTime();
            while (now < due) {
                Thread.onSpinWait();
                now = System.nanoTime();
            }
            late += now - due > gap ? 1 : 0;
            latencies.recordValue(call());
            due += gap;
        }
        return latencies;
    }

    private long call() throws IOException {
        out.clear();
        out.put(head).put(Long.toHexString(++calls).getBytes(StandardCharsets.US_ASCII));
        out.put((byte) '\r').put((byte) '\n').put((byte) '\r').put((byte) '\n').flip();
        in.clear();
        long began = System.nanoTime();
        while (out.hasRemaining()) {
            channel.write(out);
        }
        while (!whole()) {
            if (channel.read(in) < 0) {
                throw new EOFException("the connection ended behind call " + calls);
            }
            if (System.nanoTime() - began > GIVE_UP_NS) {
                throw new IOException("call " + calls + " was not answered");
            }
        }
        return System.nanoTime() - began;
    }

    /** Whether a whole answer with a length has come; anything but 200 is a fault of the measurement. */
    private boolean whole() throws IOException {
        int size = in.position();
        if (size == 0) {
            return false;
        }
        in.get(0, read, 0, size);
        String text = new String(read, 0, size, StandardCharsets.ISO_8859_1);
        int end = text.indexOf("\r\n\r\n");
        if (end < 0) {
            return false;
        }
        if (!text.startsWith("HTTP/1.1 200")) {
            throw new IOException("not served: " + text);
        }
        String lower = text.substring(0, end).toLowerCase(java.util.Locale.ROOT);
        int length = lower.indexOf("content-length:");
        int until = lower.indexOf('\r', length);
        int bytes = Integer.parseInt(
                lower.substring(length + "content-length:".length(), until < 0 ? lower.length() : until)
                        .trim());
        return size >= end + 4 + bytes;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
