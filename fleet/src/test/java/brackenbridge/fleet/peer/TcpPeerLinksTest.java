package brackenbridge.fleet.peer;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class TcpPeerLinksTest {
    static final PeerLimits SHORT_TIMEOUTS = new PeerLimits(64 << 10, 256 << 10, 64, 20, 150, 500, 400, 10, 100, 4, 3);

    /** A longer timeout than the other side's, so that the other side closes the connection first. */
    static final PeerLimits LONG_DEAD_TIMEOUT = SHORT_TIMEOUTS.withLivenessTimeouts(20, 150, 9000);
    /** Timeouts long enough that a busy machine does not lose connections by itself. */
    static final PeerLimits TOLERANT_TIMEOUTS = SHORT_TIMEOUTS.withLivenessTimeouts(20, 300, 1500);

    private final List<TcpPeerLinks> open = new ArrayList<>();
    private final List<Relay> relays = new CopyOnWriteArrayList<>();
    private final Queue<String> received = new ConcurrentLinkedQueue<>();
    private final Queue<String> faults = new ConcurrentLinkedQueue<>();

    @AfterEach
    void close() throws IOException {
        for (Relay relay : relays) {
            relay.close();
        }
        open.forEach(TcpPeerLinks::close);
        for (TcpPeerLinks links : open) {
            assertEquals(
                    0,
                    links.metrics().get("threads"),
                    "threads of " + links.self().name());
        }
    }

    private TcpPeerLinks startLinks(String name, long incarnation, String fleet, PeerLimits limits) throws Exception {
        TcpPeerLinks links = new TcpPeerLinks(
                new Member(name, "127.0.0.1:0", "z"), incarnation, fleet, List.of(), Clock.system(), limits);
        open.add(links);
        links.setReceiver(
                MessageStream.REPLICA, (peer, from, body) -> received.add(name + "<" + peer + from + new String(body)));
        links.addFaultListener((member, reason, text) -> faults.add(name + ":" + member + ":" + reason));
        links.start();
        return links;
    }

    /** A proxy between a dialer and a listener that can block either direction or corrupt a byte. */
    private final class Relay implements AutoCloseable {
        final ServerSocket serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        final List<Socket> sockets = new CopyOnWriteArrayList<>();
        final int target;
        volatile boolean blockToListener;
        volatile boolean blockToDialer;
        volatile boolean corruptNext;

        Relay(TcpPeerLinks listener) throws IOException {
            String address = listener.self().address();
            target = Integer.parseInt(address.substring(address.indexOf(':') + 1));
            relays.add(this);
            startThread(() -> {
                while (true) {
                    Socket from = serverSocket.accept();
                    Socket to = new Socket(InetAddress.getLoopbackAddress(), target);
                    sockets.addAll(List.of(from, to));
                    startThread(() -> copy(from, to, true));
                    startThread(() -> copy(to, from, false));
                }
            });
        }

        Member memberAtRelay(TcpPeerLinks listener) {
            return new Member(listener.self().name(), "127.0.0.1:" + serverSocket.getLocalPort(), "z");
        }

        private void copy(Socket from, Socket to, boolean toListener) throws IOException {
            byte[] bytes = new byte[4096];
            for (int count = from.getInputStream().read(bytes);
                    count > 0;
                    count = from.getInputStream().read(bytes)) {
                synchronized (this) {
                    while (toListener ? blockToListener : blockToDialer) {
                        try {
                            wait();
                        } catch (InterruptedException e) {
                            return;
                        }
                    }
                }
                if (corruptNext) {
                    corruptNext = false;
                    bytes[count / 2] ^= 4;
                }
                to.getOutputStream().write(bytes, 0, count);
            }
            from.close();
            to.close();
        }

        synchronized void block(boolean toListener, boolean toDialer) {
            blockToListener = toListener;
            blockToDialer = toDialer;
            notifyAll();
        }

        @Override
        public void close() throws IOException {
            block(false, false);
            serverSocket.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startThread(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The socket was closed: the thread terminates.
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static double metric(TcpPeerLinks links, String name) {
        return links.metrics().getOrDefault(name, 0.0);
    }

    /** Connects a to b through a relay; b does not know a's address and so cannot dial it directly. */
    private Relay connectThroughRelay(TcpPeerLinks a, TcpPeerLinks b) throws IOException {
        Relay relay = new Relay(b);
        b.update(List.of(new Member(a.self().name(), "127.0.0.1:1", "z")));
        a.update(List.of(relay.memberAtRelay(b)));
        awaitConnections(1, a, b);
        return relay;
    }

    private static void connectAll(TcpPeerLinks... all) {
        List<Member> members = new ArrayList<>();
        for (TcpPeerLinks links : all) {
            members.add(links.self());
        }
        for (TcpPeerLinks links : all) {
            links.update(members);
        }
    }

    private static void awaitConnections(int each, TcpPeerLinks... all) {
        for (TcpPeerLinks links : all) {
            await().until(() -> links.connectedPeers().size() == each);
        }
    }

    @Test
    void threeMembersConnectSendAndLeave() throws Exception {
        TcpPeerLinks a = startLinks("a", 1, "f", SHORT_TIMEOUTS);
        TcpPeerLinks b = startLinks("b", 7, "f", SHORT_TIMEOUTS);
        TcpPeerLinks c = startLinks("c", 1, "f", SHORT_TIMEOUTS);
        connectAll(a, b, c);
        awaitConnections(2, a, b, c);
        assertEquals(MemberStatus.ALIVE, a.status("b"));
        assertTrue(b.send("a", MessageStream.REPLICA, "x".getBytes()));
        assertTrue(b.send("c", MessageStream.REPLICA, "y".getBytes()));
        await().until(() -> received.contains("a<b7x") && received.contains("c<b7y"));
        b.close();
        await().until(() -> a.status("b") == MemberStatus.DEAD && c.status("b") == MemberStatus.DEAD);
        assertFalse(a.send("b", MessageStream.REPLICA, "z".getBytes()));
        assertEquals(0, a.metrics().get("deaths"), "a member that leaves is not counted as a death");
        assertEquals(0, b.metrics().get("threads"));
        TcpPeerLinks again = startLinks("b", 8, "f", SHORT_TIMEOUTS);
        connectAll(a, again, c);
        await().until(() -> a.status("b") == MemberStatus.ALIVE && c.status("b") == MemberStatus.ALIVE);
        assertTrue(faults.isEmpty(), faults::toString);
    }

    @Test
    void mismatchedMembersAreRejectedAndBothSidesAreNotified() throws Exception {
        TcpPeerLinks a = startLinks("a", 5, "f", SHORT_TIMEOUTS);
        TcpPeerLinks b = startLinks("b", 1, "g", SHORT_TIMEOUTS);
        connectAll(a, b);
        await().until(() -> metric(a, "refused_another_fleet") > 0 && metric(b, "refused_by_another_fleet") > 0);
        assertTrue(faults.contains("b:a:FLEET_MISMATCH"), faults::toString);
        TcpPeerLinks c = startLinks("c", 1, "f", SHORT_TIMEOUTS);
        c.update(List.of(a.self()));
        await().until(() -> metric(a, "refused_unknown_member") > 0);
        // d is configured at the address of a.
        c.update(List.of(new Member("d", a.self().address(), "z")));
        await().until(() -> metric(a, "refused_not_the_one") > 0 && faults.contains("c:d:WRONG_MEMBER"));
        assertTrue(a.connectedPeers().isEmpty()
                && b.connectedPeers().isEmpty()
                && c.connectedPeers().isEmpty());
    }

    @Test
    void laterIncarnationReplacesTheEarlier() throws Exception {
        TcpPeerLinks a = startLinks("a", 1, "f", SHORT_TIMEOUTS);
        TcpPeerLinks b = startLinks("b", 5, "f", SHORT_TIMEOUTS);
        connectAll(a, b);
        awaitConnections(1, a, b);
        b.abort();
        TcpPeerLinks later = startLinks("b", 6, "f", SHORT_TIMEOUTS);
        connectAll(a, later);
        awaitConnections(1, a, later);
        assertTrue(later.send("a", MessageStream.REPLICA, "x".getBytes()));
        await().until(() -> received.contains("a<b6x"));
    }

    @Test
    void earlierIncarnationIsRejectedOnceALaterOneIsKnown() throws Exception {
        TcpPeerLinks a = startLinks("a", 1, "f", SHORT_TIMEOUTS);
        TcpPeerLinks earlier = startLinks("b", 4, "f", SHORT_TIMEOUTS);
        connectAll(a, earlier);
        awaitConnections(1, a, earlier);
        earlier.update(List.of());
        awaitConnections(0, a, earlier);
        TcpPeerLinks later = startLinks("b", 6, "f", SHORT_TIMEOUTS);
        connectAll(a, later);
        awaitConnections(1, a, later);
        earlier.update(List.of(a.self()));
        await().until(() -> faults.contains("b:b:STALE_INCARNATION") && faults.contains("a:b:STALE_INCARNATION"));
        assertEquals(4, earlier.incarnation());
        assertTrue(earlier.connectedPeers().isEmpty());
        assertTrue(later.send("a", MessageStream.REPLICA, "x".getBytes()));
        await().until(() -> received.contains("a<b6x"));
    }

    /** Incarnations derive from the time of day, which steps back by an hour between two processes of b. */
    @Test
    void processStartedAfterAClockStepBackTakesALaterIncarnation() throws Exception {
        TcpPeerLinks a = startLinks("a", 1, "f", SHORT_TIMEOUTS);
        TcpPeerLinks before = startLinks("b", 3_600_000, "f", SHORT_TIMEOUTS);
        connectAll(a, before);
        awaitConnections(1, a, before);
        before.abort();
        TcpPeerLinks after = startLinks("b", 1000, "f", SHORT_TIMEOUTS);
        connectAll(a, after);
        awaitConnections(1, a, after);
        await().until(() -> after.send("a", MessageStream.REPLICA, "x".getBytes()));
        await().until(() -> received.contains("a<b3600001x"));
        assertEquals(3_600_001, after.incarnation());
        await().until(() -> a.status("b") == MemberStatus.ALIVE);
        assertTrue(faults.stream().noneMatch(fault -> fault.endsWith("DUPLICATE_NAME")), faults::toString);
    }

    /**
     * c starts after the later incarnation has ended, so it connects to the process with the earlier number before it
     * learns of the later one.
     */
    @Test
    void laterIncarnationIsTakenAfterConnectingToAPeerThatDoesNotKnowTheEndedOne() throws Exception {
        TcpPeerLinks a = startLinks("a", 1, "f", SHORT_TIMEOUTS);
        TcpPeerLinks before = startLinks("b", 9, "f", SHORT_TIMEOUTS);
        connectAll(a, before);
        awaitConnections(1, a, before);
        before.abort();
        await().until(() -> a.status("b") == MemberStatus.DEAD);
        TcpPeerLinks after = startLinks("b", 4, "f", SHORT_TIMEOUTS);
        TcpPeerLinks c = startLinks("c", 1, "f", SHORT_TIMEOUTS);
        c.update(List.of(after.self()));
        after.update(List.of(c.self()));
        awaitConnections(1, after, c);
        assertEquals(4, after.incarnation());
        connectAll(a, after, c);
        awaitConnections(2, a, after, c);
        assertEquals(10, after.incarnation());
        await().until(() -> a.status("b") == MemberStatus.ALIVE && c.status("b") == MemberStatus.ALIVE);
        assertTrue(faults.stream().noneMatch(fault -> fault.endsWith("DUPLICATE_NAME")), faults::toString);
    }

    @Test
    void twoProcessesOfOneNameAreDetectedAndBothAreNotified() throws Exception {
        TcpPeerLinks a = startLinks("a", 1, "f", SHORT_TIMEOUTS);
        TcpPeerLinks b = startLinks("b", 5, "f", SHORT_TIMEOUTS);
        connectAll(a, b);
        awaitConnections(1, a, b);
        TcpPeerLinks copy = startLinks("b", 6, "f", SHORT_TIMEOUTS);
        copy.update(List.of(a.self()));
        await().until(() -> faults.contains("a:b:DUPLICATE_NAME"));
        await().until(() -> faults.stream()
                        .filter(fault -> fault.equals("b:b:DUPLICATE_NAME"))
                        .count()
                >= 2);
        assertTrue(
                b.connectedPeers().contains("a") && copy.connectedPeers().isEmpty(),
                "the first process keeps its connection");
    }

    @Test
    void corruptedByteEndsTheConnectionAndIsNotDelivered() throws Exception {
        TcpPeerLinks a = startLinks("a", 1, "f", TOLERANT_TIMEOUTS);
        TcpPeerLinks b = startLinks("b", 1, "f", TOLERANT_TIMEOUTS);
        Relay relay = connectThroughRelay(a, b);
        relay.corruptNext = true;
        await().until(() -> metric(a, "frames_unreadable") + metric(b, "frames_unreadable") > 0);
        await().until(() -> a.send("b", MessageStream.REPLICA, "whole".getBytes()) && !received.isEmpty());
        assertTrue(received.stream().allMatch("b<a1whole"::equals), received::toString);
        assertEquals(0, metric(a, "deaths") + metric(b, "deaths"));
    }

    @Test
    void fullQueueIsReportedAndAStalledConnectionIsClosed() throws Exception {
        TcpPeerLinks a = startLinks("a", 1, "f", TOLERANT_TIMEOUTS);
        TcpPeerLinks b = startLinks("b", 1, "f", LONG_DEAD_TIMEOUT);
        Relay relay = connectThroughRelay(a, b);
        relay.block(true, false);
        byte[] body = new byte[60_000];
        await().pollInterval(Duration.ofMillis(1)).until(() -> !a.send("b", MessageStream.REPLICA, body));
        assertTrue(a.send("b", MessageStream.SHARE, body), "another stream has a queue of its own");
        assertTrue(metric(a, "unsent_queue_full") > 0);
        await().until(() -> metric(a, "writes_stalled") + metric(a, "one_way_closed") > 0);
        relay.block(false, false);
        awaitConnections(1, a, b);
        await().until(() -> a.status("b") == MemberStatus.ALIVE && b.status("a") == MemberStatus.ALIVE);
    }

    @Test
    void oneWayLinkAmongThreeMembersDeclaresNobodyDead() throws Exception {
        TcpPeerLinks a = startLinks("a", 1, "f", TOLERANT_TIMEOUTS);
        TcpPeerLinks b = startLinks("b", 1, "f", LONG_DEAD_TIMEOUT);
        TcpPeerLinks c = startLinks("c", 1, "f", TOLERANT_TIMEOUTS);
        Relay relay = new Relay(b);
        b.update(List.of(new Member("a", "127.0.0.1:1", "z"), c.self()));
        a.update(List.of(relay.memberAtRelay(b), c.self()));
        c.update(List.of(a.self(), b.self()));
        awaitConnections(2, a, b, c);
        relay.block(true, false);
        await().until(() -> metric(a, "one_way_closed") > 0);
        // b announced its listen address: the next dial goes there and bypasses the blocked relay.
        await().until(() -> metric(a, "links_made") > 2 && a.isConnected("b"));
        assertEquals(MemberStatus.ALIVE, b.status("a"), "c still receives from it");
        assertEquals(0, metric(a, "deaths") + metric(b, "deaths") + metric(c, "deaths"));
    }

    @Test
    void unidentifiedConnectionsAreBoundedAndBlockNoMember() throws Exception {
        TcpPeerLinks a = startLinks("a", 1, "f", SHORT_TIMEOUTS);
        List<Socket> idle = new ArrayList<>();
        String address = a.self().address();
        for (int i = 0; i < 40; i++) {
            idle.add(new Socket("127.0.0.1", Integer.parseInt(address.substring(address.indexOf(':') + 1))));
        }
        idle.get(39).getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes());
        await().until(() -> metric(a, "strangers_refused") > 0);
        assertTrue(metric(a, "strangers") <= SHORT_TIMEOUTS.maxPendingHandshakes());
        TcpPeerLinks b = startLinks("b", 1, "f", SHORT_TIMEOUTS);
        connectAll(a, b);
        awaitConnections(1, a, b);
        await().until(() -> metric(a, "strangers") == 0);
        for (Socket socket : idle) {
            socket.close();
        }
    }

    @Test
    void simultaneousDialsLeaveOneConnectionPerPair() throws Exception {
        List<TcpPeerLinks> all = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            all.add(startLinks("m" + i, 1, "f", SHORT_TIMEOUTS));
        }
        TcpPeerLinks[] members = all.toArray(new TcpPeerLinks[0]);
        connectAll(members);
        awaitConnections(7, members);
        await().until(() -> all.stream()
                .allMatch(member -> metric(member, "threads") == 3 + 2 * 7 && metric(member, "peers_alive") == 7));
        for (TcpPeerLinks from : members) {
            for (TcpPeerLinks to : members) {
                assertTrue(from == to || from.send(to.self().name(), MessageStream.REPLICA, "!".getBytes()));
            }
        }
        await().until(() -> received.size() == 56);
        all.get(0).update(List.of());
        await().until(() -> all.get(1).connectedPeers().size() == 6
                && all.get(0).connectedPeers().isEmpty());
        assertTrue(all.get(0).peers().isEmpty());
    }
}
