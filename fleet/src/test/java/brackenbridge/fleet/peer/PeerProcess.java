package brackenbridge.fleet.peer;

import brackenbridge.clock.Clock;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.util.ArrayList;
import java.util.List;

/** Runs a member as a separate process: prints its address and each status change; reads its members from stdin. */
final class PeerProcess {
    static final PeerLimits LIMITS = TcpPeerLinksTest.SHORT_TIMEOUTS.withLivenessTimeouts(50, 400, 1200);

    private PeerProcess() {}

    /**
     * Arguments: name and incarnation. Each line on standard input is the complete list of members, as name=address
     * entries separated by blanks.
     */
    public static void main(String[] args) throws IOException {
        TcpPeerLinks links = new TcpPeerLinks(
                new Member(args[0], "127.0.0.1:0", "z"),
                Long.parseLong(args[1]),
                "f",
                List.of(),
                Clock.system(),
                LIMITS);
        links.addWatcher((peer, status, incarnation) -> System.out.println(peer + " " + status + " " + incarnation));
        links.start();
        System.out.println("at " + links.self().address());
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            List<Member> members = new ArrayList<>();
            for (String entry : line.split(" ")) {
                int separator = entry.indexOf('=');
                members.add(new Member(entry.substring(0, separator), entry.substring(separator + 1), "z"));
            }
            links.update(members);
        }
        links.close();
    }
}
