import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A new configuration file at SIGHUP, on a node that subscribes to agreed settings. */
final class AgreedSettings {
    private static final int SERVERS = 3;
    private static final String OLD_KEYS = "\"lateShare\":0.0}";
    private static final String NEW_KEYS = "\"lateShare\":0.0,\"keyTtl\":5000000,\"dedupScope\":\"all\"}";

    private final Lab lab;
    private final AtomicLong ids = new AtomicLong();
    private final AtomicInteger repeated = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    private AgreedSettings(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.main(arguments[0], lab -> new AgreedSettings(lab).run());
    }

    private int run() throws Exception {
        List<Lab.Host> hosts = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            String name = "s-" + i;
            Lab.Listener server = new Lab.Listener(name, connection -> serve(name, connection));
            hosts.add(new Lab.Host(name, server.port(), "active"));
        }
        Lab.Discovery discovery = new Lab.Discovery(lab, 41, hosts);
        int page = Lab.freePort();
        int subscriptions = Lab.freePort();
        Path fleet = lab.temporary.resolve("control.toml");
        Files.writeString(
                fleet,
                "fleet = \"review\"\ndirectory = \"" + lab.temporary.resolve("control-data") + "\"\n\n[[member]]\nname = \"c1\"\n"
                        + "address = \"127.0.0.1:" + Lab.freePort() + "\"\nzone = \"north\"\npage = \"127.0.0.1:" + page
                        + "\"\n\n[control]\nnodes = [\"*\"]\n\n[[control.machine]]\nname = \"c1\"\nregion = \"north\"\n"
                        + "address = \"127.0.0.1:" + subscriptions + "\"\n");
        lab.start("c1", "exec bin/brackenbridge control --fleet " + fleet + " --name c1", Map.of());
        int port = Lab.freePort();
        String config = Lab.config("n0", port, discovery.port(), 1, 512, Lab.list(41, true, hosts), "unsafe", 4);
        Path settings = lab.temporary.resolve("settings.json");
        Files.writeString(settings, config.substring(config.indexOf("\"settings\":") + 11, config.length() - 1));
        if (!propose(page, settings)) {
            lab.noteLog("c1", 10);
            lab.noteLog("propose", 10);
            return Lab.CANNOT_RUN;
        }
        Path file = lab.temporary.resolve("n0.json");
        Files.writeString(file, config);
        int management = Lab.freePort();
        Process node = lab.start(
                "n0",
                "exec bin/brackenbridge node --config " + file + " --control " + fleet + " --region north",
                Map.of("TMPDIR", lab.temporary.toString(), "PROXY_MGMT", "127.0.0.1:" + management));
        lab.awaitReady(port, 20_000);
        Lab.sleep(5000);
        lab.note("the settings in force say that 'start' is unsafe");
        call(port, 40);
        if (lab.trouble) {
            Path next = lab.temporary.resolve("n0.json.next");
            Files.writeString(
                    next, config.replace(OLD_KEYS, NEW_KEYS).replace("\"effect\":\"unsafe\"", "\"effect\":\"keyed\""));
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
            lab.note("new file: 'start' is keyed, with its two further keys");
            lab.signal(node, "HUP");
        }
        Lab.sleep(6000);
        int before = repeated.get();
        call(port, 60);
        lab.noteLog("n0", 12);
        lab.note("answered " + answered + ", requests of 'start' that ran more than once: " + repeated);
        if (before > 0 || answered.get() < 50) {
            return Lab.CANNOT_RUN;
        }
        return repeated.get() > 0 ? Lab.BROKEN : Lab.HELD;
    }

    private boolean propose(int page, Path file) throws Exception {
        for (int i = 0; i < 20; i++) {
            Process call = lab.start(
                    "propose",
                    "exec bin/brackenbridge settings propose settings/tier-0 --file " + file + " --at 127.0.0.1:" + page,
                    Map.of());
            if (call.waitFor(30, TimeUnit.SECONDS) && call.exitValue() == 0) {
                lab.note("settings/tier-0 is in force");
                return true;
            }
            Lab.sleep(500);
        }
        return false;
    }

    private void serve(String name, Socket connection) {
        try {
            Lab.Http http = new Lab.Http(connection);
            for (Lab.Message request = http.read(false); request != null; request = http.read(false)) {
                String id = request.field("X-Correlation-Id");
                int count = runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
                lab.note(name + ": runs " + id + (count == 1 ? "" : " ONCE MORE"));
                if (count == 2) {
                    repeated.incrementAndGet();
                }
                if (count == 1 && id.endsWith("0")) {
                    lab.note(name + ": resets the connection under " + id);
                    connection.setSoLinger(true, 0);
                    return;
                }
                http.out.write(Lab.response(200, "", "answer to " + id));
            }
        } catch (IOException e) {
            // The node has closed the connection.
        }
    }

    private void call(int port, int requests) throws IOException {
        for (int i = 0; i < requests; i++) {
            try (Lab.Http http = new Lab.Http(port, 5000)) {
                String id = String.format("%016d", 5_000_000_000_000_000L + ids.incrementAndGet());
                Lab.Message answer = http.call(
                        "POST /start/a HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: " + id
                                + "\r\nX-Service-Class: start\r\nX-Account: stroomlijn\r\nX-Time-Left-Ms: 1400\r\n"
                                + "Content-Length: 0\r\n\r\n",
                        new byte[0]);
                lab.note("client: " + id + " is answered " + (answer == null ? "by a close" : answer.status));
                answered.addAndGet(answer != null && answer.status == 200 ? 1 : 0);
            }
            Lab.sleep(20);
        }
    }
}
