import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A node is replaced while clients hold a third of its descriptors and use all their connections. */
final class FullUpgrade {
    private static final int SERVERS = 9;
    private static final int SOCKETS = 256;
    private static final int CLIENTS = SOCKETS / 3;
    private static final int UPGRADES = 5;
    private static final double KILL_AFTER_MS = 3700;
    private static final int GRACE_MS = 550;

    private final Lab lab;
    private final AtomicLong ids = new AtomicLong();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger sentAgain = new AtomicInteger();
    private final AtomicInteger notTaken = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicBoolean ended = new AtomicBoolean();

    private FullUpgrade(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.main(arguments[0], lab -> new FullUpgrade(lab).run());
    }

    private int run() throws Exception {
        List<Lab.Host> hosts = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            Lab.Listener server = new Lab.Listener("s-" + i, this::serve);
            hosts.add(new Lab.Host("s-" + i, server.port(), "active"));
        }
        Lab.Discovery discovery = new Lab.Discovery(lab, 41, hosts);
        int port = Lab.freePort();
        String config = Lab.config("n0", port, discovery.port(), 1, SOCKETS, Lab.list(41, true, hosts), "unsafe", 4);
        Path shared = Files.createDirectories(lab.temporary.resolve("shared"));
        Process node = start(config, shared, Lab.freePort());
        lab.awaitReady(port, 20_000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Lab.spawn("client", () -> client(port)));
        }
        Lab.sleep(6000);
        for (int i = 0; i < UPGRADES && lost.get() == 0; i++) {
            if (lab.trouble) {
                int management = Lab.freePort();
                Process next = start(config, shared, management);
                double until = lab.nowMs() + 6000;
                while (!ping(management)) {
                    if (lab.nowMs() > until) {
                        lab.note("the new process is not ready after 6 s");
                        return Lab.CANNOT_RUN;
                    }
                    Lab.sleep(50);
                }
                lab.note("the new process answers +OK");
                Lab.sleep(1000);
                lab.signal(node, "TERM");
                double killAt = lab.nowMs() + KILL_AFTER_MS;
                while (node.isAlive() && lab.nowMs() < killAt) {
                    Lab.sleep(10);
                }
                lab.note("the old process has " + (node.isAlive() ? "to be killed" : "ended"));
                node.destroyForcibly();
                node = next;
            }
            Lab.sleep(5000);
        }
        ended.set(true);
        for (Thread client : clients) {
            client.join(5000);
        }
        lab.noteLog("n0", 10);
        lab.note(CLIENTS + " clients; answered " + answered + ", of these refused " + refused + "; sent again after a close "
                + sentAgain + ", not taken by any connection " + notTaken + "; lost " + lost);
        if (answered.get() < 1000) {
            return Lab.CANNOT_RUN;
        }
        return lost.get() > 0 ? Lab.BROKEN : Lab.HELD;
    }

    private Process start(String config, Path shared, int management) throws IOException {
        return lab.startNode(
                "n0", config, Map.of("TMPDIR", shared.toString(), "PROXY_MGMT", "127.0.0.1:" + management));
    }

    private static boolean ping(int port) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(1000);
            socket.getOutputStream().write("PING\n".getBytes());
            String line = new BufferedReader(new InputStreamReader(socket.getInputStream())).readLine();
            return line != null && line.startsWith("+OK");
        } catch (IOException e) {
            return false;
        }
    }

    private void serve(Socket connection) {
        try {
            Lab.Http http = new Lab.Http(connection);
            for (Lab.Message request = http.read(false); request != null; request = http.read(false)) {
                Lab.sleep(20 + Math.random() * 20);
                http.out.write(Lab.response(200, "", "answer to " + request.field("X-Correlation-Id")));
            }
        } catch (IOException e) {
            // The node has closed the connection.
        }
    }

    private void client(int port) {
        Lab.Http http = null;
        while (!ended.get()) {
            long number = ids.incrementAndGet();
            String id = String.format("%016x", 0x5a00000000000000L + number);
            boolean unsafe = number % 2 == 0;
            int timeLeftMs = (int) ((unsafe ? 1500 : 3000) * (0.4 + 0.4 * Math.random()));
            String path = unsafe ? "start" : "status";
            String head = (unsafe ? "POST" : "GET") + " /" + path + "/a HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: "
                    + id + "\r\nX-Service-Class: " + path + "\r\nX-Account: stroomlijn\r\nX-Time-Left-Ms: " + timeLeftMs
                    + "\r\n" + (unsafe ? "Content-Length: 0\r\n" : "") + "\r\n";
            boolean first = true;
            while (true) {
                double sentMs = 0;
                try {
                    http = http == null ? new Lab.Http(port, 5000) : http;
                    http.socket.setSoTimeout(timeLeftMs + GRACE_MS);
                    sentMs = lab.nowMs();
                    Lab.Message answer = http.call(head, new byte[0]);
                    if (answer != null) {
                        answered.incrementAndGet();
                        refused.addAndGet(answer.status == 503 ? 1 : 0);
                        http = "close".equals(answer.field("Connection")) ? close(http) : http;
                        break;
                    }
                } catch (SocketTimeoutException e) {
                    lost.incrementAndGet();
                    lab.note("client: " + path + " " + id + ", sent at " + Math.round(sentMs) + " with " + timeLeftMs
                            + " ms left, has no answer " + GRACE_MS + " ms after its time");
                    http = close(http);
                    break;
                } catch (IOException e) {
                    // Refused, or reset before an answer: as a close.
                }
                http = close(http);
                if (!first) {
                    notTaken.incrementAndGet();
                    break;
                }
                first = false;
                sentAgain.incrementAndGet();
            }
            Lab.sleep(5 + Math.random() * 20);
        }
        close(http);
    }

    private static Lab.Http close(Lab.Http http) {
        if (http != null) {
            try {
                http.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
        return null;
    }
}
