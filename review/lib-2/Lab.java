import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** What the cases share: the record, processes of the project, free ports, a configuration, small HTTP helpers. */
final class Lab implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int CANNOT_RUN = 2;
    private static final double MAX_LENGTH_MS = 115_000;

    final Path root = Path.of(System.getProperty("root", ".")).toAbsolutePath().normalize();
    final Path temporary;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final BufferedWriter record;
    private boolean closed;
    private final long startNs = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();

    Lab(Path folder) throws IOException {
        record = Files.newBufferedWriter(folder.resolve("record.txt"));
        temporary = Files.createTempDirectory("review");
        note("trouble " + (trouble ? "on" : "off"));
    }

    interface Case {
        /** Returns HELD, BROKEN or CANNOT_RUN. */
        int run(Lab lab) throws Exception;
    }

    /** Runs a case, ends its processes and exits with its result. */
    static void main(String folder, Case body) {
        int status = CANNOT_RUN;
        try (Lab lab = new Lab(Path.of(folder))) {
            Runtime.getRuntime().addShutdownHook(new Thread(lab::endProcesses));
            spawn("limit", () -> lab.endLate());
            try {
                status = body.run(lab);
            } catch (Exception e) {
                lab.note("the case could not run: " + e);
                e.printStackTrace();
            }
            lab.note("result " + status);
        } catch (IOException e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(status);
    }

    /** Ends a case that takes too long. */
    private void endLate() {
        sleep(MAX_LENGTH_MS);
        note("the case takes too long");
        try {
            close();
        } catch (IOException e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(CANNOT_RUN);
    }

    double nowMs() {
        return (System.nanoTime() - startNs) / 1e6;
    }

    synchronized void note(String line) {
        if (closed) {
            return;
        }
        try {
            record.write(String.format(Locale.ROOT, "%10.2f %s%n", nowMs(), line));
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    static void sleep(double ms) {
        try {
            Thread.sleep((long) ms, (int) ((ms - (long) ms) * 1e6));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread spawn(String name, Runnable body) {
        Thread thread = new Thread(null, body, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** The command of a key in the deploy file. */
    String deployCommand(String key) throws IOException {
        String prefix = key + " = \"";
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(prefix)) {
                return line.substring(prefix.length(), line.lastIndexOf('"'));
            }
        }
        throw new IOException("no " + key + " in deploy/balancer.toml");
    }

    /** Starts a command of the shell from the project's root; its output goes to a file of the temporary folder. */
    Process start(String name, String command, Map<String, String> environment) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command).directory(root.toFile());
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(temporary.resolve(name + ".log").toFile()));
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        note("started " + name + ", process " + process.pid());
        return process;
    }

    /** Starts a node by the run line of the deploy file. */
    Process startNode(String name, String config, Map<String, String> more) throws IOException {
        Path folder = Files.createDirectories(temporary.resolve(name + ".tmp"));
        Path file = temporary.resolve(name + ".json");
        Files.writeString(file, config);
        Map<String, String> environment = new LinkedHashMap<>(more);
        environment.put("PROXY_CONFIG", file.toString());
        environment.put("PROXY_NAME", name);
        environment.putIfAbsent("TMPDIR", folder.toString());
        return start(name, deployCommand("run"), environment);
    }

    /** Sends a signal to a process that this case started. */
    void signal(Process process, String signal) throws Exception {
        note("signal " + signal + " to process " + process.pid());
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Waits until a node answers 200 at /health/ready. */
    void awaitReady(int port, double withinMs) throws Exception {
        double until = nowMs() + withinMs;
        while (nowMs() < until) {
            try (Http http = new Http(port, 1000)) {
                if (http.call("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0]).status == 200) {
                    return;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            sleep(50);
        }
        throw new IOException("the node at port " + port + " is not ready");
    }

    /** Copies a log of the temporary folder to the record. */
    void noteLog(String name, int lines) {
        try {
            List<String> all = Files.readAllLines(temporary.resolve(name + ".log"));
            all.subList(Math.max(0, all.size() - lines), all.size()).forEach(line -> note("log of " + name + ": " + line));
        } catch (IOException e) {
            note("no log of " + name);
        }
    }

    record Host(String name, int port, String health) {
        String json() {
            return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"amsterdam\",\"class\":\"std\","
                    + "\"block\":1,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0}";
        }
    }

    static String list(long version, boolean whole, List<Host> hosts) {
        StringBuilder text = new StringBuilder("{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[");
        for (int i = 0; i < hosts.size(); i++) {
            text.append(i == 0 ? "" : ",").append(hosts.get(i).json());
        }
        return text.append("]}").toString();
    }

    /** A configuration like that of a small deployment: two classes, lists pushed. Times are in microseconds there. */
    static String config(
            String name, int port, int discovery, int nodes, int sockets, String list, String startEffect, int attempts) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets
                + "},\"known\":" + list + ",\"settings\":{\"classes\":["
                + "{\"name\":\"status\",\"aim\":1200000,\"giveUp\":3000000,\"effect\":\"safe\",\"worth\":2.0,\"lateShare\":0.0},"
                + "{\"name\":\"start\",\"aim\":600000,\"giveUp\":1500000,\"effect\":\"" + startEffect
                + "\",\"worth\":5.0,\"lateShare\":0.0}],"
                + "\"tenants\":[{\"name\":\"stroomlijn\",\"share\":1.0,\"quotaPerS\":1000}],"
                + "\"me\":0,\"replicasOfMe\":" + nodes + ",\"tier\":0,\"zone\":\"amsterdam\",\"overShareWorth\":0.05,"
                + "\"discovery\":\"pushed\",\"policyLimits\":{\"maxAttempts\":" + attempts
                + ",\"openCap\":20000,\"maxRetryAfter\":1500000,\"mayCancel\":true,\"mayProbe\":false,"
                + "\"secondCopies\":false,\"idleClose\":30000000,\"connectTimeout\":120000},"
                + "\"report\":{\"how\":\"none\",\"columns\":[]},\"rules\":{\"drainGrace\":500000,\"mustAskIn\":10000000,"
                + "\"coldFrom\":0.3,\"warmAfter\":10000000,\"fallMultiple\":4.0,\"fall\":1000000}}}";
    }

    private void endProcesses() {
        synchronized (processes) {
            for (Process process : processes) {
                process.destroyForcibly();
            }
            for (Process process : processes) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
        synchronized (this) {
            closed = true;
            record.close();
        }
    }

    /** A received message: its status or request line, its fields and its body. */
    static final class Message {
        String line;
        int status;
        final Map<String, String> fields = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** A connection that speaks HTTP/1.1. */
    static final class Http implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Http(int port, int timeoutMs) throws IOException {
            this(connect(port));
            socket.setSoTimeout(timeoutMs);
        }

        Http(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new java.io.BufferedInputStream(socket.getInputStream(), 8192);
            out = socket.getOutputStream();
        }

        private static Socket connect(int port) throws IOException {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 2000);
            return socket;
        }

        Message call(String head, byte[] body) throws IOException {
            send(head, body);
            return read(true);
        }

        void send(String head, byte[] body) throws IOException {
            byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
            byte[] bytes = new byte[start.length + body.length];
            System.arraycopy(start, 0, bytes, 0, start.length);
            System.arraycopy(body, 0, bytes, start.length, body.length);
            out.write(bytes);
            out.flush();
        }

        private String line() throws IOException {
            StringBuilder text = new StringBuilder();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    throw new java.io.EOFException("end of the connection");
                }
                if (next != '\r') {
                    text.append((char) next);
                }
            }
            return text.toString();
        }

        /** Reads a message; null if the connection ended before its first byte. */
        Message read(boolean response) throws IOException {
            Message message = readHead();
            if (message != null) {
                if (response) {
                    message.status = Integer.parseInt(message.line.split(" ")[1]);
                }
                readBody(message);
            }
            return message;
        }

        /** Reads the start line and the fields; null if the connection ended before the first byte. */
        Message readHead() throws IOException {
            Message message = new Message();
            try {
                message.line = line();
            } catch (java.io.EOFException e) {
                return null;
            }
            for (String field = line(); !field.isEmpty(); field = line()) {
                int colon = field.indexOf(':');
                message.fields.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
            }
            return message;
        }

        void readBody(Message message) throws IOException {
            String length = message.field("Content-Length");
            if ("chunked".equalsIgnoreCase(message.field("Transfer-Encoding"))) {
                java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
                for (int size = Integer.parseInt(line(), 16); size > 0; size = Integer.parseInt(line(), 16)) {
                    body.write(readExactly(size));
                    line();
                }
                line();
                message.body = body.toByteArray();
            } else if (length != null) {
                message.body = readExactly(Integer.parseInt(length));
            }
        }

        private byte[] readExactly(int length) throws IOException {
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) {
                throw new java.io.EOFException("end within a body");
            }
            return bytes;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static byte[] response(int status, String fields, String body) {
        return ("HTTP/1.1 " + status + " Status\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A listener on a loopback address; each connection has a thread of its own. */
    static final class Listener implements AutoCloseable {
        final ServerSocket socket;

        Listener(String name, Consumer<Socket> handler) throws IOException {
            this(name, 0, handler);
        }

        Listener(String name, int port, Consumer<Socket> handler) throws IOException {
            socket = new ServerSocket(port, 512, InetAddress.getLoopbackAddress());
            spawn(name, () -> {
                while (!socket.isClosed()) {
                    try {
                        Socket connection = socket.accept();
                        spawn(name + " connection", () -> {
                            try (connection) {
                                handler.accept(connection);
                            } catch (IOException e) {
                                // The connection has ended.
                            }
                        });
                    } catch (IOException e) {
                        // The listener was closed.
                    }
                }
            });
        }

        int port() {
            return socket.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Discovery's agent on the node's machine: the whole list first, then changes, an empty line every 2 s. */
    static final class Discovery implements AutoCloseable {
        private final Lab lab;
        private final Listener listener;
        private final List<Host> hosts;
        private long version;

        Discovery(Lab lab, long version, List<Host> hosts) throws IOException {
            this.lab = lab;
            this.version = version;
            this.hosts = new ArrayList<>(hosts);
            listener = new Listener("discovery", this::serve);
        }

        int port() {
            return listener.port();
        }

        synchronized void change(Host changed) {
            hosts.removeIf(host -> host.name().equals(changed.name()));
            if (!changed.health().equals("left")) {
                hosts.add(changed);
            }
            version++;
            lab.note("discovery: version " + version + ", " + changed);
            notifyAll();
        }

        private void serve(Socket connection) {
            try {
                Http http = new Http(connection);
                Message request = http.read(false);
                if (request == null) {
                    return;
                }
                boolean watch = request.line.contains("watch=1");
                if (!watch) {
                    http.out.write(response(200, "", list(version, true, List.copyOf(hosts))));
                    return;
                }
                http.out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                long told = -1;
                while (true) {
                    String line;
                    synchronized (this) {
                        if (told == version) {
                            wait(2000);
                        }
                        line = told == version ? "" : list(version, true, List.copyOf(hosts));
                        told = version;
                    }
                    http.out.write((Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
                    http.out.flush();
                }
            } catch (IOException e) {
                // The node has ended the call.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** A link with the same delay both ways. */
    static final class Link implements AutoCloseable {
        private final Listener listener;
        private final int port;
        private final double delayMs;

        Link(int port, double delayMs) throws IOException {
            this.port = port;
            this.delayMs = delayMs;
            listener = new Listener("link", this::serve);
        }

        int port() {
            return listener.port();
        }

        private record Piece(double dueNs, byte[] bytes) {}

        private void serve(Socket client) {
            try (Socket server = new Socket(InetAddress.getLoopbackAddress(), port)) {
                client.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
                Thread up = spawn("link up", () -> carry(client, server));
                carry(server, client);
                up.join();
            } catch (IOException e) {
                // The server can't be reached.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void carry(Socket from, Socket to) {
            var queue = new java.util.concurrent.LinkedBlockingQueue<Piece>();
            Thread writer = spawn("link writer", () -> {
                try {
                    for (Piece piece = queue.take(); ; piece = queue.take()) {
                        double waitNs = piece.dueNs - System.nanoTime();
                        if (waitNs > 0) {
                            TimeUnit.NANOSECONDS.sleep((long) waitNs);
                        }
                        if (piece.bytes == null) {
                            to.setSoLinger(true, 0);
                            to.close();
                            return;
                        }
                        if (piece.bytes.length == 0) {
                            to.shutdownOutput();
                            return;
                        }
                        to.getOutputStream().write(piece.bytes);
                    }
                } catch (IOException | InterruptedException e) {
                    // The connection has ended.
                }
            });
            byte[] last = new byte[0];
            try {
                byte[] buffer = new byte[16 * 1024];
                for (int n = from.getInputStream().read(buffer); n > 0; n = from.getInputStream().read(buffer)) {
                    queue.add(new Piece(System.nanoTime() + delayMs * 1e6, java.util.Arrays.copyOf(buffer, n)));
                }
            } catch (IOException e) {
                // A reset is passed on as a reset.
                last = null;
            }
            queue.add(new Piece(System.nanoTime() + delayMs * 1e6, last));
            try {
                writer.join(5000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** Whether no byte comes within this time; a byte that comes stays unread. */
    static boolean silentFor(Http http, int ms) throws IOException {
        http.in.mark(1);
        http.socket.setSoTimeout(ms);
        try {
            http.in.read();
            http.in.reset();
            return false;
        } catch (SocketTimeoutException e) {
            return true;
        } finally {
            http.socket.setSoTimeout(0);
        }
    }
}
