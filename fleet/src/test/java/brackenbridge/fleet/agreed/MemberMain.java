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
                new TcpPeerLinks(me, System.currentTimeMillis(), "f", members, clock, PeerLimits.defaults());
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
        Thread talk = new Thread(() -> talk(node), "talk");
        talk.setDaemon(true);
        talk.start();
        claim(node);
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String[] words = line.split(" ");
            if (words[0].equals("propose")) {
                long expected = Long.parseLong(words[1]);
                node.propose(AgreedValues.SETTINGS, expected, words[2].getBytes(StandardCharsets.UTF_8), 8000)
                        .thenAccept(v -> say("verdict " + words[2] + " " + v));
            } else if (words[0].equals("history")) {
                for (long g = 1; g < 100; g++) {
                    long at = g;
                    node.look(AgreedValues.SETTINGS, g, 4000)
                            .thenAccept(l -> l.ifPresent(
                                    k -> say("kept " + at + " " + new String(k.content(), StandardCharsets.UTF_8))));
                }
            } else if (words[0].equals("who")) {
                say("who " + node.leads() + " "
                        + node.known(AgreedValues.SETTINGS)
                                .map(AgreedValues.Value::generation)
                                .orElse(0L));
            }
        }
        // Its parent is gone.
        System.exit(0);
    }

    private static synchronized void say(String line) {
        System.out.println(line);
        System.out.flush();
    }

    private static void claim(AgreementMember node) {
        node.acquire("driver", 300)
                .thenRunAsync(() -> claim(node), CompletableFuture.delayedExecutor(50, TimeUnit.MILLISECONDS));
    }

    private static void talk(AgreementMember node) {
        while (true) {
            long before = System.nanoTime();
            long token = node.heldLease("driver").map(AgreedValues.Lease::token).orElse(0L);
            EffectiveVersions a = node.leaseView()
                    .effectiveVersions(AgreedValues.SETTINGS, node.clock().nowMs());
            long after = System.nanoTime();
            say("sees " + before + " " + after + " " + token + " " + Math.min(a.one(), a.other()) + " "
                    + Math.max(a.one(), a.other()));
            LockSupport.parkNanos(2_000_000);
        }
    }
}
