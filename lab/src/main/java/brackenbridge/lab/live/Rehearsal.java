package brackenbridge.lab.live;

import brackenbridge.core.EndpointList;
import brackenbridge.core.ServerEndpoint;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.http.Headers;
import brackenbridge.http.HttpRequest;
import brackenbridge.lab.world.World;
import brackenbridge.mgmt.ManagementCall;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import io.netty.buffer.Unpooled;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * What staff do with a node, one thing after the other, on a real process under load: a drain and return, new
 * settings, a replacement, long answers to slow readers, and calls while the clients' side is full. Every request is
 * accounted for.
 */
public final class Rehearsal implements AutoCloseable {
    private static final int LONG = 32 * 1024 * 1024;
    private static final byte[] LONG_BODY = new byte[LONG];
    private static final int LONG_READERS = 30;
    private static final int CLIENTS = 8;
    private static final int MANY_CLIENTS = 64;
    private static final int SOCKETS = 384;
    private static final int MEMORY_MB = 208;

    private final Path home;
    private final Path out;
    private final String run;
    private final Consumer<String> say;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<Process> processes = Collections.synchronizedList(new ArrayList<>());
    private final AtomicLong ids = new AtomicLong();
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong sentAgain = new AtomicLong();
    private final AtomicLong lost = new AtomicLong();
    private final InetSocketAddress address = LiveRunner.freePort();
    private final JsonObject config;
    private volatile boolean over;
    private volatile String management;
    private volatile long peakKb;
    private volatile long peakDescriptors;

