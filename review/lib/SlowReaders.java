import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that read their answers of 32 MB at 64 kB a second, without a pause; none may be cut off. */
public final class SlowReaders {
    private static final int CLIENTS = 8;
    private static final int APART_MS = 200;
    private static final int BYTES = 32 * 1024 * 1024;
    /** A piece each 25 ms: 64,000 bytes a second. */
    private static final int PIECE_BYTES = 1600;

    private static final double PIECE_MS = 25;
    private static final int RECEIVE_BYTES = 64 * 1024;
    /** Clients that have not been cut off by then leave. */
    private static final double END_MS = 105_000;

    private static final int TIME_LEFT_MS = 2400;

    /** Requests whose client is still there. */
    private static final Set<String> READING = ConcurrentHashMap.newKeySet();

    private static final Set<String> CUT = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger WHOLE = new AtomicInteger();
    private static final AtomicInteger LEFT = new AtomicInteger();
    private static final AtomicInteger OTHER = new AtomicInteger();

    private SlowReaders() {}

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        Kit.begin(Path.of(args[1]));
        Kit.Registry registry = new Kit.Registry();
        for (int i = 0; i < 9; i++) {
            int server = Kit.startServer((request, in, out) -> serve(request, out)).getLocalPort();
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
        Thread[] clients = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            String id = "long-" + i;
            clients[i] = Kit.daemon(() -> runClient(id, listen));
            Kit.sleepMs(APART_MS);
        }
        for (Thread client : clients) {
            client.join();
        }
        boolean alive = node.isAlive();
        node.destroy();
        node.waitFor();
        Kit.log("n0");
        Kit.say("answers of 32 MB: read whole " + WHOLE + ", still read at the end " + LEFT + ", refused or failed " + OTHER
                + ", cut off by the node while their client read at 64 kB a second " + CUT.size());
        if (WHOLE.get() + LEFT.get() + CUT.size() == 0) {
            Kit.failed("nothing was served");
        }
        Kit.exit(!CUT.isEmpty() || !alive);
    }

    private static void serve(Kit.Message request, OutputStream out) throws Exception {
        String id = request.field("X-Correlation-Id");
        Kit.sleepMs(50);
        Kit.record("server ran " + id + " and begins its answer");
        byte[] piece = new byte[64 * 1024];
        int written = 0;
        try {
            Kit.write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + BYTES + "\r\n\r\n");
            for (; written < BYTES; written += piece.length) {
                out.write(piece);
            }
            Kit.record("server has written the whole answer to " + id);
        } catch (IOException e) {
            boolean reading = READING.contains(id);
            if (reading) {
                CUT.add(id);
            }
            Kit.record("server: the node ended the connection after some " + written + " bytes of the answer to " + id
                    + (reading ? ", whose client goes on reading" : ""));
            throw e;
        }
    }

    private static void runClient(String id, int listen) {
        int read = 0;
        String seen;
        double sentMs = Kit.nowMs();
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(RECEIVE_BYTES);
            socket.connect(new InetSocketAddress(Kit.LOOPBACK, listen));
            socket.setSoTimeout(30_000);
            READING.add(id);
            socket.getOutputStream()
                    .write(Kit.request("GET", "session-status", id, TIME_LEFT_MS, "")
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            Kit.Message head = Kit.readHead(in);
            if (head == null || head.status() != 200) {
                READING.remove(id);
                OTHER.incrementAndGet();
                Kit.record("client " + id + " got " + (head == null ? "nothing" : head.status()));
                return;
            }
            byte[] piece = new byte[Kit.TROUBLE ? PIECE_BYTES : RECEIVE_BYTES];
            double dueMs = Kit.nowMs();
            int count = 0;
            while (read < BYTES && Kit.nowMs() < END_MS && count >= 0) {
                count = in.read(piece, 0, Math.min(piece.length, BYTES - read));
                read += Math.max(0, count);
                if (Kit.TROUBLE) {
                    dueMs += PIECE_MS * count / PIECE_BYTES;
                    Kit.sleepMs(Math.max(0, dueMs - Kit.nowMs()));
                }
            }
            READING.remove(id);
            if (count < 0) {
                CUT.add(id);
                seen = "the end of the connection";
            } else {
                (read == BYTES ? WHOLE : LEFT).incrementAndGet();
                seen = read == BYTES ? "the whole answer" : "no end yet, and leaves";
            }
        } catch (IOException e) {
            READING.remove(id);
            CUT.add(id);
            seen = "no more: " + e.getMessage();
        }
        Kit.record(String.format(
                "client %s read %d of %d bytes in %.1f s: %s", id, read, BYTES, (Kit.nowMs() - sentMs) / 1000, seen));
    }
}
