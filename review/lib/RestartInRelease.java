import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * Front nodes are killed and started again while servers are replaced; nothing may be sent to a draining server later
 * than the grace allows, counted from when the agent had it, for a new process from its first moment.
 */
public final class RestartInRelease {
    private static final int SERVERS = Integer.getInteger("servers", 2000);
    private static final int NODES = Integer.getInteger("nodes", 3);
    private static final int CLIENTS_PER_NODE = 16;
    /** From the kill to the start of the new process. */
    private static final int DOWN_MS = 7000;
    /** Six in ten servers within 7 s. */
    private static final double REPLACED_PER_MS = 0.6 / 7000;

    private static final int STEP_MS = 100;
    /** The drain grace of the settings, and 50 ms that every time limit is longer on sockets. */
    private static final double GRACE_MS = 550;

    /** A server: when its agent had that it drains; infinite as long as it does not. */
    private static final class Server {
        final String host;
        int port;
        volatile double drainsSinceMs = Double.POSITIVE_INFINITY;

        Server(String host) {
            this.host = host;
        }
    }

    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger OTHER = new AtomicInteger();
    private static final AtomicInteger TO_DRAINING = new AtomicInteger();
    private static final AtomicInteger TOO_LATE = new AtomicInteger();
    /** When the present process of each node was started. */
    private static final double[] STARTED_MS = new double[NODES];

    /** How often the front asks a node that is not admitted whether it is ready. */
    private static final int FRONT_MS = 100;

    private static final AtomicIntegerArray ADMITTED = new AtomicIntegerArray(NODES);

    private static volatile boolean ended;

