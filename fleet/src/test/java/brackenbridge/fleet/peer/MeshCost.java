package brackenbridge.fleet.peer;

import brackenbridge.clock.Clock;
import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.awaitility.Awaitility;

/**
 * Measures the idle cost of a full mesh of members in one process, and the time until a killed member is detected. Not
 * a test.
 */
final class MeshCost {
    private final Clock clock = Clock.system();
    private final List<TcpPeerLinks> all = new ArrayList<>();
    private final Map<String, Double> declaredDeadAtMs = new ConcurrentHashMap<>();

    private MeshCost() {}

    /** Arguments: number of members, idle seconds, number of members to kill. */
    public static void main(String[] args) throws Exception {
        new MeshCost().run(Integer.parseInt(args[0]), Integer.parseInt(args[1]), Integer.parseInt(args[2]));
        System.exit(0);
    }

    private TcpPeerLinks startMember(int i, long incarnation) throws Exception {
        TcpPeerLinks links = new TcpPeerLinks(
                new Member("node-" + i, "127.0.0.1:0", "zone"),
                incarnation,
                "fleet",
                List.of(),
                clock,
                PeerLimits.defaults());
        links.addWatcher((peer, status, peerIncarnation) -> {
            if (status == MemberStatus.DEAD) {
                declaredDeadAtMs.put(links.self().name() + " " + peer + " " + peerIncarnation, clock.nowMs());
            }
        });
        links.start();
        return links;
    }

    private void connectAll() {
        List<Member> members = all.stream().map(TcpPeerLinks::self).toList();
        all.forEach(links -> links.update(members));
        Awaitility.await()
                .atMost(java.time.Duration.ofMinutes(1))
                .until(() -> all.stream()
                        .allMatch(links -> links.metrics().get("peers_alive") == all.size() - 1
                                && links.connectedPeers().size() == all.size() - 1));
    }

    private double sum(String metric) {
        return all.stream()
                .mapToDouble(links -> links.metrics().getOrDefault(metric, 0.0))
                .sum();
    }

    private void run(int members, int seconds, int deaths) throws Exception {
        OperatingSystemMXBean system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
        for (int i = 0; i < members; i++) {
            all.add(startMember(i, 1));
        }
        double startedAtMs = clock.nowMs();
        connectAll();
        System.out.printf("%d members: all connected after %.0f ms%n", members, clock.nowMs() - startedAtMs);
        for (String name : all.get(1).metrics().keySet()) {
            System.out.print(name + "=" + (long) sum(name) + " ");
        }
        System.out.println();
        Thread.sleep(5000);
        double bytes = sum("bytes_out");
        double frames = sum("frames_out");
        long cpu = system.getProcessCpuTime();
        startedAtMs = clock.nowMs();
        Thread.sleep(seconds * 1000L);
        double elapsedS = (clock.nowMs() - startedAtMs) / 1000;
        System.out.printf(
                "idle, per member: %.0f threads, %.0f frames/s and %.0f bytes/s sent, %.2f%% of a core%n",
                sum("threads") / members,
                (sum("frames_out") - frames) / elapsedS / members,
                (sum("bytes_out") - bytes) / elapsedS / members,
                (system.getProcessCpuTime() - cpu) / 1e7 / elapsedS / members);
        List<Double> delaysMs = new ArrayList<>();
        for (int death = 0; death < deaths; death++) {
            TcpPeerLinks victim = all.remove(death % members);
            double killedAtMs = clock.nowMs();
            victim.abort();
            String key = " " + victim.self().name() + " " + victim.incarnation();
            Awaitility.await()
                    .atMost(java.time.Duration.ofMinutes(1))
                    .until(() -> all.stream()
                            .allMatch(links ->
                                    declaredDeadAtMs.containsKey(links.self().name() + key)));
            all.forEach(links -> delaysMs.add(declaredDeadAtMs.get(links.self().name() + key) - killedAtMs));
            all.add(death % members, startMember(death % members, victim.incarnation() + 1));
            connectAll();
        }
        double[] sorted = delaysMs.stream().mapToDouble(delay -> delay).sorted().toArray();
        if (sorted.length > 0) {
            System.out.printf(
                    "%d deaths: detected after p50 %.0f, max %.0f ms; false suspicions %.0f, detections %d%n",
                    deaths,
                    sorted[sorted.length / 2],
                    sorted[sorted.length - 1],
                    sum("suspicions_false"),
                    sorted.length);
        }
        all.forEach(TcpPeerLinks::close);
    }
}
