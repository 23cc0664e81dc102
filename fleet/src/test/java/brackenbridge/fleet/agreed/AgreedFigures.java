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

/** Measures what {@code docs/design/agreed.md} says: twelve members of which five vote, usual terms, by hand. */
final class AgreedFigures {
    private static final int MEMBERS = 12;

    private final MemoryNet net = new MemoryNet(MEMBERS, 1);
    private final Map<String, AgreementMember> nodes = new TreeMap<>();
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
        PeerLinks l = net.links(name);
        AgreementMember n = new AgreementMember(
                l, root.resolve(name), Clock.system(), AgreedSettings.of("f", net.members(), name.hashCode()));
        n.start();
        nodes.put(name, n);
        links.put(name, l);
    }

    private static double until(BooleanSupplier what) {
        long from = System.nanoTime();
        while (!what.getAsBoolean()) {
            if (System.nanoTime() - from > 30_000_000_000L) {
                throw new IllegalStateException("not in 30 s");
            }
            Thread.onSpinWait();
        }
        return (System.nanoTime() - from) / 1e6;
    }

    private String leader() {
        String[] who = new String[1];
        until(() -> {
            List<String> l = nodes.entrySet().stream()
                    .filter(e -> e.getValue().leads())
                    .map(Map.Entry::getKey)
                    .toList();
            who[0] = l.size() == 1 ? l.get(0) : null;
            return who[0] != null;
        });
        return who[0];
    }

    private long inForce(String at) {
        return nodes.get(at)
                .known(AgreedValues.SETTINGS)
                .map(AgreedValues.Value::generation)
                .orElse(0L);
    }

    private double propose(String at, int bytes) throws Exception {
        long from = System.nanoTime();
        Verdict v = nodes.get(at)
                .propose(AgreedValues.SETTINGS, inForce(at), new byte[bytes], 20_000)
                .get();
        if (v != Verdict.IN_FORCE) {
            throw new IllegalStateException(v.toString());
        }
        return (System.nanoTime() - from) / 1e6;
    }

    private static void say(String what, List<Double> ms) {
        List<Double> s = ms.stream().sorted().toList();
        System.out.printf(
                Locale.ROOT,
                "%s: n %d, p50 %.0f, p99 %.0f, max %.0f ms%n",
                what,
                s.size(),
                s.get(s.size() / 2),
                s.get(Math.min(s.size() - 1, s.size() * 99 / 100)),
                s.get(s.size() - 1));
    }

    private boolean all(long g, String but) {
        return nodes.entrySet().stream()
                .allMatch(e -> e.getKey().equals(but)
                        || e.getValue()
                                .acting(AgreedValues.SETTINGS)
                                .map(a -> a.other() == null && a.one().generation() == g)
                                .orElse(false));
    }

    private void run() throws Exception {
        for (int i = 0; i < MEMBERS; i++) {
            start("m" + i);
        }
        String leader = leader();
        propose("m11", 4096);
        until(() -> all(1, ""));
        List<Double> force = new ArrayList<>();
        List<Double> everywhere = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            long from = System.nanoTime();
            force.add(propose("m10", 4096));
            long now = inForce("m10");
            until(() -> all(now, ""));
            everywhere.add((System.nanoTime() - from) / 1e6);
        }
        say("in force, none out of reach", force);
        say("all act by it, none out of reach", everywhere);
        force.clear();
        for (int i = 0; i < 20; i++) {
            net.cut("m9");
            force.add(propose("m10", 4096));
            net.cut();
            until(() -> nodes.values().stream()
                    .allMatch(n -> n.acting(AgreedValues.SETTINGS)
                            .map(a -> a.other() == null && a.one().generation() == inForce("m10"))
                            .orElse(false)));
        }
        say("in force, one out of reach", force);
        flood(leader);
        long before = bytes("m0");
        System.out.println("bytes on disk after 121 proposals of 4 KiB: " + before);
        roles();
        List<Double> leads = new ArrayList<>();
        List<Double> again = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            String old = leader();
            AgreementMember n = nodes.remove(old);
            links.get(old).close();
            long from = System.nanoTime();
            n.halt();
            leader();
            leads.add((System.nanoTime() - from) / 1e6);
            propose("m10", 4096);
            again.add((System.nanoTime() - from) / 1e6);
            start(old);
            until(() -> nodes.get(old).status().contains("left"));
        }
        say("takeover: another leads after", leads);
        say("takeover: a proposal made then is in force after", again);
        System.out.println("bytes on disk at the end: " + bytes("m0"));
        nodes.values().forEach(AgreementMember::halt);
    }

    private long bytes(String name) throws Exception {
        return Files.size(root.resolve(name).resolve("agreed.mv"));
    }

    /** Questions as fast as the leader answers them, at most 200 on their way. */
    private void flood(String leader) {
        PeerLinks l = links.get("m8");
        AtomicLong answers = new AtomicLong();
        nodes.remove("m8").halt();
        l.setReceiver(MessageStream.AGREED, (p, life, b) -> answers.incrementAndGet());
        byte[] q = AgreementCodec.frame(new AgreementMessage.Question(
                l.incarnation(),
                1,
                List.of(new AgreementMessage.Heard(AgreedValues.SETTINGS, 1000, 0, List.of(inForce("m10"))))));
        long from = System.nanoTime();
        long sent = 0;
        while (System.nanoTime() - from < 5_000_000_000L) {
            if (sent - answers.get() < 200) {
                l.send(leader, MessageStream.AGREED, q);
                sent++;
            }
        }
        System.out.printf(Locale.ROOT, "questions answered a second: %.0f%n", answers.get() / 5.0);
    }

    private void roles() throws Exception {
        List<Double> first = new ArrayList<>();
        List<Double> further = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            long from = System.nanoTime();
            nodes.get("m7").acquire("role" + i, 1000).get();
            first.add((System.nanoTime() - from) / 1e6);
            from = System.nanoTime();
            nodes.get("m7").acquire("role" + i, 1000).get();
            further.add((System.nanoTime() - from) / 1e6);
        }
        say("a role is taken", first);
        say("a role is extended", further);
    }
}
