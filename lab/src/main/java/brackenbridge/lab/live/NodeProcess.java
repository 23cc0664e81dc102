package brackenbridge.lab.live;

import com.eclipsesource.json.JsonObject;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A node of the first tier: a process of its own, started by the deployment's own command. */
final class NodeProcess implements Control, LoadClient.Gate {
    private static final double FRONT_NOTICES_MS = 2000;
    private static final double STOP_NOTICED_MS = 300;
    private static final long READY_MS = 30_000;

    private final String name;
    private final InetSocketAddress address;
    /** Where clients find it. */
    private final InetSocketAddress front;

    private final Path folder;
    private final List<String> command;
    private final Path home;
    private final JsonObject config;
    private final EventLoop loop;
    private final LoopScheduler scheduler;
    private final Consumer<String> died;
    private Process process;
    private boolean ready;
    private boolean killed;
    private boolean stalled;
    private double goneMs;
    private double noticedMs;

    /**
     * A node that has not started yet.
     *
     * @param front where clients find it
     * @param died hears the node's name once its process has ended, and when it goes on after it stood still
     */
    NodeProcess(
            String name,
            InetSocketAddress address,
            InetSocketAddress front,
            Path folder,
            List<String> command,
            Path home,
            JsonObject config,
            EventLoop loop,
            LoopScheduler scheduler,
            Consumer<String> died) {
        this.name = name;
        this.address = address;
        this.front = front;
        this.folder = folder;
        this.command = command;
        this.home = home;
        this.config = config;
        this.loop = loop;
        this.scheduler = scheduler;
        this.died = died;
    }

    private Path configFile() {
        return folder.resolve(name + ".json");
    }

    /** Starts the process; it is ready some time later. */
    void launch() throws IOException {
        Files.writeString(configFile(), config.toString());
        ProcessBuilder b = new ProcessBuilder(command)
                .directory(home.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(name + ".log").toFile()));
        b.environment().put("PROXY_NAME", name);
        b.environment().put("PROXY_CONFIG", configFile().toAbsolutePath().toString());
        b.environment().put("PROXY_LISTEN", address.getHostString() + ":" + address.getPort());
        process = b.start();
        killed = false;
    }

    /** Waits until it says that it is ready; not on the event loop. */
    void awaitReady() throws IOException, InterruptedException {
        long until = System.nanoTime() + READY_MS * 1_000_000;
        while (System.nanoTime() < until) {
            if (!process.isAlive()) {
                throw new IOException(name + " ended: see " + folder.resolve(name + ".log"));
            }
            if (saysReady()) {
                ready = true;
                return;
            }
            Thread.sleep(20);
        }
        throw new IOException(name + " is not ready after " + READY_MS / 1000 + " s");
    }

    private boolean saysReady() {
        try (Socket s = new Socket()) {
            s.connect(address, 200);
            s.setSoTimeout(500);
            s.getOutputStream()
                    .write("GET /health/ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.ISO_8859_1));
            byte[] head = s.getInputStream().readNBytes(12);
            return new String(head, StandardCharsets.ISO_8859_1).equals("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Writes another address of discovery into its configuration, and tells it. */
    void discoveryAt(String dial) {
        config.set("discovery", dial);
        try {
            Files.writeString(configFile(), config.toString());
            if (process != null && process.isAlive()) {
                signal("-HUP");
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public InetSocketAddress address() {
        return front;
    }

    @Override
    public boolean open() {
        return ready && (goneMs == 0 || scheduler.nowMs() < noticedMs);
    }

    @Override
    public boolean killed() {
        return killed || stalled;
    }

    @Override
    public long pid() {
        return process.pid();
    }

    /** What it had while it stood still is owed by nobody. */
    @Override
    public void stall(boolean on) {
        if (process == null || !process.isAlive()) {
            return;
        }
        signal(on ? "-STOP" : "-CONT");
        stalled = on;
        if (!on) {
            died.accept(name);
        }
    }

    private void signal(String which) {
        try {
            new ProcessBuilder("kill", which, Long.toString(process.pid())).start();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Override
    public boolean up() {
        return process != null && process.isAlive() && goneMs == 0;
    }

    @Override
    public void kill() {
        goneMs = scheduler.nowMs();
        noticedMs = goneMs + FRONT_NOTICES_MS;
        killed = true;
        process.destroyForcibly();
        died.accept(name);
    }

    @Override
    public void stop(Runnable ended) {
        goneMs = scheduler.nowMs();
        noticedMs = goneMs + STOP_NOTICED_MS;
        process.destroy();
        process.onExit()
                .thenRun(() -> loop.execute(() -> {
                    died.accept(name);
                    ended.run();
                }));
    }

    @Override
    public void start() {
        ready = false;
        Thread t = new Thread(
                () -> {
                    try {
                        launch();
                        awaitReady();
                        loop.execute(() -> goneMs = 0);
                    } catch (IOException e) {
                        System.err.println("brackenbridge: " + e.getMessage());
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "start " + name);
        t.setDaemon(true);
        t.start();
    }

    /** Tells it to end; whether there was anything to tell. */
    boolean tellToEnd() {
        boolean lives = process != null && process.isAlive();
        if (lives) {
            // Guards against a process that stands still, which hears no other signal and would be left behind.
            signal("-CONT");
            process.destroy();
        }
        return lives;
    }

    /** Ends it with the lab. */
    void end() throws InterruptedException {
        if (tellToEnd()) {
            if (!process.waitFor(8, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        }
    }
}