    /** Prepares it: stand-ins listen from now on. */
    public Rehearsal(Path home, Path out, String run, World world, Consumer<String> say) throws IOException {
        this.home = home;
        this.out = out;
        this.run = run;
        this.say = say;
        Files.createDirectories(out.resolve("tmp"));
        List<ServerEndpoint> targets = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            targets.add(new ServerEndpoint(
                    "s-" + i,
                    StandInHttp.dial(
                            StandInHttp.listen(group.next(), new InetSocketAddress("127.0.0.1", 0), Server::new)),
                    "room",
                    -1,
                    1,
                    0,
                    EndpointState.UP));
        }
        config = SettingsJson.config(
                "n0",
                dial(address),
                "127.0.0.1:1",
                SOCKETS,
                world.settings(0, 0, 1),
                new EndpointList(1, true, targets));
        config.get("limits").asObject().set("memory_mb", MEMORY_MB);
    }

    private static String dial(InetSocketAddress a) {
        return a.getHostString() + ":" + a.getPort();
    }

    /** A server: a short answer at once, or a long one where the query asks for it. */
    private static final class Server extends StandInHttp.Serving {
        @Override
        void request(HttpRequest r) {
            if (r.target().endsWith("?long")) {
                write(
                        Unpooled.wrappedBuffer(("HTTP/1.1 200 OK\r\nContent-Length: " + LONG + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII)),
                        false);
                write(Unpooled.wrappedBuffer(LONG_BODY), true);
            } else {
                answer(200, new Headers(), "done".getBytes(StandardCharsets.US_ASCII));
            }
        }

        @Override
        void ended() {
            // Nothing is kept for a connection.
        }
    }

    // ---- Clients ----

    private final class Client implements Runnable {
        private Socket socket;
        private InputStream in;

        @Override
        public void run() {
            while (!over) {
                sent.incrementAndGet();
                boolean answered = once();
                if (!answered) {
                    answered = once();
                }
                if (!answered) {
                    lost.incrementAndGet();
                }
            }
            close();
        }

        /** False if the connection ended without a byte of an answer. */
        private boolean once() {
            try {
                if (socket == null) {
                    socket = new Socket(address.getAddress(), address.getPort());
                    socket.setSoTimeout(10_000);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                socket.getOutputStream().write(request("/call"));
                String head = head(in);
                if (head.isEmpty()) {
                    throw new IOException("ended");
                }
                in.readNBytes(Integer.parseInt(head.replaceAll("(?s).*Content-Length: ([0-9]+).*", "$1")));
                (head.startsWith("HTTP/1.1 200") ? served : head.startsWith("HTTP/1.1 503") ? refused : failed)
                        .incrementAndGet();
                if (head.contains("Connection: close")) {
                    close();
                }
                return true;
            } catch (IOException e) {
                sentAgain.incrementAndGet();
                close();
                return false;
            }
        }

        private void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                say.accept("a client's connection would not close: " + e.getMessage());
            }
            socket = null;
        }
    }

    private byte[] request(String target) {
        return ("GET " + target + " HTTP/1.1\r\nHost: lab\r\nX-Correlation-Id: r" + ids.incrementAndGet()
                        + "\r\nX-Time-Left-Ms: 4000\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder s = new StringBuilder();
        while (s.length() < 4 || !s.substring(s.length() - 4).equals("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                return "";
            }
            s.append((char) b);
        }
        return s.toString();
    }

    // ---- The node's processes ----

    private Process launch(String name) throws IOException, InterruptedException {
        management = dial(LiveRunner.freePort());
        Files.writeString(out.resolve("config.json"), config.toString());
        ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", run)
                .directory(home.toFile())
                .redirectErrorStream(true)
                .redirectOutput(out.resolve(name + ".log").toFile());
        b.environment()
                .put("PROXY_CONFIG", out.resolve("config.json").toAbsolutePath().toString());
        b.environment().put("PROXY_MGMT", management);
        b.environment().put("TMPDIR", out.resolve("tmp").toAbsolutePath().toString());
        long began = System.nanoTime();
        Process p = b.start();
        processes.add(p);
        await(() -> call("PING").startsWith("+OK"));
        say.accept(String.format(Locale.ROOT, "%s says yes after %.1f s", name, (System.nanoTime() - began) / 1e9));
        return p;
    }

    private String call(String call) {
        try {
            return ManagementCall.send(management, call);
        } catch (IOException e) {
            return "";
        }
    }

    private boolean ready() {
        try (Socket s = new Socket(address.getAddress(), address.getPort())) {
            s.setSoTimeout(2000);
            s.getOutputStream()
                    .write("GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            return head(s.getInputStream()).startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    private static void await(java.util.function.BooleanSupplier what) throws IOException, InterruptedException {
        long until = System.nanoTime() + 30_000_000_000L;
        while (!what.getAsBoolean()) {
            if (System.nanoTime() > until) {
                throw new IOException("waited 30 s in vain; see the nodes' logs");
            }
            Thread.sleep(10);
        }
    }

    private long figure(String name) {
        String told = call("INFO");
        return told.contains(name + ":")
                ? Long.parseLong(told.replaceAll("(?s).*" + name + ":([0-9]+)[|].*", "$1"))
                : -1;
    }

    /** Adds up what all running processes hold. */
    private void watch() {
        while (!over) {
            long kb = 0;
            long descriptors = 0;
            for (Process p : List.copyOf(processes)) {
                descriptors += ProcessTable.descriptors(p.pid()).orElse(0);
                kb += ProcessTable.residentKib(p.pid()).orElse(0);
            }
            peakKb = Math.max(peakKb, kb);
            peakDescriptors = Math.max(peakDescriptors, descriptors);
            pause(20);
        }
    }

    private static void pause(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void peaks(String when) {
        say.accept(String.format(
                Locale.ROOT,
                "%s: at most %.0f of %d MB and %d of %d descriptors",
                when,
                peakKb / 1024.0,
                MEMORY_MB,
                peakDescriptors,
                SOCKETS));
        peakKb = 0;
        peakDescriptors = 0;
    }

    // ---- What is rehearsed ----

    /** Does all of it; false if a request was lost or a figure untrue. */
    public boolean play() throws IOException, InterruptedException {
        Process old = launch("first");
        thread(this::watch);
        List<Thread> clients = clients(CLIENTS);
        pause(1500);
        peaks("one process under load");
        drain();
        settings(old);
        long servedByOld = replace(old);
        clientsEnd(clients);
        boolean true1 = accounted(servedByOld);
        over = false;
        thread(this::watch);
        boolean whole = longAnswers();
        saturated();
        return true1 && whole && lost.get() == 0;
    }

    private static Thread thread(Runnable work) {
        Thread t = new Thread(work);
        t.setDaemon(true);
        t.start();
        return t;
    }

    private List<Thread> clients(int count) {
        List<Thread> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(thread(new Client()));
        }
        return all;
    }

    private void clientsEnd(List<Thread> clients) throws InterruptedException {
        over = true;
        for (Thread t : clients) {
            t.join();
        }
    }

    private void drain() throws IOException, InterruptedException {
        call("LAMEDUCK");
        long began = System.nanoTime();
        await(() -> !ready());
        say.accept(
                String.format(Locale.ROOT, "LAMEDUCK: ready says no after %.0f ms", (System.nanoTime() - began) / 1e6));
        pause(2500);
        began = System.nanoTime();
        call("REJOIN");
        await(this::ready);
        say.accept(
                String.format(Locale.ROOT, "REJOIN: ready says yes after %.0f ms", (System.nanoTime() - began) / 1e6));
        pause(1000);
    }

    private void settings(Process node) throws IOException, InterruptedException {
        Path file = out.resolve("config.json");
        String good = Files.readString(file);
        Files.writeString(file, good.substring(0, good.length() / 2));
        hangup(node);
        await(() -> figure("proxy.config_rejected") == 1);
        JsonObject more = Json.parse(good).asObject();
        JsonObject fresh = Json.parse(more.get("settings")
                        .asObject()
                        .get("classes")
                        .asArray()
                        .get(0)
                        .toString())
                .asObject()
                .set("name", "fresh");
        more.get("settings").asObject().get("classes").asArray().add(fresh);
        Files.writeString(file, more.toString());
        hangup(node);
        await(() -> figure("proxy.config_applied") == 1);
        config.set("settings", more.get("settings"));
        try (Socket s = new Socket(address.getAddress(), address.getPort())) {
            s.getOutputStream().write(request("/fresh"));
            say.accept("SIGHUP: half a file turned down, a new class taken; its first request: "
                    + head(s.getInputStream()).lines().findFirst().orElse("no answer"));
        }
    }

    private static void hangup(Process p) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-HUP", Long.toString(p.pid())).start().waitFor();
    }

    /** Returns what the old process had served when its clients were gone. */
    private long replace(Process old) throws IOException, InterruptedException {
        peaks("drain and new settings");
        String oldManagement = management;
        launch("second");
        String newManagement = management;
        old.destroy();
        long servedByOld = 0;
        management = oldManagement;
        while (old.isAlive()) {
            servedByOld = Math.max(servedByOld, figure("proxy.ok.call"));
            pause(20);
        }
        management = newManagement;
        processes.remove(old);
        pause(500);
        say.accept("replacement: the old process ended with " + old.exitValue());
        peaks("replacement under load");
        return servedByOld;
    }

    private boolean accounted(long servedByOld) throws InterruptedException {
        pause(300);
        long told = servedByOld + figure("proxy.ok.call");
        say.accept(String.format(
                Locale.ROOT,
                "%d requests: %d served (figures say %d), %d refused while draining, "
                        + "%d failed, %d sent again on a new connection, %d lost",
                sent.get(),
                served.get(),
                told,
                refused.get(),
                failed.get(),
                sentAgain.get(),
                lost.get()));
        return Math.abs(told - served.get()) <= Math.max(3, served.get() / 100)
                && sent.get() == served.get() + refused.get() + failed.get() + lost.get();
    }

    private boolean longAnswers() throws IOException, InterruptedException {
        peakKb = 0;
        peakDescriptors = 0;
        List<Socket> readers = new ArrayList<>();
        long[] got = new long[LONG_READERS];
        for (int i = 0; i < LONG_READERS; i++) {
            Socket s = new Socket();
            s.setReceiveBufferSize(64 * 1024);
            s.connect(address);
            s.setSoTimeout(30_000);
            s.getOutputStream().write(request("/call?long"));
            readers.add(s);
        }
        int begun = 0;
        for (Socket s : readers) {
            begun += head(s.getInputStream()).startsWith("HTTP/1.1 200") ? 1 : 0;
        }
        for (int round = 0; round < 20; round++) {
            for (int i = 0; i < LONG_READERS; i++) {
                got[i] += readers.get(i).getInputStream().readNBytes(16 * 1024).length;
            }
            pause(250);
        }
        peaks(begun + " answers of 32 MB at once, read at 64 kB/s for 5 s");
        List<Thread> rest = new ArrayList<>();
        for (int i = 0; i < LONG_READERS; i++) {
            int mine = i;
            rest.add(thread(() -> {
                try (Socket s = readers.get(mine)) {
                    byte[] piece = new byte[64 * 1024];
                    while (got[mine] < LONG) {
                        int n = s.getInputStream().read(piece);
                        if (n < 0) {
                            return;
                        }
                        got[mine] += n;
                    }
                } catch (IOException e) {
                    got[mine] = -1;
                }
            }));
        }
        for (Thread t : rest) {
            t.join();
        }
        long whole = Arrays.stream(got).filter(n -> n == LONG).count();
        say.accept(whole + " of " + LONG_READERS + " came whole");
        peaks("the same, read to the end at full speed");
        return whole == LONG_READERS;
    }

    private void saturated() throws InterruptedException {
        List<Thread> clients = clients(MANY_CLIENTS);
        long before = served.get();
        List<Double> took = new ArrayList<>();
        long until = System.nanoTime() + 5_000_000_000L;
        while (System.nanoTime() < until) {
            long began = System.nanoTime();
            if (call("INFO").endsWith(".\n")) {
                took.add((System.nanoTime() - began) / 1e6);
            }
            pause(5);
        }
        long rate = (served.get() - before) / 5;
        clientsEnd(clients);
        Collections.sort(took);
        say.accept(String.format(
                Locale.ROOT,
                "%d calls of INFO beside %d clients (%d requests a second): p50 "
                        + "%.1f ms, p99 %.1f ms, maximum %.1f ms",
                took.size(),
                MANY_CLIENTS,
                rate,
                took.get(took.size() / 2),
                took.get(took.size() * 99 / 100),
                took.get(took.size() - 1)));
    }

    @Override
    public void close() {
        over = true;
        for (Process p : List.copyOf(processes)) {
            p.destroy();
            p.onExit().completeOnTimeout(p, 8, TimeUnit.SECONDS).join();
            p.destroyForcibly();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
