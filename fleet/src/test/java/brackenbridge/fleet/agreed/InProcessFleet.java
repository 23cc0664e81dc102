package brackenbridge.fleet.agreed;

import brackenbridge.clock.Clock;
import brackenbridge.core.generation.EffectiveGenerations;
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

/**
 * Members in one process. A thread continuously checks that no two members use contradicting generations and that no
 * role has two holders.
 */
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
    private final Thread checker;
    private volatile boolean closed;
    private volatile long checks;

    InProcessFleet(int count, Path root, long seed) throws IOException {
        this(count, root, seed, "");
    }

    /** Creates members whose disks are on a file system of this scheme. */
    InProcessFleet(int count, Path root, long seed, String scheme) throws IOException {
        this.scheme = scheme;
        this.network = new InMemoryNetwork(count, seed);
        this.root = root;
        for (int i = 0; i < count; i++) {
            start("m" + i, 1);
        }
        checker = new Thread(this::checkUntilClosed, "checker");
        checker.setDaemon(true);
        checker.start();
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

    /** Starts a member whose clock runs at this rate. */
    AgreementMember start(String name, double clockRate) throws IOException {
        PeerLinks memberLinks = network.links(name);
        AgreementMember member = new AgreementMember(
                memberLinks,
                disk(name),
                new Clock() {
                    @Override
                    public double nowMs() {
                        return systemClock.nowMs() * clockRate;
                    }
                },
                settings(name));
        member.setValidator(
                AgreedValues.SETTINGS,
                content -> !new String(content, StandardCharsets.UTF_8).contains("bad at " + name));
        member.useFileScheme(scheme);
        member.start();
        memberLinks.start();
        synchronized (members) {
            members.put(name, member);
            links.put(name, memberLinks);
        }
        return member;
    }

    /** Stops a member like a killed process. */
    void kill(String name) {
        AgreementMember member;
        PeerLinks memberLinks;
        synchronized (members) {
            member = members.remove(name);
            memberLinks = links.remove(name);
        }
        memberLinks.close();
        member.halt();
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

    /** The member that reports to be the leader; empty if none or more than one does. */
    String leader() {
        List<String> leaders = new ArrayList<>();
        synchronized (members) {
            members.forEach((name, member) -> {
                if (member.isLeader()) {
                    leaders.add(name);
                }
            });
        }
        return leaders.size() == 1 ? leaders.get(0) : "";
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

    /**
     * Checks a consistent snapshot of all members: if two subsequent collects return the same objects, all of them were
     * current at the moment between the two.
     */
    private void check() {
        List<AgreementMember> members = all();
        List<Object> first = collect(members);
        double[] nowMs =
                members.stream().mapToDouble(member -> member.clock().nowMs()).toArray();
        List<Object> second = collect(members);
        for (int i = 0; i < first.size(); i++) {
            if (first.get(i) != second.get(i)) {
                return;
            }
        }
        checks++;
        for (String name : List.of(AgreedValues.SETTINGS, AgreedValues.SHARES)) {
            for (int i = 0; i < members.size(); i++) {
                for (int j = 0; j < i; j++) {
                    EffectiveGenerations effective = ((LeaseView) first.get(2 * i)).effectiveVersions(name, nowMs[i]);
                    EffectiveGenerations otherEffective =
                            ((LeaseView) first.get(2 * j)).effectiveVersions(name, nowMs[j]);
                    if (effective.contradicts(otherEffective)) {
                        violations.add(name + ": " + effective + " contradicts " + otherEffective);
                    }
                }
            }
        }
        Map<String, String> holders = new HashMap<>();
        for (int i = 0; i < members.size(); i++) {
            int memberIndex = i;
            @SuppressWarnings("unchecked")
            Map<String, AgreedValues.Lease> leases = (Map<String, AgreedValues.Lease>) first.get(2 * i + 1);
            leases.forEach((role, lease) -> {
                if (lease.untilMs() > nowMs[memberIndex]) {
                    String other = holders.put(role, lease.holder());
                    if (other != null) {
                        violations.add(role + " held by " + other + " and " + lease.holder());
                    }
                    if (lease.token() < tokens.getOrDefault(role, 0L)) {
                        violations.add(role + ": token " + lease.token() + " after " + tokens.get(role));
                    }
                    tokens.merge(role, lease.token(), Math::max);
                }
            });
        }
    }

    private static List<Object> collect(List<AgreementMember> members) {
        List<Object> collected = new ArrayList<>();
        for (AgreementMember member : members) {
            collected.add(member.leaseView());
            collected.add(member.roleLeases());
        }
        return collected;
    }

    @Override
    public void close() {
        closed = true;
        try {
            checker.join(5000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        synchronized (members) {
            members.values().forEach(AgreementMember::halt);
        }
        network.close();
    }
}
