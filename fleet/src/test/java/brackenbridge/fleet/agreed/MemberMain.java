package brackenbridge.fleet.agreed;

import brackenbridge.clock.Clock;
import brackenbridge.core.generation.EffectiveGenerations;
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
 * Runs a member in its own process, for tests; arguments are its index, its disk and all ports. It claims the role
 * "driver" repeatedly and prints the generations that it uses and the role token that it holds, with the monotonic time
 * before and after reading them.
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
        AgreementMember member = new AgreementMember(
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
        member.start();
        links.start();
        Thread reporter = new Thread(() -> reportState(member), "reporter");
        reporter.setDaemon(true);
        reporter.start();
        claimRepeatedly(member);
        BufferedReader input = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = input.readLine(); line != null; line = input.readLine()) {
            String[] command = line.split(" ");
            if (command[0].equals("propose")) {
                long expected = Long.parseLong(command[1]);
                member.propose(AgreedValues.SETTINGS, expected, command[2].getBytes(StandardCharsets.UTF_8), 8000)
                        .thenAccept(verdict -> println("verdict " + command[2] + " " + verdict));
            } else if (command[0].equals("history")) {
                for (long generation = 1; generation < 100; generation++) {
                    long requested = generation;
                    member.readHistory(AgreedValues.SETTINGS, generation, 4000)
                            .thenAccept(response -> response.ifPresent(found -> println(
                                    "kept " + requested + " " + new String(found.content(), StandardCharsets.UTF_8))));
                }
            } else if (command[0].equals("who")) {
                println("who " + member.isLeader() + " "
                        + member.lastKnown(AgreedValues.SETTINGS)
                                .map(AgreedValues.Value::generation)
                                .orElse(0L));
            }
        }
        // The parent process has ended.
        System.exit(0);
    }

    private static synchronized void println(String line) {
        System.out.println(line);
        System.out.flush();
    }

    private static void claimRepeatedly(AgreementMember member) {
        member.acquire("driver", 300)
                .thenRunAsync(
                        () -> claimRepeatedly(member), CompletableFuture.delayedExecutor(50, TimeUnit.MILLISECONDS));
    }

    private static void reportState(AgreementMember member) {
        while (true) {
            long beforeNanos = System.nanoTime();
            long token =
                    member.heldLease("driver").map(AgreedValues.Lease::token).orElse(0L);
            EffectiveGenerations effective = member.leaseView()
                    .effectiveVersions(AgreedValues.SETTINGS, member.clock().nowMs());
            long afterNanos = System.nanoTime();
            println("sees " + beforeNanos + " " + afterNanos + " " + token + " "
                    + Math.min(effective.first(), effective.second()) + " "
                    + Math.max(effective.first(), effective.second()));
            LockSupport.parkNanos(2_000_000);
        }
    }
}
