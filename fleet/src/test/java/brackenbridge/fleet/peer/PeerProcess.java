package brackenbridge.fleet.peer;

import brackenbridge.clock.Clock;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.util.ArrayList;
import java.util.List;

/** A member as a process of its own: tells its address and each standing; its members come line by line. */
final class PeerProcess {
    static final PeerLimits LIMITS = TcpPeerLinksTest.SHORT_TIMEOUTS.withLivenessTimeouts(50, 400, 1200);

    private PeerProcess() {}

    /** Name and life. Each line on standard input is the whole list of members: name=address, in between blanks. */
    public static void main(String[] args) throws IOException {
        TcpPeerLinks links = new TcpPeerLinks(
                new Member(args[0], "127.0.0.1:0", "z"),
                Long.parseLong(args[1]),
                "f",
                List.of(),
                Clock.system(),
                LIMITS);
        links.addWatcher(
                (peer, standing, incarnation) -> System.out.println(peer + " " + standing + " " + incarnation));
        links.start();
        System.out.println("at " + links.self().address());
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            List<Member> members = new ArrayList<>();
            for (String word : line.split(" ")) {
                int sign = word.indexOf('=');
                members.add(new Member(word.substring(0, sign), word.substring(sign + 1), "z"));
            }
            links.update(members);
        }
        links.close();
    }
}
