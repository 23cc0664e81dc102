package brackenbridge.fleet.peer;

import brackenbridge.clock.Clock;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;

/**
 * A connection to another member, during or after its handshake. One thread reads and one writes; any thread may close
 * it.
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
    /** The other side's hello; null until it is read. */
    Handshake.Hello remoteHello;

    String peerName = "";
    /** The incarnation that this member announced to the other side. */
    long announcedIncarnation;

    double establishedAtMs;
    volatile double lastReadAtMs;
    /** When the write in progress began; 0 if none is. */
    volatile double writeStartedAtMs;
    /** When the receiver call in progress began; 0 if none is. */
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
                            // Guards against an unidentified peer that sends a byte at a time: the deadline covers the
                            // complete handshake.
                            double left = handshakeDeadlineMs - clock.nowMs();
                            if (left < 1) {
                                throw new SocketTimeoutException("handshake not complete before its deadline");
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

    /** Replaces the handshake's deadline by a read timeout, once the handshake is complete. */
    void completeHandshake(double silenceMs) throws IOException {
        handshakeDeadlineMs = 0;
        socket.setSoTimeout((int) Math.max(1, silenceMs));
    }

    void send(Handshake.Message message) throws IOException {
        byte[] bytes = Handshake.encode(message);
        out.write(bytes);
        metrics.count("bytes_out", bytes.length);
    }

    /** Writes queued messages until the connection is closed. */
    void write() throws IOException, InterruptedException {
        while (!closed) {
            sendQueue.await();
            int filled = 0;
            FrameCodec.Frame frame = sendQueue.poll();
            if (frame == null && sendQueue.ended()) {
                // Closes only the output, so that the other side reads the last messages before the end of the stream.
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

    /** Appends a frame to the write buffer; a body that does not fit is written directly. */
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

    /** Writes in chunks, so that a slow connection is distinguished from a stalled one. */
    private void writeChunks(byte[] bytes, int length) throws IOException {
        for (int at = 0; at < length; at += CHUNK_BYTES) {
            writeStartedAtMs = clock.nowMs();
            int count = Math.min(CHUNK_BYTES, length - at);
            out.write(bytes, at, count);
            metrics.count("bytes_out", count);
        }
        writeStartedAtMs = 0;
    }

    /** Closes the connection; only the first reason is kept. */
    void close(String reason) {
        if (!closed) {
            closeReason = closeReason.isEmpty() ? reason : closeReason;
            closed = true;
        }
        sendQueue.end();
        try {
            socket.close();
        } catch (IOException e) {
            // The socket cannot be used any more in either case.
            return;
        }
    }
}
