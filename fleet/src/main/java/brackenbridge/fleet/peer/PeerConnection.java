package brackenbridge.fleet.peer;

import brackenbridge.clock.Clock;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;

/**
 * A socket to another member, in its handshake or after it. One thread reads, one writes; a third may close it.
 */
final class PeerConnection {
    private static final int CHUNK = 16 << 10;
    private static final int BUFFER = 64 << 10;

    final Socket socket;
    final boolean dialled;
    final InputStream in;
    final double begunMs;
    final SendQueue outbox;
    private final OutputStream out;
    private final Clock clock;
    private final LinkMetrics figures;
    private final byte[] gathered = new byte[BUFFER];
    private double deadline;
    /** The other side's hello, once it was read. */
    Handshake.Hello hello;

    String peer = "";
    /** This member's own life, as the other side was told. */
    long toldLife;

    double linkedMs;
    volatile double lastReadMs;
    /** Since when a write waits for the other side to take bytes; 0 if none does. */
    volatile double writingMs;
    /** Since when a receiver has a message in work; 0 if none has. */
    volatile double receivingMs;

    volatile boolean closed;
    volatile String why = "";

    PeerConnection(Socket socket, boolean dialled, PeerLimits limits, Clock clock, LinkMetrics figures)
            throws IOException {
        this.socket = socket;
        this.dialled = dialled;
        this.clock = clock;
        this.figures = figures;
        socket.setTcpNoDelay(true);
        begunMs = clock.nowMs();
        lastReadMs = begunMs;
        deadline = begunMs + limits.handshakeMs();
        outbox = new SendQueue(limits.queueBytes(), limits.queueMessages());
        InputStream raw = socket.getInputStream();
        in = new BufferedInputStream(
                new InputStream() {
                    @Override
                    public int read() throws IOException {
                        byte[] one = new byte[1];
                        return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
                    }

                    @Override
                    public int read(byte[] bytes, int from, int length) throws IOException {
                        if (deadline > 0) {
                            // Guards against a stranger that sends a byte at a time: the whole handshake has one
                            // deadline.
                            double left = deadline - clock.nowMs();
                            if (left < 1) {
                                throw new SocketTimeoutException("no whole handshake in time");
                            }
                            socket.setSoTimeout((int) left);
                        }
                        int count = raw.read(bytes, from, length);
                        if (count > 0) {
                            lastReadMs = clock.nowMs();
                            figures.count("bytes_in", count);
                        }
                        return count;
                    }
                },
                CHUNK);
        out = socket.getOutputStream();
    }

    /** The handshake is done: from now on a silence of so long ends the connection. */
    void settle(double silenceMs) throws IOException {
        deadline = 0;
        socket.setSoTimeout((int) Math.max(1, silenceMs));
    }

    void say(Handshake.Part part) throws IOException {
        byte[] bytes = Handshake.bytes(part);
        out.write(bytes);
        figures.count("bytes_out", bytes.length);
    }

    /** Writes what waits, until the connection ends. */
    void write() throws IOException, InterruptedException {
        while (!closed) {
            outbox.await();
            int filled = 0;
            FrameCodec.Frame frame = outbox.poll();
            if (frame == null && outbox.ended()) {
                // What was said last arrives before the end: the other side reads it and then the end.
                socket.shutdownOutput();
                return;
            }
            while (frame != null) {
                filled = gather(filled, FrameCodec.head(frame.stream(), frame.body()), frame.body());
                figures.count("frames_out");
                frame = filled < BUFFER / 2 ? outbox.poll() : null;
            }
            put(gathered, filled);
        }
    }

    /** Adds a message to those that are written at once; a long one is written by itself. */
    private int gather(int filled, byte[] head, byte[] body) throws IOException {
        int at = filled;
        if (at + head.length + body.length > BUFFER) {
            put(gathered, at);
            at = 0;
        }
        System.arraycopy(head, 0, gathered, at, head.length);
        at += head.length;
        if (body.length > BUFFER - at) {
            put(gathered, at);
            put(body, body.length);
            return 0;
        }
        System.arraycopy(body, 0, gathered, at, body.length);
        return at + body.length;
    }

    /** In pieces, so that a slow line that takes some is told from one that takes nothing. */
    private void put(byte[] bytes, int length) throws IOException {
        for (int at = 0; at < length; at += CHUNK) {
            writingMs = clock.nowMs();
            int count = Math.min(CHUNK, length - at);
            out.write(bytes, at, count);
            figures.count("bytes_out", count);
        }
        writingMs = 0;
    }

    /** Closes it now; the first reason stays. */
    void close(String reason) {
        if (!closed) {
            why = why.isEmpty() ? reason : why;
            closed = true;
        }
        outbox.end();
        try {
            socket.close();
        } catch (IOException e) {
            // There is no socket then.
            return;
        }
    }
}
