import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Long answers that servers write in small pieces at 64 kB a second; none may be cut off while its server gives it. */
public final class SlowLongAnswers {
    private static final int SECONDS = 30;
    private static final int CLIENTS = 12;
    private static final int SHORT_BYTES = 400;
    private static final int LONG_BYTES = 256 * 1024;
    private static final double LONG_SHARE = 0.2;
    /** A piece each 25 ms: 64,000 bytes a second. */
    private static final int PIECE_BYTES = 1600;

    private static final double PIECE_MS = 25;
    /** Time that a client of session-start gives a try: 0.8 of 1.5 s. */
    private static final int START_MS = 1200;

    private static final int STATUS_MS = 2400;
    /** First bytes that a server wrote so long before its client's time is up have come in time. */
    private static final double MARGIN_MS = 400;

    /** What a server did for a request. */
    private static final class Work {
        volatile double firstByteMs = Double.NaN;
        volatile double cutMs = Double.NaN;
        volatile int written;
    }

    private static final Map<String, Work> WORKS = new ConcurrentHashMap<>();

    private SlowLongAnswers() {}

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        Kit.begin(Path.of(args[1]));
        Kit.Registry registry = new Kit.Registry();
        for (int i = 0; i < 9; i++) {
            Random random = new Random(i);
            int server = Kit.startServer((request, in, out) -> serve(random, request, out)).getLocalPort();
            registry.put("s-" + i, server, "amsterdam", "active");
        }
        int listen = Kit.freePort();
        String config = Kit.config(
                "n0",
                listen,
                registry,
                registry.port(),
                512,
                "amsterdam",
                3,
                Kit.requestClass("session-status", "safe", 1200, 3000, 2) + ","
                        + Kit.requestClass("session-start", "unsafe", 600, 1500, 5));
        Process node = Kit.startNode(root, Path.of(args[1]), "n0", listen, registry.port(), config);
        if (!Kit.awaitReady(listen, 30_000)) {
            Kit.failed("the node is not ready");
        }
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger longWhole = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        double endMs = Kit.nowMs() + SECONDS * 1000;
        Thread[] clients = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients[i] = Kit.daemon(() -> runClient(number, listen, endMs, whole, longWhole, other, cut));
        }
        for (Thread client : clients) {
            client.join();
        }
        boolean alive = node.isAlive();
        node.destroy();
        node.waitFor();
        Kit.log("n0");
        Kit.say("whole answers " + whole + ", " + longWhole + " of them long; refused or failed with no answer under way "
                + other + "; long answers cut off while their server gave them " + cut);
        if (whole.get() == 0) {
            Kit.failed("nothing was served");
        }
        Kit.exit(cut.get() > 0 || !alive);
    }

    private static void serve(Random random, Kit.Message request, OutputStream out) throws Exception {
        String id = request.field("X-Correlation-Id");
        boolean isLong = id.startsWith("long");
        double workMs;
        synchronized (random) {
            workMs = 60 + random.nextDouble() * 200;
        }
        Kit.sleepMs(workMs);
        Work work = new Work();
        byte[] body = body(id, isLong ? LONG_BYTES : SHORT_BYTES);
        Kit.write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
        work.firstByteMs = Kit.nowMs();
        WORKS.put(id, work);
        Kit.record("server ran " + id + " and begins its answer of " + body.length + " bytes");
        if (!isLong || !Kit.TROUBLE) {
            out.write(body);
            work.written = body.length;
            return;
        }
        double dueMs = Kit.nowMs();
        try {
            for (int at = 0; at < body.length; at += PIECE_BYTES) {
                out.write(body, at, Math.min(PIECE_BYTES, body.length - at));
                work.written = Math.min(body.length, at + PIECE_BYTES);
                dueMs += PIECE_MS;
                Kit.sleepMs(Math.max(0, dueMs - Kit.nowMs()));
            }
        } catch (IOException e) {
            work.cutMs = Kit.nowMs();
            Kit.record("server: the node ended the connection after " + work.written + " bytes of the answer to " + id);
            throw e;
        }
    }

    /** The one right answer to a request. */
    private static byte[] body(String id, int length) {
        byte[] body = new byte[length];
        Arrays.fill(body, (byte) ('a' + Math.floorMod(id.hashCode(), 26)));
        return body;
    }

    private static void runClient(
            int number,
            int listen,
            double endMs,
            AtomicInteger whole,
            AtomicInteger longWhole,
            AtomicInteger other,
            AtomicInteger cut) {
        Random random = new Random(100 + number);
        Kit.Connection connection = null;
        int count = 0;
        while (Kit.nowMs() < endMs) {
            boolean start = random.nextBoolean();
            boolean isLong = random.nextDouble() < LONG_SHARE;
            String id = (isLong ? "long-" : "short-") + number + "-" + count++;
            double sentMs = Kit.nowMs();
            int timeLeftMs = start ? START_MS : STATUS_MS;
            String seen;
            boolean good = false;
            try {
                connection = connection == null ? new Kit.Connection(listen) : connection;
                connection.send(Kit.request(
                        start ? "POST" : "GET",
                        start ? "session-start" : "session-status",
                        id,
                        timeLeftMs,
                        start ? "start" : ""));
                Kit.Message answer = connection.read();
                if (answer == null) {
                    throw new IOException("ended with no answer");
                }
                good = answer.status() == 200
                        && Arrays.equals(answer.body, body(id, isLong ? LONG_BYTES : SHORT_BYTES));
                seen = answer.status() + " with " + answer.body.length + " bytes"
                        + (answer.status() == 200 && !good ? ", not the server's" : "");
                if ("close".equals(answer.field("Connection"))) {
                    connection.close();
                    connection = null;
                }
            } catch (IOException e) {
                seen = "no whole answer: " + e.getMessage();
                connection = null;
            }
            Work work = WORKS.remove(id);
            // Lost: the first bytes had come in time, the server went on giving, and its client has no whole answer.
            boolean lost = !good && isLong && work != null && work.firstByteMs < sentMs + timeLeftMs - MARGIN_MS;
            Kit.record("client " + id + " got " + seen + String.format(" after %.0f of %d ms", Kit.nowMs() - sentMs, timeLeftMs)
                    + (lost
                            ? String.format(
                                    ": LOST, the server began to answer after %.0f ms and has written %d bytes",
                                    work.firstByteMs - sentMs, work.written)
                            : ""));
            (good ? whole : lost ? cut : other).incrementAndGet();
            if (good && isLong) {
                longWhole.incrementAndGet();
            }
            Kit.sleepMs(random.nextDouble() * 200);
        }
    }
}