    private RestartInRelease() {}

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        Path folder = Path.of(args[1]);
        Kit.begin(folder);
        Selector selector = Selector.open();
        List<Server> servers = new ArrayList<>();
        int replaced = (int) (SERVERS * REPLACED_PER_MS * DOWN_MS);
        for (int i = 0; i < SERVERS + replaced; i++) {
            Server server = new Server(String.format("s-%08x", new Random(i).nextInt()));
            ServerSocketChannel listener = ServerSocketChannel.open();
            listener.bind(new InetSocketAddress(Kit.LOOPBACK, 0), 128);
            listener.configureBlocking(false);
            listener.register(selector, SelectionKey.OP_ACCEPT, server);
            server.port = listener.socket().getLocalPort();
            servers.add(server);
        }
        Kit.daemon(() -> accept(selector));
        Kit.Registry registry = new Kit.Registry();
        for (int i = 0; i < SERVERS; i++) {
            registry.put(servers.get(i).host, servers.get(i).port, "amsterdam", "active");
        }
        int[] ports = new int[NODES];
        String[] configs = new String[NODES];
        Process[] nodes = new Process[NODES];
        for (int i = 0; i < NODES; i++) {
            ports[i] = Kit.freePort();
            configs[i] = Kit.config(
                    "n" + i,
                    ports[i],
                    registry,
                    registry.port(),
                    512,
                    "amsterdam",
                    NODES,
                    Kit.requestClass("session-status", "safe", 1200, 3000, 2) + ","
                            + Kit.requestClass("session-start", "unsafe", 600, 1500, 5));
            nodes[i] = start(root, folder, i, ports[i], registry, configs[i]);
        }
        for (int i = 0; i < NODES; i++) {
            if (!Kit.awaitReady(ports[i], 30_000)) {
                Kit.failed("a node is not ready");
            }
            int node = i;
            Kit.daemon(() -> runFront(node, ports[node]));
            for (int j = 0; j < CLIENTS_PER_NODE; j++) {
                int client = j;
                Kit.daemon(() -> runClient(node, client, ports[node]));
            }
        }
        Kit.sleepMs(4000);
        if (Kit.TROUBLE) {
            for (int i = 0; i < NODES; i++) {
                Kit.record("node n" + i + " is killed");
                nodes[i].destroyForcibly();
                nodes[i].waitFor();
                ADMITTED.set(i, 0);
            }
        }
        release(registry, servers, replaced);
        if (Kit.TROUBLE) {
            for (int i = 0; i < NODES; i++) {
                // 'known' is the list that the node last held.
                nodes[i] = start(root, folder, i, ports[i], registry, configs[i]);
                Kit.record("node n" + i + " is started again");
            }
        }
        Kit.sleepMs(6000);
        ended = true;
        Kit.sleepMs(1000);
        boolean alive = true;
        for (int i = 0; i < NODES; i++) {
            alive &= nodes[i].isAlive();
            nodes[i].destroyForcibly();
            nodes[i].waitFor();
            Kit.log("n" + i);
        }
        Kit.say("served " + SERVED + ", refused or failed " + OTHER + ", servers that drain " + replaced + " of " + SERVERS
                + ", requests sent to them " + TO_DRAINING + ", later than " + GRACE_MS + " ms after their node was told "
                + TOO_LATE + (alive ? "" : "; a node has ended"));
        if (SERVED.get() == 0) {
            Kit.failed("nothing was served");
        }
        Kit.exit(TOO_LATE.get() > 0 || !alive);
    }

    private static Process start(Path root, Path folder, int node, int port, Kit.Registry registry, String config)
            throws IOException {
        Process process = Kit.startNode(root, folder, "n" + node, port, registry.port(), config);
        // Later than the first moment of the process, never earlier.
        STARTED_MS[node] = Kit.nowMs();
        return process;
    }

    /** Replaces servers in steps: old ones drain, new ones are listed. */
    private static void release(Kit.Registry registry, List<Server> servers, int replaced) {
        int done = 0;
        double startMs = Kit.nowMs();
        while (done < replaced) {
            Kit.sleepMs(STEP_MS);
            int until = (int) Math.min(replaced, (Kit.nowMs() - startMs) * REPLACED_PER_MS * SERVERS);
            Map<String, String> changes = new LinkedHashMap<>();
            List<Server> draining = new ArrayList<>();
            for (; done < until; done++) {
                // Spread over the list.
                Server old = servers.get((int) ((long) done * SERVERS / replaced));
                Server fresh = servers.get(SERVERS + done);
                changes.put(old.host, Kit.Registry.entry(old.host, old.port, "amsterdam", "leaving"));
                changes.put(
                        fresh.host,
                        Kit.Registry.entry(
                                fresh.host, fresh.port, "amsterdam", "active", System.currentTimeMillis()));
                draining.add(old);
            }
            if (!draining.isEmpty()) {
                registry.change(changes);
                // Once discovery has written it.
                double nowMs = Kit.nowMs();
                draining.forEach(server -> server.drainsSinceMs = nowMs);
                Kit.record("the agents have it that " + draining.size() + " further servers drain");
            }
        }
    }

    private static void accept(Selector selector) {
        try {
            while (true) {
                selector.select();
                for (SelectionKey key : selector.selectedKeys()) {
                    SocketChannel accepted = ((ServerSocketChannel) key.channel()).accept();
                    Server server = (Server) key.attachment();
                    if (accepted != null) {
                        accepted.configureBlocking(true);
                        Kit.daemon(() -> serve(server, accepted.socket()));
                    }
                }
                selector.selectedKeys().clear();
            }
        } catch (IOException e) {
            Kit.failed("the servers can't accept: " + e);
        }
    }

    private static void serve(Server server, Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                in.mark(1);
                if (in.read() < 0) {
                    return;
                }
                double firstByteMs = Kit.nowMs();
                in.reset();
                Kit.Message request = Kit.readMessage(in);
                String id = request.field("X-Correlation-Id");
                if (firstByteMs < server.drainsSinceMs) {
                    Kit.sleepMs(20 + Math.floorMod(id.hashCode(), 60));
                    Kit.write(socket.getOutputStream(), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                    continue;
                }
                // The id begins with the number of the node that the client used.
                double startedMs = STARTED_MS[Integer.parseInt(id.substring(0, id.indexOf('-')))];
                double sinceToldMs = firstByteMs - Math.max(server.drainsSinceMs, startedMs);
                TO_DRAINING.incrementAndGet();
                Kit.record(String.format(
                        "%s, which drains, was sent %s %.0f ms after the agent had that, %.0f ms after the start of the"
                                + " node's process%s",
                        server.host,
                        id,
                        firstByteMs - server.drainsSinceMs,
                        firstByteMs - startedMs,
                        sinceToldMs > GRACE_MS ? ": TOO LATE" : ""));
                if (sinceToldMs > GRACE_MS) {
                    TOO_LATE.incrementAndGet();
                }
                Kit.write(
                        socket.getOutputStream(),
                        "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
            }
        } catch (IOException e) {
            return;
        }
    }

    /** Admits a node once it says that it is ready. */
    private static void runFront(int node, int port) {
        while (!ended) {
            Kit.sleepMs(FRONT_MS);
            if (ADMITTED.get(node) == 0 && Kit.awaitReady(port, 1)) {
                ADMITTED.set(node, 1);
                Kit.record("the front admits node n" + node);
            }
        }
    }

    private static void runClient(int node, int number, int port) {
        Random random = new Random(node * 1000L + number);
        Kit.Connection connection = null;
        for (int count = 0; !ended; count++) {
            if (ADMITTED.get(node) == 0) {
                Kit.sleepMs(5);
                connection = null;
                continue;
            }
            String id = node + "-" + number + "-" + count;
            boolean start = random.nextBoolean();
            try {
                connection = connection == null ? new Kit.Connection(port) : connection;
                connection.send(Kit.request(
                        start ? "POST" : "GET",
                        start ? "session-start" : "session-status",
                        id,
                        start ? 1500 : 3000,
                        start ? "start" : ""));
                Kit.Message answer = connection.read();
                if (answer == null) {
                    throw new IOException("ended");
                }
                (answer.status() == 200 ? SERVED : OTHER).incrementAndGet();
                Kit.record("client " + id + " got " + answer.status());
                if ("close".equals(answer.field("Connection"))) {
                    connection.close();
                    connection = null;
                }
            } catch (IOException e) {
                // The node is down, and the front has not noticed it yet.
                connection = null;
            }
            Kit.sleepMs(connection == null ? 20 : 20 + random.nextDouble() * 100);
        }
    }
}
