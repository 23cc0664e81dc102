package brackenbridge.fleet.peer;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class TcpLinksTest {
    static final PeerLimits QUICK = new PeerLimits(64 << 10, 256 << 10, 64, 20, 150, 500, 400, 10, 100, 4, 3);

    private final List<TcpLinks> open = new ArrayList<>();
    private final Queue<String> heard = new ConcurrentLinkedQueue<>();
    private final Queue<String> alarms = new ConcurrentLinkedQueue<>();

    @AfterEach
    void close() {
        open.forEach(TcpLinks::close);
    }

    private TcpLinks links(String name, long life, String fleet, PeerLimits limits) throws Exception {
        TcpLinks links = new TcpLinks(new Member(name, "127.0.0.1:0", "z"), life, fleet, List.of(), Clock.system(),
                limits);
        open.add(links);
        links.receive(Stream.REPLICA, (peer, from, body) -> heard.add(name + "<" + peer + from + new String(body)));
        links.alarm((who, why, text) -> alarms.add(name + ":" + who + ":" + why));
        links.start();
        return links;
    }

    private static void meet(TcpLinks... all) {
        List<Member> members = new ArrayList<>();
        for (TcpLinks links : all) {
            members.add(links.me());
        }
        for (TcpLinks links : all) {
            links.update(members);
        }
    }

    private static void awaitLinks(int each, TcpLinks... all) {
        for (TcpLinks links : all) {
            await().until(() -> links.links().size() == each);
        }
    }

    @Test
    void threeMembersLinkSpeakAndSayFarewell() throws Exception {
        TcpLinks a = links("a", 1, "f", QUICK);
        TcpLinks b = links("b", 7, "f", QUICK);
        TcpLinks c = links("c", 1, "f", QUICK);
        meet(a, b, c);
        awaitLinks(2, a, b, c);
        assertEquals(Standing.ALIVE, a.standing("b"));
        assertTrue(b.send("a", Stream.REPLICA, "x".getBytes()));
        assertTrue(b.send("c", Stream.REPLICA, "y".getBytes()));
        await().until(() -> heard.contains("a<b7x") && heard.contains("c<b7y"));
        b.close();
        await().until(() -> a.standing("b") == Standing.GONE && c.standing("b") == Standing.GONE);
        assertFalse(a.send("b", Stream.REPLICA, "z".getBytes()));
        assertEquals(0, a.figures().get("deaths"), "a farewell is no death");
        assertEquals(0, b.figures().get("threads"));
        TcpLinks again = links("b", 8, "f", QUICK);
        meet(a, again, c);
        await().until(() -> a.standing("b") == Standing.ALIVE && c.standing("b") == Standing.ALIVE);
        assertTrue(alarms.isEmpty(), alarms::toString);
    }
}
