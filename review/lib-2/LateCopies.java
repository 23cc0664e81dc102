import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Servers send a second copy of some answers some milliseconds late, while nothing else waits on the connection. */
final class LateCopies {
    private static final int NODES = 3;
    private static final int SERVERS = 3;
    private static final int CLIENTS_PER_NODE = 24;
    private static final int LATE_MS = 10;
    private static final double WAY_MS = 4;
    private static final double LENGTH_MS = 75_000;
    private static final int EVERY = 50;

    private final Lab lab;
    private volatile double firstCopyMs = Double.POSITIVE_INFINITY;
    private final AtomicLong ids = new AtomicLong();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger copies = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger foreign = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final Map<String, String> runBy = new ConcurrentHashMap<>();

    private LateCopies(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.main(arguments[0], lab -> new LateCopies(lab).run());
    }

    private int run() throws Exception {
        List<Lab.Host> hosts = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            String name = "s-" + i;
            Lab.Listener server = new Lab.Listener(name, connection -> serve(name, connection));
            hosts.add(new Lab.Host(name, new Lab.Link(server.port(), WAY_MS).port(), "active"));
        }
        Lab.Discovery discovery = new Lab.Discovery(lab, 41, hosts);
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            int port = Lab.freePort();
            ports.add(port);
            lab.startNode(
                    "n" + i,
                    Lab.config("n" + i, port, discovery.port(), NODES, 512, Lab.list(41, true, hosts), "unsafe", 4),
                    Map.of());
        }
        for (int port : ports) {
            lab.awaitReady(port, 20_000);
        }
        List<Thread> clients = new ArrayList<>();
        for (int port : ports) {
            for (int i = 0; i < CLIENTS_PER_NODE; i++) {
                clients.add(Lab.spawn("client", () -> client(port)));
            }
        }
        firstCopyMs = lab.nowMs() + 3000;
        double until = lab.nowMs() + LENGTH_MS;
        while (lab.nowMs() < until && foreign.get() == 0) {
            Lab.sleep(100);
        }
        ended.set(true);
        for (Thread client : clients) {
            client.join(5000);
        }
        lab.note("answers " + answers + ", second copies " + copies + ", served " + served + ", with another's answer "
                + foreign + ", other answers " + others);
        if (served.get() == 0) {
            return Lab.CANNOT_RUN;
        }
        return foreign.get() > 0 ? Lab.BROKEN : Lab.HELD;
    }

    private void serve(String name, java.net.Socket connection) {
        try {
            Lab.Http http = new Lab.Http(connection);
            for (Lab.Message request = http.read(false); request != null; request = http.read(false)) {
                String id = request.field("X-Correlation-Id");
                if (id == null) {
                    http.out.write(Lab.response(404, "", ""));
                    continue;
                }
                runBy.put(id, name);
                Lab.sleep(2);
                byte[] answer = Lab.response(200, "", "answer to " + id);
                http.out.write(answer);
                boolean withCopy = answers.incrementAndGet() % EVERY == 0 && lab.trouble && lab.nowMs() > firstCopyMs;
                if (withCopy && Lab.silentFor(http, LATE_MS)) {
                    copies.incrementAndGet();
                    lab.note(name + ": second copy of the answer to " + id);
                    http.out.write(answer);
                }
            }
        } catch (IOException e) {
            // The node has closed the connection.
        }
    }

    private void client(int port) {
        try {
            Lab.Http http = new Lab.Http(port, 5000);
            while (!ended.get()) {
                String id = String.format("%016x", 0x5a00000000000000L + ids.incrementAndGet());
                boolean unsafe = ids.get() % 2 == 0;
                String path = unsafe ? "start" : "status";
                Lab.Message answer = http.call(
                        (unsafe ? "POST" : "GET") + " /" + path + "/a HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: "
                                + id + "\r\nX-Service-Class: " + path
                                + "\r\nX-Account: stroomlijn\r\nX-Time-Left-Ms: 1400\r\n"
                                + (unsafe ? "Content-Length: 0\r\n" : "") + "\r\n",
                        new byte[0]);
                if (answer == null) {
                    http = new Lab.Http(port, 5000);
                    continue;
                }
                if (answer.status == 200 && answer.text().equals("answer to " + id)) {
                    served.incrementAndGet();
                } else if (answer.status == 200) {
                    foreign.incrementAndGet();
                    lab.note("request " + id + " at the node of port " + port + ", run by " + runBy.get(id)
                            + ", was answered 200 with \"" + answer.text() + "\"");
                } else {
                    others.incrementAndGet();
                }
                Lab.sleep(5 + Math.random() * 3);
            }
        } catch (IOException e) {
            lab.note("client: " + e);
        }
    }
}
