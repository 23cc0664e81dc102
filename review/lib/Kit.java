import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What all cases share: free ports, HTTP messages on plain sockets, a node's process, the registry and the record. */
final class Kit {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final long START = System.nanoTime();
    private static PrintWriter record;
    private static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();

    private Kit() {}

    static double nowMs() {
        return (System.nanoTime() - START) / 1e6;
    }

    static void sleepMs(double ms) {
        try {
            long nanos = (long) (ms * 1e6);
            Thread.sleep(nanos / 1_000_000, (int) (nanos % 1_000_000));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Opens the record in the folder of the case and ends all processes at the exit. */
    static void begin(Path folder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), false);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            PROCESSES.forEach(Process::destroyForcibly);
            PROCESSES.forEach(process -> process.onExit().join());
            synchronized (Kit.class) {
                record.flush();
            }
        }));
    }

    static synchronized void record(String line) {
        record.printf("%10.1f %s%n", nowMs(), line);
    }

    static void say(String line) {
        record(line);
        System.out.println(line);
    }

    /** Ends the case: the rule was broken, or held. */
    static void exit(boolean broken) {
        exit(broken ? 10 : 0);
    }

    /** Ends the case, which could not run. */
    static void failed(String reason) {
        say("could not run: " + reason);
        exit(2);
    }

    private static void exit(int status) {
        synchronized (Kit.class) {
            record.flush();
        }
        System.exit(status);
    }

    /** A free port outside the range from which systems give clients theirs, so that no client takes it meanwhile. */
    static int freePort() throws IOException {
        for (int i = 0; i < 1000; i++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 30_000);
            try (ServerSocket socket = new ServerSocket(port, 1, LOOPBACK)) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // In use: the next one.
            }
        }
        throw new IOException("no free port");
    }

    static String at(int port) {
        return "127.0.0.1:" + port;
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Starts a node by the run line of the deploy file, as the platform does. */
    static Process startNode(Path root, Path folder, String name, int listen, int discovery, String config)
            throws IOException {
        return startNode(root, folder, name, listen, discovery, config, Map.of());
    }

    static Process startNode(
            Path root, Path folder, String name, int listen, int discovery, String config, Map<String, String> more)
            throws IOException {
        Path temporary = Path.of(System.getProperty("java.io.tmpdir"));
        Path file = temporary.resolve(name + ".json");
        Files.writeString(file, config);
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("no run line");
        }
        // Private and empty at every start.
        Path shared = Files.createTempDirectory(temporary, "tmp-" + name + "-");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile());
        builder.environment().putAll(new TreeMap<>(Map.of(
                "PROXY_NAME", name,
                "PROXY_LISTEN", at(listen),
                "PROXY_DISCOVERY", at(discovery),
                "PROXY_CONFIG", file.toString(),
                "TMPDIR", shared.toString())));
        builder.environment().putAll(more);
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                temporary.resolve(name + ".log").toFile()));
        Process process = builder.start();
        PROCESSES.add(process);
        return process;
    }

    /** Starts a further program of the project. */
    static Process start(Path root, String name, Map<String, String> more, String... command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true);
        builder.environment().putAll(more);
        builder.redirectOutput(Path.of(System.getProperty("java.io.tmpdir")).resolve(name + ".log").toFile());
        Process process = builder.start();
        PROCESSES.add(process);
        return process;
    }

    static void log(String name) throws IOException {
        Path file = Path.of(System.getProperty("java.io.tmpdir")).resolve(name + ".log");
        for (String line : Files.readString(file).split("\n")) {
            record("log of " + name + ": " + line);
        }
    }

    /** Waits until the node says that it is ready. */
    static boolean awaitReady(int port, double limitMs) {
        double until = nowMs() + limitMs;
        do {
            try (Connection connection = new Connection(port)) {
                connection.send("GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
                Message answer = connection.read();
                if (answer != null && answer.start.contains(" 200 ")) {
                    return true;
                }
            } catch (IOException e) {
                // Not up yet.
            }
            sleepMs(Math.min(20, limitMs));
        } while (nowMs() < until);
        return false;
    }

    /** One HTTP message. */
    static final class Message {
        String start;
        final Map<String, String> fields = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String field(String name) {
            return fields.get(name.toLowerCase(java.util.Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new IOException("cut in a line");
            }
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).replaceAll("\r$", "");
            }
            line.write(next);
        }
    }

    /** Reads a message's head; null at an end in order before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        message.start = readLine(in);
        if (message.start == null) {
            return null;
        }
        for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
            if (line == null) {
                throw new IOException("cut in a head");
            }
            int colon = line.indexOf(':');
            message.fields.put(
                    line.substring(0, colon).toLowerCase(java.util.Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return message;
    }

    static Message readMessage(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) {
            return null;
        }
        if (message.field("Transfer-Encoding") != null) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new IOException("cut in a chunk");
                }
                int length = Integer.parseInt(size.strip(), 16);
                body.write(readExactly(in, length));
                readLine(in);
                if (length == 0) {
                    break;
                }
            }
            message.body = body.toByteArray();
        } else if (message.field("Content-Length") != null) {
            message.body = readExactly(in, Integer.parseInt(message.field("Content-Length")));
        }
        return message;
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("cut in a body");
        }
        return bytes;
    }

    /** A client's connection. */
    static final class Connection implements AutoCloseable {
        final Socket socket;
        final InputStream in;

        Connection(int port) throws IOException {
            this(port, 0);
        }

        Connection(int port, int receiveBuffer) throws IOException {
            socket = new Socket();
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.connect(new InetSocketAddress(LOOPBACK, port), 2000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(30_000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        Message read() throws IOException {
            return readMessage(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static String request(String method, String className, String id, int timeLeftMs, String body) {
        record("client " + id + " sends " + method + " " + className);
        return method + " /" + className + "?n=1 HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: " + id
                + "\r\nX-Service-Class: " + className + "\r\nX-Account: member\r\nX-Time-Left-Ms: " + timeLeftMs
                + (method.equals("GET") ? "" : "\r\nContent-Length: " + body.length()) + "\r\n\r\n" + body;
    }

    /** An agent of the registry: answers each watch at once with the whole list, and tells changes as they come. */
    static final class Registry {
        final ServerSocket listener;
        private final List<Socket> watches = new CopyOnWriteArrayList<>();
        private final Map<String, String> hosts = new LinkedHashMap<>();
        private long version = 1;

        Registry() throws IOException {
            listener = new ServerSocket(0, 200, LOOPBACK);
            daemon(this::accept);
            daemon(this::beat);
        }

        int port() {
            return listener.getLocalPort();
        }

        synchronized void put(String host, int port, String zone, String health) {
            hosts.put(host, entry(host, port, zone, health));
        }

        static String entry(String host, int port, String zone, String health) {
            return entry(host, port, zone, health, 0);
        }

        static String entry(String host, int port, String zone, String health, long bornMs) {
            return "{\"host\":\"" + host + "\",\"dial\":\"" + at(port) + "\",\"site\":\"" + zone
                    + "\",\"class\":\"gw-std\",\"block\":1,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":" + bornMs + "}";
        }

        synchronized String list() {
            return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + String.join(",", hosts.values()) + "]}";
        }

        /** Changes these entries, by host, and tells so to all watches. */
        synchronized void change(Map<String, String> entries) {
            version++;
            hosts.putAll(entries);
            String change =
                    "{\"seq\":" + version + ",\"whole\":false,\"hosts\":[" + String.join(",", entries.values()) + "]}\n";
            watches.forEach(watch -> chunk(watch, change));
        }

        private void chunk(Socket watch, String text) {
            try {
                watch.getOutputStream()
                        .write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                watches.remove(watch);
            }
        }

        private void beat() {
            while (true) {
                sleepMs(2000);
                synchronized (this) {
                    watches.forEach(watch -> chunk(watch, "\n"));
                }
            }
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> watch(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void watch(Socket socket) {
            try {
                if (readHead(new BufferedInputStream(socket.getInputStream())) == null) {
                    return;
                }
                synchronized (this) {
                    socket.getOutputStream()
                            .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    .getBytes(StandardCharsets.ISO_8859_1));
                    chunk(socket, list() + "\n");
                    watches.add(socket);
                }
            } catch (IOException e) {
                return;
            }
        }
    }

    /** A configuration with the figures of roaming-hub-nl, its first tier; the classes are given as JSON objects. */
    static String config(
            String name, int listen, Registry registry, int discovery, int sockets, String zone, int nodes, String classes) {
        return "{\"name\":\"" + name + "\",\"listen\":\"" + at(listen) + "\",\"discovery\":\"" + at(discovery)
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets
                + "},\"known\":" + registry.list() + ",\"settings\":{\"classes\":[" + classes
                + "],\"clientHabits\":{\"marksRetry\":false},\"discovery\":\"pushed\",\"family\":\"chain\","
                + "\"familyInfo\":{\"passesDeadline\":true},\"layers\":[\"gateway\",\"sessions\"],"
                + "\"localities\":[\"amsterdam\",\"utrecht\",\"eindhoven\"],\"machineTypes\":[\"gw-std\",\"gw-small\"],"
                + "\"me\":0,\"objectiveMix\":{\"whole\":0.45,\"worstClass\":0.1,\"worstTenant\":0.1,\"worstWindow\":0.35},"
                + "\"overShareWorth\":0.05,\"policyLimits\":{\"connectTimeout\":120000,\"cpuUsPerRequest\":0.0,"
                + "\"cpuUsPerS\":1000000,\"idleClose\":30000000,\"maxAttempts\":4,\"maxRetryAfter\":1500000,"
                + "\"mayCancel\":true,\"mayProbe\":true,\"mayTell\":false,\"openCap\":40000,\"retryAfter\":true,"
                + "\"secondCopies\":true,\"streamsPerConn\":1},\"prices\":{\"waste\":0.13},\"replicasOfMe\":" + nodes
                + ",\"report\":{\"columns\":[],\"how\":\"none\"},\"rules\":{\"answerSlack\":8000,\"coldFrom\":0.17,"
                + "\"drainGrace\":500000,\"fall\":1000000,\"fallMultiple\":4.0,\"mustAskIn\":10000000,"
                + "\"warmAfter\":24000000},\"tenants\":[{\"name\":\"member\",\"quotaPerS\":400.0,\"share\":1.0}],"
                + "\"tick\":5000,\"tier\":0,\"weights\":\"none\",\"worthBy\":\"work\",\"zone\":\"" + zone + "\"}}";
    }

    /** A class of the settings; times in milliseconds. */
    static String requestClass(String name, String effect, int aimMs, int giveUpMs, double worth) {
        return "{\"aim\":" + aimMs + "000,\"dedupScope\":\"all\",\"effect\":\"" + effect + "\",\"giveUp\":" + giveUpMs
                + "000,\"keyTtl\":5000000,\"lateShare\":0.0,\"name\":\"" + name + "\",\"stream\":false,\"worth\":" + worth
                + "}";
    }

    /** What a server does with a request that has come whole. */
    interface Handler {
        void handle(Message request, InputStream in, java.io.OutputStream out) throws Exception;
    }

    /** Thrown by a handler: the server resets its connection. */
    static final class Reset extends Exception {
        private static final long serialVersionUID = 1;
    }

    /** A server: a thread for each connection, one request at a time. */
    static ServerSocket startServer(Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket(0, 1024, LOOPBACK);
        daemon(() -> {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> {
                        try (socket) {
                            InputStream in = new BufferedInputStream(socket.getInputStream());
                            for (Message next = readMessage(in); next != null; next = readMessage(in)) {
                                try {
                                    handler.handle(next, in, socket.getOutputStream());
                                } catch (Reset e) {
                                    socket.setSoLinger(true, 0);
                                    return;
                                }
                            }
                        } catch (Exception e) {
                            return;
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        });
        return listener;
    }

    static void write(java.io.OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** The way between two machines: passes bytes on, in order, after a delay each way. */
    static ServerSocket startWay(int target, double oneWayMs) throws IOException {
        ServerSocket listener = new ServerSocket(0, 1024, LOOPBACK);
        daemon(() -> {
            while (true) {
                try {
                    Socket near = listener.accept();
                    daemon(() -> {
                        try {
                            Socket far = new Socket(LOOPBACK, target);
                            near.setTcpNoDelay(true);
                            far.setTcpNoDelay(true);
                            daemon(() -> pass(near, far, oneWayMs));
                            pass(far, near, oneWayMs);
                        } catch (IOException e) {
                            closeQuietly(near);
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        });
        return listener;
    }

    private record Piece(double dueMs, byte[] bytes) {}

    private static void pass(Socket from, Socket to, double delayMs) {
        java.util.concurrent.LinkedBlockingQueue<Piece> pieces = new java.util.concurrent.LinkedBlockingQueue<>();
        daemon(() -> {
            try {
                while (true) {
                    Piece piece = pieces.take();
                    while (piece.dueMs() > nowMs()) {
                        sleepMs(Math.max(0.05, piece.dueMs() - nowMs()));
                    }
                    if (piece.bytes() == null) {
                        to.shutdownOutput();
                        return;
                    }
                    to.getOutputStream().write(piece.bytes());
                }
            } catch (IOException | InterruptedException e) {
                closeQuietly(from);
                closeQuietly(to);
            }
        });
        byte[] buffer = new byte[65536];
        try {
            for (int n = from.getInputStream().read(buffer); n >= 0; n = from.getInputStream().read(buffer)) {
                pieces.add(new Piece(nowMs() + delayMs, java.util.Arrays.copyOf(buffer, n)));
            }
            pieces.add(new Piece(nowMs() + delayMs, null));
        } catch (IOException e) {
            pieces.add(new Piece(nowMs() + delayMs, null));
        }
    }

    static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            return;
        }
    }
}
