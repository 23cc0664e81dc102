package brackenbridge.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Reads and writes parts of HTTP messages on blocking sockets, as fast as possible or at a steady rate. */
final class HttpIo {
    private static final int PIECE_BYTES = 1600;
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private HttpIo() {}

    /** Returns bytes whose value depends on their position. */
    static byte[] patternBytes(int size) {
        byte[] bytes = new byte[size];
        for (int i = 0; i < size; i++) {
            bytes[i] = (byte) (i * 31 >> 3);
        }
        return bytes;
    }

    /** Writes this text. */
    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads up to the end of a head, or of the stream. */
    static String readHead(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.length() < 4 || !text.substring(text.length() - 4).equals("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                return text.toString();
            }
            text.append((char) b);
        }
        return text.toString();
    }

    /** Reads a chunked body; if the last chunk is missing, returns what was received and one extra byte. */
    static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(in);
            if (line.isEmpty()) {
                all.write(0);
                return all.toByteArray();
            }
            int size = Integer.parseInt(line, 16);
            all.write(in.readNBytes(size));
            readLine(in);
            if (size == 0) {
                return all.toByteArray();
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
            text.append((char) b);
        }
        return text.toString().trim();
    }

    /** Wraps a body in one chunk, with the last chunk behind it. */
    static byte[] inOneChunk(byte[] body) {
        ByteArrayOutputStream all = new ByteArrayOutputStream(body.length + 32);
        all.writeBytes((Integer.toHexString(body.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
        all.writeBytes(body);
        all.writeBytes("\r\n0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return all.toByteArray();
    }

    /** Writes these bytes in small pieces at a steady rate. */
    static void writeSteadily(Socket socket, byte[] bytes, int from, int to, int bytesPerSecond) throws IOException {
        long startNs = System.nanoTime();
        for (int at = from; at < to; at += PIECE_BYTES) {
            awaitTurn(startNs, at - from, bytesPerSecond);
            socket.getOutputStream().write(bytes, at, Math.min(PIECE_BYTES, to - at));
        }
    }

    /** Reads this many bytes, or up to the end of the stream, at a steady rate; returns those read. */
    static byte[] readSteadily(InputStream in, int length, int bytesPerSecond) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        long startNs = System.nanoTime();
        while (all.size() < length) {
            awaitTurn(startNs, all.size(), bytesPerSecond);
            int piece = Math.max(PIECE_BYTES, bytesPerSecond / 100);
            byte[] read = in.readNBytes(Math.min(piece, length - all.size()));
            if (read.length == 0) {
                return all.toByteArray();
            }
            all.writeBytes(read);
        }
        return all.toByteArray();
    }

    /** Waits until so many bytes are due that were begun at this time. */
    private static void awaitTurn(long startNs, long bytes, int bytesPerSecond) {
        long dueNs = startNs + (long) (bytes * NANOSECONDS_PER_SECOND / bytesPerSecond);
        for (long leftNs = dueNs - System.nanoTime(); leftNs > 0; leftNs = dueNs - System.nanoTime()) {
            LockSupport.parkNanos(leftNs);
        }
    }

    /** Milliseconds since this reading of {@link System#nanoTime}. */
    static long millisecondsSince(long startNs) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    }
}
