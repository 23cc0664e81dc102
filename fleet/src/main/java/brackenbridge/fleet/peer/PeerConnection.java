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
    private static final int CHUNK_BYTES = 16 << 10;
    private static final int WRITE_BUFFER_BYTES = 64 << 10;

    final Socket socket;
    final boolean outbound;
    final InputStream in;
    final double openedAtMs;
    final SendQueue sendQueue;
    private final OutputStream out;
    private final Clock clock;
    private final LinkMetrics metrics;
    private final byte[] writeBuffer = new byte[WRITE_BUFFER_BYTES];
    private double handshakeDeadlineMs;
    /** The other side's hello, once it was read. */
    Handshake.Hello remoteHello;

    String peerName = "";
    /** This member's own life, as the other side was told. */
    long announcedIncarnation;

    double establishedAtMs;
    volatile double lastReadAtMs;
    /** Since when a write waits for the other side to take bytes; 0 if none does. */
    volatile double writeStartedAtMs;
    /** Since when a receiver has a message in work; 0 if none has. */
    volatile double receiveStartedAtMs;

    volatile boolean closed;
    volatile String closeReason = "";

    PeerConnection(Socket socket, boolean outbound, PeerLimits limits, Clock clock, LinkMetrics metrics)
            throws IOException {
        this.socket = socket;
        this.outbound = outbound;
        this.clock = clock;
        this.metrics = metrics;
        socket.setTcpNoDelay(true);
        openedAtMs = clock.nowMs();
        lastReadAtMs = openedAtMs;
        handshakeDeadlineMs = openedAtMs + limits.handshakeTimeoutMs();
        sendQueue = new SendQueue(limits.maxQueueBytes(), limits.maxQueueMessages());
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
                        if (handshakeDeadlineMs > 0) {
                            // Guards against a stranger that sends a byte at a time: the whole handshake has one
                            // deadline.
                            double left = handshakeDeadlineMs - clock.nowMs();
                            if (left < 1) {
                                throw new SocketTimeoutException("no whole handshake in time");
                            }
                            socket.setSoTimeout((int) left);
                        }
                        int count = raw.read(bytes, from, length);
                        if (count > 0) {
                            lastReadAtMs = clock.nowMs();
                            metrics.count("bytes_in", count);
                        }
                        return count;
                    }
                },
                CHUNK_BYTES);
        out = socket.getOutputStream();
    }

    /** The handshake is done: from now on a silence of so long ends the connection. */
    void completeHandshake(double silenceMs) throws IOException {
        handshakeDeadlineMs = 0;
        socket.setSoTimeout((int) Math.max(1, silenceMs));
    }

    void send(Handshake.Message part) throws IOException {
        byte[] bytes = Handshake.encode(part);
        out.write(bytes);
        metrics.count("bytes_out", bytes.length);
    }

    /** Writes what waits, until the connection ends. */
    void write() throws IOException, InterruptedException {
        while (!closed) {
            sendQueue.await();
            int filled = 0;
            FrameCodec.Frame frame = sendQueue.poll();
            if (frame == null && sendQueue.ended()) {
                // What was said last arrives before the end: the other side reads it and then the end.
                socket.shutdownOutput();
                return;
            }
            while (frame != null) {
                filled = appendFrame(filled, FrameCodec.encodeHeader(frame.stream(), frame.body()), frame.body());
                metrics.count("frames_out");
                frame = filled < WRITE_BUFFER_BYTES / 2 ? sendQueue.poll() : null;
            }
            writeChunks(writeBuffer, filled);
        }
    }

    /** Adds a message to those that are written at once; a long one is written by itself. */
    private int appendFrame(int filled, byte[] head, byte[] body) throws IOException {
        int at = filled;
        if (at + head.length + body.length > WRITE_BUFFER_BYTES) {
            writeChunks(writeBuffer, at);
            at = 0;
        }
        System.arraycopy(head, 0, writeBuffer, at, head.length);
        at += head.length;
        if (body.length > WRITE_BUFFER_BYTES - at) {
            writeChunks(writeBuffer, at);
            writeChunks(body, body.length);
            return 0;
        }
        System.arraycopy(body, 0, writeBuffer, at, body.length);
        return at + body.length;
    }

    /** In pieces, so that a slow line that takes some is told from one that takes nothing. */
    private void writeChunks(byte[] bytes, int length) throws IOException {
        for (int at = 0; at < length; at += CHUNK_BYTES) {
            writeStartedAtMs = clock.nowMs();
            int count = Math.min(CHUNK_BYTES, length - at);
            out.write(bytes, at, count);
            metrics.count("bytes_out", count);
        }
        writeStartedAtMs = 0;
    }

    /** Closes it now; the first reason stays. */
    void close(String reason) {
        if (!closed) {
            closeReason = closeReason.isEmpty() ? reason : closeReason;
            closed = true;
        }
        sendQueue.end();
        try {
            socket.close();
        } catch (IOException e) {
            // There is no socket then.
            return;
        }
    }
}
