import java.io.IOException;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Some answers of servers are followed by a second copy some milliseconds later; each client must get its own. */
public final class LateCopies {
    private static final int SECONDS = 60;
    private static final int CLIENTS = 24;
    /** How long after an answer its second copy comes. */
    private static final double LATE_MS = Double.parseDouble(System.getProperty("late", "8"));
    private static final double COPIED_SHARE = 0.1;
    private static final String[] ZONES = {"amsterdam", "utrecht", "eindhoven"};

    private LateCopies() {}

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        Kit.begin(Path.of(args[1]));
        AtomicLong copies = new AtomicLong();
        Kit.Registry registry = new Kit.Registry();
        for (int i = 0; i < 9; i++) {
            String host = "s-" + i;
            Random random = new Random(i);
            int server = Kit.startServer((request, in, out) -> serve(host, random, copies, request, in, out))
                    .getLocalPort();
            String zone = ZONES[i % 3];
            double oneWayMs = zone.equals(ZONES[0]) ? 0.24 : 4;
            registry.put(host, Kit.startWay(server, oneWayMs).getLocalPort(), zone, "active");
        }
        int listen = Kit.freePort();
        String config = Kit.config(
                "n0",
                listen,
                registry,
                registry.port(),
                512,
                ZONES[0],
                3,
                Kit.requestClass("session-status", "safe", 1200, 3000, 2) + ","
                        + Kit.requestClass("session-start", "unsafe", 600, 1500, 5));
        Process node = Kit.startNode(root, Path.of(args[1]), "n0", listen, registry.port(), config);
        if (!Kit.awaitReady(listen, 30_000)) {
            Kit.failed("the node is not ready");
        }
        AtomicInteger served = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        AtomicInteger foreign = new AtomicInteger();
        Thread[] clients = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients[i] = Kit.daemon(() -> runClient(number, listen, served, other, foreign));
        }
        for (Thread client : clients) {
            client.join();
        }
        boolean alive = node.isAlive();
        node.destroy();
        node.waitFor();
        Kit.log("n0");
        Kit.say("served with their own answer " + served + ", refused or failed " + other + ", second copies " + copies
                + ", served with the answer of another request " + foreign + (alive ? "" : ", the node had ended"));
        if (served.get() == 0) {
            Kit.failed("nothing was served");
        }
        Kit.exit(foreign.get() > 0 || !alive);
    }

    private static void serve(
            String host,
            Random random,
            AtomicLong copies,
            Kit.Message request,
            java.io.InputStream in,
            java.io.OutputStream out)
            throws Exception {
        String id = request.field("X-Correlation-Id");
        double workMs;
        boolean copied;
        synchronized (random) {
            workMs = -Math.log(1 - random.nextDouble()) * 60;
            copied = random.nextDouble() < COPIED_SHARE;
        }
        Kit.sleepMs(Math.min(workMs, 400));
        String body = "answer to " + id;
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        Kit.write(out, answer);
        Kit.record("server " + host + " ran " + id);
        if (copied && Kit.TROUBLE) {
            Kit.sleepMs(LATE_MS);
            // Only where nothing else waits on the connection.
            if (in.available() == 0) {
                Kit.write(out, answer);
                copies.incrementAndGet();
                Kit.record("server " + host + " sent a second copy of the answer to " + id);
            }
        }
    }

    private static void runClient(
            int number, int listen, AtomicInteger served, AtomicInteger other, AtomicInteger foreign) {
        Random random = new Random(100 + number);
        Kit.Connection connection = null;
        int count = 0;
        while (Kit.nowMs() < SECONDS * 1000) {
            boolean start = random.nextBoolean();
            String id = "c" + number + "-" + count++;
            try {
                connection = connection == null ? new Kit.Connection(listen) : connection;
                connection.send(Kit.request(
                        start ? "POST" : "GET",
                        start ? "session-start" : "session-status",
                        id,
                        start ? 1500 : 3000,
                        start ? "start" : ""));
                Kit.Message answer = connection.read();
                if (answer == null) {
                    throw new IOException("ended with no answer");
                }
                boolean own = answer.text().equals("answer to " + id);
                Kit.record("client " + id + " got " + answer.status() + " '" + answer.text().strip() + "'"
                        + (answer.status() == 200 && !own ? " FOREIGN" : ""));
                (answer.status() != 200 ? other : own ? served : foreign).incrementAndGet();
                if ("close".equals(answer.field("Connection"))) {
                    connection.close();
                    connection = null;
                }
            } catch (IOException e) {
                Kit.record("client " + id + " got nothing: " + e);
                connection = null;
            }
            Kit.sleepMs(random.nextDouble() * 300);
        }
    }
}
