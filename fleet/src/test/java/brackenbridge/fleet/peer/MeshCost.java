package brackenbridge.fleet.peer;

import brackenbridge.clock.Clock;
import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.awaitility.Awaitility;

/** What a full mesh of members in one process costs at rest, and how soon one that ends is found. Not a test. */
final class MeshCost {
    private final Clock clock = Clock.system();
    private final List<TcpPeerLinks> all = new ArrayList<>();
    private final Map<String, Double> declaredDeadAtMs = new ConcurrentHashMap<>();

    private MeshCost() {}

    /** Members, seconds at rest, deaths. */
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
        links.addWatcher((peer, standing, its) -> {
            if (standing == MemberStatus.DEAD) {
                declaredDeadAtMs.put(links.self().name() + " " + peer + " " + its, clock.nowMs());
            }
        });
        links.start();
        return links;
    }

    private void connectAll() {
        List<Member> members = all.stream().map(TcpPeerLinks::self).toList();
        all.forEach(l -> l.update(members));
        Awaitility.await()
                .atMost(java.time.Duration.ofMinutes(1))
                .until(() -> all.stream()
                        .allMatch(l -> l.metrics().get("peers_alive") == all.size() - 1
                                && l.connectedPeers().size() == all.size() - 1));
    }

    private double sum(String figure) {
        return all.stream()
                .mapToDouble(l -> l.metrics().getOrDefault(figure, 0.0))
                .sum();
    }

    private void run(int members, int seconds, int deaths) throws Exception {
        OperatingSystemMXBean system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
        for (int i = 0; i < members; i++) {
            all.add(startMember(i, 1));
        }
        double from = clock.nowMs();
        connectAll();
        System.out.printf("%d members: all linked after %.0f ms%n", members, clock.nowMs() - from);
        for (String name : all.get(1).metrics().keySet()) {
            System.out.print(name + "=" + (long) sum(name) + " ");
        }
        System.out.println();
        Thread.sleep(5000);
        double bytes = sum("bytes_out");
        double frames = sum("frames_out");
        long cpu = system.getProcessCpuTime();
        from = clock.nowMs();
        Thread.sleep(seconds * 1000L);
        double passed = (clock.nowMs() - from) / 1000;
        System.out.printf(
                "at rest, a member: %.0f threads, %.0f beats/s and %.0f bytes/s out, %.2f%% of a core%n",
                sum("threads") / members,
                (sum("frames_out") - frames) / passed / members,
                (sum("bytes_out") - bytes) / passed / members,
                (system.getProcessCpuTime() - cpu) / 1e7 / passed / members);
        List<Double> took = new ArrayList<>();
        for (int d = 0; d < deaths; d++) {
            TcpPeerLinks victim = all.remove(d % members);
            double died = clock.nowMs();
            victim.abort();
            String key = " " + victim.self().name() + " " + victim.incarnation();
            Awaitility.await()
                    .atMost(java.time.Duration.ofMinutes(1))
                    .until(() -> all.stream()
                            .allMatch(l -> declaredDeadAtMs.containsKey(l.self().name() + key)));
            all.forEach(l -> took.add(declaredDeadAtMs.get(l.self().name() + key) - died));
            all.add(d % members, startMember(d % members, victim.incarnation() + 1));
            connectAll();
        }
        double[] sorted = took.stream().mapToDouble(t -> t).sorted().toArray();
        if (sorted.length > 0) {
            System.out.printf(
                    "%d deaths: found after p50 %.0f, max %.0f ms; false suspicions %.0f, of %d%n",
                    deaths,
                    sorted[sorted.length / 2],
                    sorted[sorted.length - 1],
                    sum("suspicions_false"),
                    sorted.length);
        }
        all.forEach(TcpPeerLinks::close);
    }
}
