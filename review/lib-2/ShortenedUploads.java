import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Servers reset some connections under long requests whose last byte has not come. */
final class ShortenedUploads {
    private static final int NODES = 3;
    private static final int SERVERS = 4;
    private static final int CORES = 2;
    private static final double WORK_MS = 60;
    private static final int READERS = 50;
    private static final int UPLOADERS = 6;
    private static final int FIRST_CHUNK = 64 * 1024;
    private static final int SECOND_CHUNK = 8 * 1024;
    private static final double PAUSE_MS = 60;
    private static final double LENGTH_MS = 40_000;

    private final Lab lab;
    private final AtomicLong ids = new AtomicLong();
    private final AtomicInteger resets = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger uploads = new AtomicInteger();
    private final AtomicInteger uploadsServed = new AtomicInteger();
    private final AtomicInteger shortened = new AtomicInteger();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final Map<String, byte[]> sent = new ConcurrentHashMap<>();

    private ShortenedUploads(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.main(arguments[0], lab -> new ShortenedUploads(lab).run());
    }

    private int run() throws Exception {
        List<Lab.Host> hosts = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            String name = "s-" + i;
            Semaphore cores = new Semaphore(CORES, true);
            Lab.Listener server = new Lab.Listener(name, connection -> serve(name, cores, connection));
            hosts.add(new Lab.Host(name, server.port(), "active"));
        }
        Lab.Discovery discovery = new Lab.Discovery(lab, 41, hosts);
        int port = Lab.freePort();
        lab.startNode(
                "n0",
                Lab.config("n0", port, discovery.port(), NODES, 512, Lab.list(41, true, hosts), "unsafe", 4),
                Map.of());
        lab.awaitReady(port, 20_000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < READERS; i++) {
            clients.add(Lab.spawn("client", () -> repeat(() -> read(port))));
        }
        Lab.sleep(3000);
        for (int i = 0; i < UPLOADERS; i++) {
            clients.add(Lab.spawn("upload", () -> repeat(() -> upload(port))));
        }
        double until = lab.nowMs() + LENGTH_MS;
        while (lab.nowMs() < until && shortened.get() == 0) {
            Lab.sleep(100);
        }
        ended.set(true);
        for (Thread client : clients) {
            client.join(5000);
        }
        lab.note("short requests served " + served + ", uploads " + uploads + ", of these served " + uploadsServed
                + "; connections reset under an upload " + resets + "; run with a body that no client sent " + shortened);
        if (uploadsServed.get() == 0) {
            return Lab.CANNOT_RUN;
        }
        return shortened.get() > 0 ? Lab.BROKEN : Lab.HELD;
    }

    private void serve(String name, Semaphore cores, Socket connection) {
        try {
            Lab.Http http = new Lab.Http(connection);
            while (true) {
                Lab.Message request = http.readHead();
                if (request == null) {
                    return;
                }
                String id = request.field("X-Correlation-Id");
                boolean upload = request.line.startsWith("POST");
                if (upload && lab.trouble && id.hashCode() % 2 == 0 && !sent.containsKey("reset " + id)) {
                    sent.put("reset " + id, new byte[0]);
                    resets.incrementAndGet();
                    http.in.readNBytes(FIRST_CHUNK / 2);
                    Lab.sleep(20);
                    lab.note(name + ": resets the connection under the upload " + id);
                    connection.setSoLinger(true, 0);
                    return;
                }
                http.readBody(request);
                if (upload) {
                    byte[] expected = sent.get(id);
                    boolean same = java.util.Arrays.equals(expected, request.body);
                    lab.note(name + ": runs the upload " + id + " with " + request.body.length + " bytes; its client sends "
                            + expected.length + (same ? "" : ": NOT THE SAME"));
                    if (!same) {
                        shortened.incrementAndGet();
                    }
                }
                cores.acquireUninterruptibly();
                Lab.sleep(WORK_MS);
                cores.release();
                http.out.write(Lab.response(200, "", "answer to " + id));
            }
        } catch (IOException e) {
            // The node has closed the connection.
        }
    }

    private interface Step {
        void run() throws IOException;
    }

    private void repeat(Step step) {
        while (!ended.get()) {
            try {
                step.run();
            } catch (IOException e) {
                lab.note("client: " + e);
            }
            Lab.sleep(20);
        }
    }

    private String head(boolean unsafe, String id, String framing) {
        String path = unsafe ? "start" : "status";
        return (unsafe ? "POST" : "GET") + " /" + path + "/a HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: " + id
                + "\r\nX-Service-Class: " + path + "\r\nX-Account: stroomlijn\r\nX-Time-Left-Ms: 1400\r\n" + framing
                + "\r\n";
    }

    private String nextId() {
        return String.format("%016x", 0x5a00000000000000L + ids.incrementAndGet());
    }

    private void read(int port) throws IOException {
        try (Lab.Http http = new Lab.Http(port, 5000)) {
            for (int i = 0; i < 20 && !ended.get(); i++) {
                String id = nextId();
                Lab.Message answer = http.call(head(false, id, ""), new byte[0]);
                if (answer == null) {
                    return;
                }
                served.addAndGet(answer.status == 200 ? 1 : 0);
            }
        }
    }

    private void upload(int port) throws IOException {
        try (Lab.Http http = new Lab.Http(port, 5000)) {
            String id = nextId();
            byte[] body = new byte[FIRST_CHUNK + SECOND_CHUNK];
            for (int i = 0; i < body.length; i++) {
                body[i] = (byte) ('a' + (i + id.hashCode() & 15));
            }
            sent.put(id, body);
            uploads.incrementAndGet();
            http.send(head(true, id, "Transfer-Encoding: chunked\r\n"), chunk(body, 0, FIRST_CHUNK));
            Lab.sleep(PAUSE_MS);
            http.send("", chunk(body, FIRST_CHUNK, SECOND_CHUNK));
            http.send("0\r\n\r\n", new byte[0]);
            Lab.Message answer = http.read(true);
            lab.note("client: upload " + id + " is answered " + (answer == null ? "by a close" : answer.status));
            if (answer != null && answer.status == 200) {
                uploadsServed.incrementAndGet();
            }
        }
    }

    private static byte[] chunk(byte[] body, int from, int length) {
        byte[] start = (Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
        byte[] bytes = java.util.Arrays.copyOf(start, start.length + length + 2);
        System.arraycopy(body, from, bytes, start.length, length);
        bytes[bytes.length - 2] = '\r';
        bytes[bytes.length - 1] = '\n';
        return bytes;
    }
}
