import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three control machines and a node that subscribes to them. A majority agrees that a class must never run twice; the
 * node's file, which is older, says otherwise, and is read anew at SIGHUP. The agreed settings have to hold.
 */
public final class StaleSettings {
    private static final int MACHINES = 3;
    /** What a change takes at most until a node acts by it. */
    private static final int BOUND_MS = 13_000;

    private static final int REQUESTS = 60;
    /** Share of requests that a server runs and then resets instead of answering. */
    private static final double RESET_SHARE = 0.25;

    private static final Map<String, AtomicInteger> RUNS = new ConcurrentHashMap<>();

    private StaleSettings() {}

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        Kit.begin(Path.of(args[1]));
        Path temporary = Path.of(System.getProperty("java.io.tmpdir"));
        if (!Files.exists(root.resolve("fleet/target/brackenbridge-fleet.jar"))) {
            Kit.failed("the module fleet is not built");
        }
        Kit.Registry registry = new Kit.Registry();
        Random random = new Random(1);
        for (int i = 0; i < 4; i++) {
            String host = "s-" + i;
            int port = Kit.startServer((request, in, out) -> {
                        String id = request.field("X-Correlation-Id");
                        int runs = RUNS.computeIfAbsent(id, any -> new AtomicInteger()).incrementAndGet();
                        boolean reset;
                        synchronized (random) {
                            reset = random.nextDouble() < RESET_SHARE;
                        }
                        Kit.record("server " + host + " ran " + id + (runs > 1 ? " FOR THE " + runs + ". TIME" : "")
                                + (reset ? " and resets its connection" : ""));
                        if (reset) {
                            throw new Kit.Reset();
                        }
                        Kit.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                    })
                    .getLocalPort();
            registry.put(host, port, "amsterdam", "active");
        }
        int[] pages = new int[MACHINES];
        Path fleet = temporary.resolve("control.toml");
        Files.writeString(fleet, fleetFile(temporary, pages));
        for (int i = 1; i <= MACHINES; i++) {
            start(root, "c" + i, "control", "--fleet", fleet.toString(), "--name", "c" + i);
        }
        int listen = Kit.freePort();
        Path file = temporary.resolve("n0.json");
        String status = Kit.requestClass("session-status", "safe", 1200, 3000, 2);
        // What the file says of session-start is older than what will be agreed.
        String old = Kit.config(
                "n0",
                listen,
                registry,
                registry.port(),
                512,
                "amsterdam",
                3,
                status + "," + Kit.requestClass("session-start", "keyed", 600, 1500, 5));
        String agreed = Kit.config(
                "n0",
                listen,
                registry,
                registry.port(),
                512,
                "amsterdam",
                3,
                status + "," + Kit.requestClass("session-start", "unsafe", 600, 1500, 5));
        Files.writeString(file, old);
        Process node = start(
                root, "n0", "node", "--config", file.toString(), "--control", fleet.toString(), "--region", "north");
        if (!Kit.awaitReady(listen, 30_000)) {
            Kit.failed("the node is not ready");
        }
        Path settings = temporary.resolve("settings.json");
        Files.writeString(settings, agreed.substring(agreed.indexOf("\"settings\":") + 11, agreed.length() - 1));
        if (!propose(root, settings, pages[0])) {
            Kit.failed("no majority has agreed");
        }
        Kit.record("settings/tier-0 is in force: session-start is unsafe");
        Kit.sleepMs(BOUND_MS);
        int before = play(listen, "before");
        if (Kit.TROUBLE) {
            // The operators add an optional key to the file's settings, as a file at SIGHUP may.
            Path next = temporary.resolve("n0.json.next");
            Files.writeString(next, old.replace("\"keyTtl\"", "\"aimStretch\":0.0,\"keyTtl\""));
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
            new ProcessBuilder("kill", "-HUP", Long.toString(node.pid())).start().waitFor();
            Kit.record("a new file is in place, SIGHUP is sent");
        }
        Kit.sleepMs(BOUND_MS);
        int after = play(listen, "after");
        Kit.record("settings status: " + run(root, "settings", "status", "--at", Kit.at(pages[0])));
        boolean alive = node.isAlive();
        node.destroy();
        node.waitFor(10, TimeUnit.SECONDS);
        Kit.log("n0");
        for (int i = 1; i <= MACHINES; i++) {
            Kit.log("c" + i);
        }
        Kit.say("requests of session-start that ran twice or more, of " + REQUESTS + ": " + before
                + " before, " + after + " from 13 s after SIGHUP on");
        Kit.exit(before + after > 0 || !alive);
    }

    private static String fleetFile(Path temporary, int[] pages) throws IOException {
        StringBuilder file = new StringBuilder("fleet = \"example\"\ndirectory = \"" + temporary + "/data\"\n");
        for (int i = 0; i < MACHINES; i++) {
            pages[i] = Kit.freePort();
            file.append(String.format(
                    "%n[[member]]%nname = \"c%d\"%naddress = \"%s\"%nzone = \"z%d\"%npage = \"%s\"%n",
                    i + 1, Kit.at(Kit.freePort()), i + 1, Kit.at(pages[i])));
        }
        file.append("\n[control]\nnodes = [\"*\"]\n");
        for (int i = 0; i < MACHINES; i++) {
            file.append(String.format(
                    "%n[[control.machine]]%nname = \"c%d\"%nregion = \"north\"%naddress = \"%s\"%n",
                    i + 1, Kit.at(Kit.freePort())));
        }
        return file.toString();
    }

    private static List<String> command(Path root, String... words) {
        List<String> command = new ArrayList<>(List.of(root.resolve("bin/brackenbridge").toString()));
        command.addAll(List.of(words));
        return command;
    }

    private static Process start(Path root, String name, String... words) throws IOException {
        return Kit.start(
                root, name, Map.of("BRACKENBRIDGE_JAVA_OPTS", "-Xmx128m"), command(root, words).toArray(String[]::new));
    }

    private static String run(Path root, String... words) throws Exception {
        Process process = new ProcessBuilder(command(root, words))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .start();
        String text = new String(process.getInputStream().readAllBytes()).strip();
        return "exit " + process.waitFor() + ": " + text;
    }

    private static boolean propose(Path root, Path settings, int page) throws Exception {
        for (int i = 0; i < 15; i++) {
            String answer = run(
                    root, "settings", "propose", "settings/tier-0", "--file", settings.toString(), "--at", Kit.at(page));
            Kit.record("propose: " + answer);
            if (answer.startsWith("exit 0")) {
                return true;
            }
            Kit.sleepMs(1000);
        }
        return false;
    }

    /** Sends requests, one after another; returns how many ran more than once. */
    private static int play(int listen, String phase) throws Exception {
        Kit.Connection connection = null;
        for (int i = 0; i < REQUESTS; i++) {
            String id = phase + "-" + i;
            connection = connection == null ? new Kit.Connection(listen) : connection;
            connection.send(Kit.request("POST", "session-start", id, 1500, "start"));
            Kit.Message answer = connection.read();
            Kit.record("client " + id + " got " + (answer == null ? "nothing" : answer.status()));
            if (answer == null || "close".equals(answer.field("Connection"))) {
                connection.close();
                connection = null;
            }
            Kit.sleepMs(50);
        }
        return (int) RUNS.entrySet().stream()
                .filter(run -> run.getKey().startsWith(phase) && run.getValue().get() > 1)
                .count();
    }
}
