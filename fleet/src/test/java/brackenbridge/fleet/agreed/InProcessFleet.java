package brackenbridge.fleet.agreed;

import brackenbridge.clock.Clock;
import brackenbridge.core.generation.EffectiveVersions;
import brackenbridge.core.generation.LeaseTerms;
import brackenbridge.fleet.peer.PeerLinks;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Members in one process, watched at every moment: no two contradict each other, no role is held twice. */
final class InProcessFleet implements AutoCloseable {
    static final double LEASE_MS = 400;
    private static final double DRIFT = 0.01;

    final InMemoryNetwork network;
    private final Path root;
    private final String scheme;
    private final Map<String, AgreementMember> members = new TreeMap<>();
    private final Map<String, PeerLinks> links = new HashMap<>();
    private final List<String> violations = new CopyOnWriteArrayList<>();
    private final Map<String, Long> tokens = new HashMap<>();
    private final Clock systemClock = Clock.system();
    private final Thread checkUntilClosed;
    private volatile boolean closed;
    private volatile long checks;

    InProcessFleet(int n, Path root, long seed) throws IOException {
        this(n, root, seed, "");
    }

    /** Members whose disks are on a file system of this scheme. */
    InProcessFleet(int n, Path root, long seed, String scheme) throws IOException {
        this.scheme = scheme;
        this.network = new InMemoryNetwork(n, seed);
        this.root = root;
        for (int i = 0; i < n; i++) {
            start("m" + i, 1);
        }
        checkUntilClosed = new Thread(this::checkUntilClosed, "watch");
        checkUntilClosed.setDaemon(true);
        checkUntilClosed.start();
    }

    AgreedSettings settings(String name) {
        return new AgreedSettings(
                "f",
                AgreedSettings.voters(network.members()),
                new LeaseTerms(LEASE_MS, DRIFT),
                40,
                5,
                2000,
                name.hashCode());
    }

    Path disk(String name) {
        return root == null ? null : root.resolve(name);
    }

    /** Starts a member whose clock has this rate. */
    AgreementMember start(String name, double rate) throws IOException {
        PeerLinks l = network.links(name);
        AgreementMember n = new AgreementMember(
                l,
                disk(name),
                new Clock() {
                    @Override
                    public double nowMs() {
                        return systemClock.nowMs() * rate;
                    }
                },
                settings(name));
        n.setValidator(AgreedValues.SETTINGS, c -> !new String(c, StandardCharsets.UTF_8).contains("bad at " + name));
        n.useFileScheme(scheme);
        n.start();
        l.start();
        synchronized (members) {
            members.put(name, n);
            links.put(name, l);
        }
        return n;
    }

    /** Ends it as a kill does. */
    void kill(String name) {
        AgreementMember n;
        PeerLinks l;
        synchronized (members) {
            n = members.remove(name);
            l = links.remove(name);
        }
        l.close();
        n.halt();
    }

    AgreementMember member(String name) {
        synchronized (members) {
            return members.get(name);
        }
    }

    List<AgreementMember> all() {
        synchronized (members) {
            return new ArrayList<>(members.values());
        }
    }

    /** Who leads, by its own word; empty if nobody or more than one says so. */
    String leader() {
        List<String> who = new ArrayList<>();
        synchronized (members) {
            members.forEach((name, n) -> {
                if (n.isLeader()) {
                    who.add(name);
                }
            });
        }
        return who.size() == 1 ? who.get(0) : "";
    }

    List<String> violations() {
        return violations;
    }

    long checks() {
        return checks;
    }

    private void checkUntilClosed() {
        while (!closed) {
            check();
            Thread.onSpinWait();
        }
    }

    /** Two collects that are the same: all of it was so at the moment between them. */
    private void check() {
        List<AgreementMember> all = all();
        List<Object> once = collect(all);
        double[] now = all.stream().mapToDouble(n -> n.clock().nowMs()).toArray();
        List<Object> again = collect(all);
        for (int i = 0; i < once.size(); i++) {
            if (once.get(i) != again.get(i)) {
                return;
            }
        }
        checks++;
        for (String name : List.of(AgreedValues.SETTINGS, AgreedValues.SHARES)) {
            for (int i = 0; i < all.size(); i++) {
                for (int j = 0; j < i; j++) {
                    EffectiveVersions a = ((LeaseView) once.get(2 * i)).effectiveVersions(name, now[i]);
                    EffectiveVersions b = ((LeaseView) once.get(2 * j)).effectiveVersions(name, now[j]);
                    if (a.contradicts(b)) {
                        violations.add(name + ": " + a + " beside " + b);
                    }
                }
            }
        }
        Map<String, String> holders = new HashMap<>();
        for (int i = 0; i < all.size(); i++) {
            int at = i;
            @SuppressWarnings("unchecked")
            Map<String, AgreedValues.Lease> held = (Map<String, AgreedValues.Lease>) once.get(2 * i + 1);
            held.forEach((role, h) -> {
                if (h.untilMs() > now[at]) {
                    String other = holders.put(role, h.holder());
                    if (other != null) {
                        violations.add(role + " held by " + other + " and " + h.holder());
                    }
                    if (h.token() < tokens.getOrDefault(role, 0L)) {
                        violations.add(role + ": token " + h.token() + " after " + tokens.get(role));
                    }
                    tokens.merge(role, h.token(), Math::max);
                }
            });
        }
    }

    private static List<Object> collect(List<AgreementMember> all) {
        List<Object> collected = new ArrayList<>();
        for (AgreementMember n : all) {
            collected.add(n.leaseView());
            collected.add(n.roleLeases());
        }
        return collected;
    }

    @Override
    public void close() {
        closed = true;
        try {
            checkUntilClosed.join(5000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        synchronized (members) {
            members.values().forEach(AgreementMember::halt);
        }
        network.close();
    }
}
