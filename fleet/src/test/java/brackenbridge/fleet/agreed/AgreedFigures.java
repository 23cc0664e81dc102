package brackenbridge.fleet.agreed;

import brackenbridge.clock.Clock;
import brackenbridge.fleet.agreed.AgreedValues.Verdict;
import brackenbridge.fleet.peer.MessageStream;
import brackenbridge.fleet.peer.PeerLinks;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/**
 * Measures the figures in {@code docs/design/agreed.md}: twelve members, five of them voters, with default settings. To
 * be run manually.
 */
final class AgreedFigures {
    private static final int MEMBERS = 12;

    private final InMemoryNetwork network = new InMemoryNetwork(MEMBERS, 1);
    private final Map<String, AgreementMember> members = new TreeMap<>();
    private final Map<String, PeerLinks> links = new TreeMap<>();
    private final Path root;

    private AgreedFigures(Path root) {
        this.root = root;
    }

    public static void main(String[] args) throws Exception {
        new AgreedFigures(Files.createTempDirectory("agreed")).run();
        System.exit(0);
    }

    private void start(String name) throws Exception {
        PeerLinks memberLinks = network.links(name);
        AgreementMember member = new AgreementMember(
                memberLinks,
                root.resolve(name),
                Clock.system(),
                AgreedSettings.withDefaults("f", network.members(), name.hashCode()));
        member.start();
        members.put(name, member);
        links.put(name, memberLinks);
    }

    private static double timeUntil(BooleanSupplier condition) {
        long startNanos = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - startNanos > 30_000_000_000L) {
                throw new IllegalStateException("condition not met within 30 s");
            }
            Thread.onSpinWait();
        }
        return (System.nanoTime() - startNanos) / 1e6;
    }

    private String leader() {
        String[] leader = new String[1];
        timeUntil(() -> {
            List<String> leaders = members.entrySet().stream()
                    .filter(entry -> entry.getValue().isLeader())
                    .map(Map.Entry::getKey)
                    .toList();
            leader[0] = leaders.size() == 1 ? leaders.get(0) : null;
            return leader[0] != null;
        });
        return leader[0];
    }

    private long inForce(String member) {
        return members.get(member)
                .lastKnown(AgreedValues.SETTINGS)
                .map(AgreedValues.Value::generation)
                .orElse(0L);
    }

    private double propose(String member, int bytes) throws Exception {
        long startNanos = System.nanoTime();
        Verdict verdict = members.get(member)
                .propose(AgreedValues.SETTINGS, inForce(member), new byte[bytes], 20_000)
                .get();
        if (verdict != Verdict.IN_FORCE) {
            throw new IllegalStateException("proposal not in force: " + verdict);
        }
        return (System.nanoTime() - startNanos) / 1e6;
    }

    private static void printQuantiles(String label, List<Double> durationsMs) {
        List<Double> sorted = durationsMs.stream().sorted().toList();
        System.out.printf(
                Locale.ROOT,
                "%s: n %d, p50 %.0f, p99 %.0f, max %.0f ms%n",
                label,
                sorted.size(),
                sorted.get(sorted.size() / 2),
                sorted.get(Math.min(sorted.size() - 1, sorted.size() * 99 / 100)),
                sorted.get(sorted.size() - 1));
    }

    private boolean allUse(long generation, String excluded) {
        return members.entrySet().stream()
                .allMatch(entry -> entry.getKey().equals(excluded)
                        || entry.getValue()
                                .effectiveValues(AgreedValues.SETTINGS)
                                .map(values -> values.staged() == null
                                        && values.inForce().generation() == generation)
                                .orElse(false));
    }

    private void run() throws Exception {
        for (int i = 0; i < MEMBERS; i++) {
            start("m" + i);
        }
        String leader = leader();
        propose("m11", 4096);
        timeUntil(() -> allUse(1, ""));
        List<Double> inForceMs = new ArrayList<>();
        List<Double> usedByAllMs = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            long startNanos = System.nanoTime();
            inForceMs.add(propose("m10", 4096));
            long generation = inForce("m10");
            timeUntil(() -> allUse(generation, ""));
            usedByAllMs.add((System.nanoTime() - startNanos) / 1e6);
        }
        printQuantiles("in force, no member partitioned", inForceMs);
        printQuantiles("used by all members, no member partitioned", usedByAllMs);
        inForceMs.clear();
        for (int i = 0; i < 20; i++) {
            network.partition("m9");
            inForceMs.add(propose("m10", 4096));
            network.partition();
            timeUntil(() -> members.values().stream()
                    .allMatch(member -> member.effectiveValues(AgreedValues.SETTINGS)
                            .map(values ->
                                    values.staged() == null && values.inForce().generation() == inForce("m10"))
                            .orElse(false)));
        }
        printQuantiles("in force, one member partitioned", inForceMs);
        measureRenewals(leader);
        long bytesBefore = diskBytes("m0");
        System.out.println("bytes on disk after 121 proposals of 4 KiB: " + bytesBefore);
        measureClaims();
        List<Double> takeoverMs = new ArrayList<>();
        List<Double> proposalMs = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            String oldLeader = leader();
            AgreementMember member = members.remove(oldLeader);
            links.get(oldLeader).close();
            long startNanos = System.nanoTime();
            member.halt();
            leader();
            takeoverMs.add((System.nanoTime() - startNanos) / 1e6);
            propose("m10", 4096);
            proposalMs.add((System.nanoTime() - startNanos) / 1e6);
            start(oldLeader);
            timeUntil(() -> members.get(oldLeader).status().contains("left"));
        }
        printQuantiles("leader crash: new leader after", takeoverMs);
        printQuantiles("leader crash: new proposal in force after", proposalMs);
        System.out.println("bytes on disk at the end: " + diskBytes("m0"));
        members.values().forEach(AgreementMember::halt);
    }

    private long diskBytes(String name) throws Exception {
        return Files.size(root.resolve(name).resolve("agreed.mv"));
    }

    /** Sends renewal requests as fast as the leader answers them, with at most 200 in flight. */
    private void measureRenewals(String leader) {
        PeerLinks memberLinks = links.get("m8");
        AtomicLong responses = new AtomicLong();
        members.remove("m8").halt();
        memberLinks.setReceiver(MessageStream.AGREED, (peer, incarnation, body) -> responses.incrementAndGet());
        byte[] request = AgreementCodec.frame(new AgreementMessage.RenewalRequest(
                memberLinks.incarnation(),
                1,
                List.of(new AgreementMessage.NameState(AgreedValues.SETTINGS, 1000, 0, List.of(inForce("m10"))))));
        long startNanos = System.nanoTime();
        long sent = 0;
        while (System.nanoTime() - startNanos < 5_000_000_000L) {
            if (sent - responses.get() < 200) {
                memberLinks.send(leader, MessageStream.AGREED, request);
                sent++;
            }
        }
        System.out.printf(Locale.ROOT, "renewal requests answered per second: %.0f%n", responses.get() / 5.0);
    }

    private void measureClaims() throws Exception {
        List<Double> firstMs = new ArrayList<>();
        List<Double> renewalMs = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            long startNanos = System.nanoTime();
            members.get("m7").acquire("role" + i, 1000).get();
            firstMs.add((System.nanoTime() - startNanos) / 1e6);
            startNanos = System.nanoTime();
            members.get("m7").acquire("role" + i, 1000).get();
            renewalMs.add((System.nanoTime() - startNanos) / 1e6);
        }
        printQuantiles("role claimed", firstMs);
        printQuantiles("role lease extended", renewalMs);
    }
}
