package brackenbridge.fleet.agreed;

import brackenbridge.clock.Clock;
import brackenbridge.core.generation.EffectiveVersions;
import brackenbridge.core.generation.LeaseTerms;
import brackenbridge.fleet.peer.Member;
import brackenbridge.fleet.peer.PeerLimits;
import brackenbridge.fleet.peer.TcpPeerLinks;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * A member in a process of its own, for tests: number, disk, ports. It claims the role "driver" all the time and says
 * what it acts by and holds, each with the monotonic time before and after it looked.
 */
final class MemberMain {
    private MemberMain() {}

    public static void main(String[] args) throws Exception {
        List<Member> members = new ArrayList<>();
        for (int i = 2; i < args.length; i++) {
            members.add(new Member("m" + (i - 2), "127.0.0.1:" + args[i], "z"));
        }
        Member me = members.get(Integer.parseInt(args[0]));
        Clock clock = Clock.system();
        TcpPeerLinks links =
                new TcpPeerLinks(me, System.currentTimeMillis(), "f", members, clock, PeerLimits.standard());
        AgreementMember node = new AgreementMember(
                links,
                Path.of(args[1]),
                clock,
                new AgreedSettings(
                        "f",
                        AgreedSettings.voters(members),
                        new LeaseTerms(400, 0.01),
                        40,
                        5,
                        2000,
                        me.name().hashCode()));
        node.start();
        links.start();
        Thread talk = new Thread(() -> reportState(node), "talk");
        talk.setDaemon(true);
        talk.start();
        claimRepeatedly(node);
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String[] command = line.split(" ");
            if (command[0].equals("propose")) {
                long expected = Long.parseLong(command[1]);
                node.propose(AgreedValues.SETTINGS, expected, command[2].getBytes(StandardCharsets.UTF_8), 8000)
                        .thenAccept(verdict -> println("verdict " + command[2] + " " + verdict));
            } else if (command[0].equals("history")) {
                for (long generation = 1; generation < 100; generation++) {
                    long requested = generation;
                    node.readHistory(AgreedValues.SETTINGS, generation, 4000)
                            .thenAccept(response -> response.ifPresent(found -> println(
                                    "kept " + requested + " " + new String(found.content(), StandardCharsets.UTF_8))));
                }
            } else if (command[0].equals("who")) {
                println("who " + node.isLeader() + " "
                        + node.lastKnown(AgreedValues.SETTINGS)
                                .map(AgreedValues.Value::generation)
                                .orElse(0L));
            }
        }
        // Its parent is gone.
        System.exit(0);
    }

    private static synchronized void println(String line) {
        System.out.println(line);
        System.out.flush();
    }

    private static void claimRepeatedly(AgreementMember node) {
        node.acquire("driver", 300)
                .thenRunAsync(
                        () -> claimRepeatedly(node), CompletableFuture.delayedExecutor(50, TimeUnit.MILLISECONDS));
    }

    private static void reportState(AgreementMember node) {
        while (true) {
            long before = System.nanoTime();
            long token = node.heldLease("driver").map(AgreedValues.Lease::token).orElse(0L);
            EffectiveVersions effective = node.leaseView()
                    .effectiveVersions(AgreedValues.SETTINGS, node.clock().nowMs());
            long after = System.nanoTime();
            println("sees " + before + " " + after + " " + token + " " + Math.min(effective.one(), effective.other())
                    + " " + Math.max(effective.one(), effective.other()));
            LockSupport.parkNanos(2_000_000);
        }
    }
}
