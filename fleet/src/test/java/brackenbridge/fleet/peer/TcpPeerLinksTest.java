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
    static final PeerLimits QUICK = new PeerLimits(64 << 10, 256 << 10, 64, 20, 150, 500, 400, 10, 100, 4, 3);

    /** Waits longer than the other side, so that the other side is the one that closes. */
    static final PeerLimits PATIENT = QUICK.withLivenessTimeouts(20, 150, 9000);
    /** A busy machine does not break a link by itself. */
    static final PeerLimits CALM = QUICK.withLivenessTimeouts(20, 300, 1500);

    private final List<TcpPeerLinks> open = new ArrayList<>();
    private final List<Relay> relays = new CopyOnWriteArrayList<>();
    private final Queue<String> heard = new ConcurrentLinkedQueue<>();
    private final Queue<String> alarms = new ConcurrentLinkedQueue<>();

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

    private TcpPeerLinks links(String name, long life, String fleet, PeerLimits limits) throws Exception {
        TcpPeerLinks links =
                new TcpPeerLinks(new Member(name, "127.0.0.1:0", "z"), life, fleet, List.of(), Clock.system(), limits);
        open.add(links);
        links.setReceiver(
                MessageStream.REPLICA, (peer, from, body) -> heard.add(name + "<" + peer + from + new String(body)));
        links.addFaultListener((who, why, text) -> alarms.add(name + ":" + who + ":" + why));
        links.start();
        return links;
    }

    /** Between a dialler and a listener: can cut, hold or spoil what goes either way. */
    private final class Relay implements AutoCloseable {
        final ServerSocket door = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        final List<Socket> sockets = new CopyOnWriteArrayList<>();
        final int target;
        volatile boolean holdToListener;
        volatile boolean holdToDialler;
        volatile boolean spoil;

        Relay(TcpPeerLinks listener) throws IOException {
            String address = listener.self().address();
            target = Integer.parseInt(address.substring(address.indexOf(':') + 1));
            relays.add(this);
            run(() -> {
                while (true) {
                    Socket from = door.accept();
                    Socket to = new Socket(InetAddress.getLoopbackAddress(), target);
                    sockets.addAll(List.of(from, to));
                    run(() -> pump(from, to, true));
                    run(() -> pump(to, from, false));
                }
            });
        }

        Member stands(TcpPeerLinks listener) {
            return new Member(listener.self().name(), "127.0.0.1:" + door.getLocalPort(), "z");
        }

        private void pump(Socket from, Socket to, boolean up) throws IOException {
            byte[] bytes = new byte[4096];
            for (int n = from.getInputStream().read(bytes);
                    n > 0;
                    n = from.getInputStream().read(bytes)) {
                synchronized (this) {
                    while (up ? holdToListener : holdToDialler) {
                        try {
                            wait();
                        } catch (InterruptedException e) {
                            return;
                        }
                    }
                }
                if (spoil) {
                    spoil = false;
                    bytes[n / 2] ^= 4;
                }
                to.getOutputStream().write(bytes, 0, n);
            }
            from.close();
            to.close();
        }

        synchronized void hold(boolean up, boolean down) {
            holdToListener = up;
            holdToDialler = down;
            notifyAll();
        }

        @Override
        public void close() throws IOException {
            hold(false, false);
            door.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void run(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // A closed socket ends its thread.
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static double figure(TcpPeerLinks links, String name) {
        return links.metrics().getOrDefault(name, 0.0);
    }

    /** a and b, whose link goes through the relay only: b does not know where a is. */
    private Relay through(TcpPeerLinks a, TcpPeerLinks b) throws IOException {
        Relay relay = new Relay(b);
        b.update(List.of(new Member(a.self().name(), "127.0.0.1:1", "z")));
        a.update(List.of(relay.stands(b)));
        awaitLinks(1, a, b);
        return relay;
    }

    private static void meet(TcpPeerLinks... all) {
        List<Member> members = new ArrayList<>();
        for (TcpPeerLinks links : all) {
            members.add(links.self());
        }
        for (TcpPeerLinks links : all) {
            links.update(members);
        }
    }

    private static void awaitLinks(int each, TcpPeerLinks... all) {
        for (TcpPeerLinks links : all) {
            await().until(() -> links.connectedPeers().size() == each);
        }
    }

    @Test
    void threeMembersLinkSpeakAndSayFarewell() throws Exception {
        TcpPeerLinks a = links("a", 1, "f", QUICK);
        TcpPeerLinks b = links("b", 7, "f", QUICK);
        TcpPeerLinks c = links("c", 1, "f", QUICK);
        meet(a, b, c);
        awaitLinks(2, a, b, c);
        assertEquals(MemberStatus.ALIVE, a.status("b"));
        assertTrue(b.send("a", MessageStream.REPLICA, "x".getBytes()));
        assertTrue(b.send("c", MessageStream.REPLICA, "y".getBytes()));
        await().until(() -> heard.contains("a<b7x") && heard.contains("c<b7y"));
        b.close();
        await().until(() -> a.status("b") == MemberStatus.DEAD && c.status("b") == MemberStatus.DEAD);
        assertFalse(a.send("b", MessageStream.REPLICA, "z".getBytes()));
        assertEquals(0, a.metrics().get("deaths"), "a farewell is no death");
        assertEquals(0, b.metrics().get("threads"));
        TcpPeerLinks again = links("b", 8, "f", QUICK);
        meet(a, again, c);
        await().until(() -> a.status("b") == MemberStatus.ALIVE && c.status("b") == MemberStatus.ALIVE);
        assertTrue(alarms.isEmpty(), alarms::toString);
    }

    @Test
    void wrongOnesAreRefusedOnBothSidesAndAllAreTold() throws Exception {
        TcpPeerLinks a = links("a", 5, "f", QUICK);
        TcpPeerLinks b = links("b", 1, "g", QUICK);
        meet(a, b);
        await().until(() -> figure(a, "refused_another_fleet") > 0 && figure(b, "refused_by_another_fleet") > 0);
        assertTrue(alarms.contains("b:a:FLEET_MISMATCH"), alarms::toString);
        TcpPeerLinks c = links("c", 1, "f", QUICK);
        c.update(List.of(a.self()));
        await().until(() -> figure(a, "refused_unknown_member") > 0);
        // d is listed at the address that a has now.
        c.update(List.of(new Member("d", a.self().address(), "z")));
        await().until(() -> figure(a, "refused_not_the_one") > 0 && alarms.contains("c:d:WRONG_MEMBER"));
        assertTrue(a.connectedPeers().isEmpty()
                && b.connectedPeers().isEmpty()
                && c.connectedPeers().isEmpty());
    }

    @Test
    void laterLifeReplacesTheEarlier() throws Exception {
        TcpPeerLinks a = links("a", 1, "f", QUICK);
        TcpPeerLinks b = links("b", 5, "f", QUICK);
        meet(a, b);
        awaitLinks(1, a, b);
        b.halt();
        TcpPeerLinks later = links("b", 6, "f", QUICK);
        meet(a, later);
        awaitLinks(1, a, later);
        assertTrue(later.send("a", MessageStream.REPLICA, "x".getBytes()));
        await().until(() -> heard.contains("a<b6x"));
    }

    @Test
    void earlierProcessThatWasLinkedIsRefusedOnceALaterOneIsKnown() throws Exception {
        TcpPeerLinks a = links("a", 1, "f", QUICK);
        TcpPeerLinks earlier = links("b", 4, "f", QUICK);
        meet(a, earlier);
        awaitLinks(1, a, earlier);
        earlier.update(List.of());
        awaitLinks(0, a, earlier);
        TcpPeerLinks later = links("b", 6, "f", QUICK);
        meet(a, later);
        awaitLinks(1, a, later);
        earlier.update(List.of(a.self()));
        await().until(() -> alarms.contains("b:b:STALE_LIFE") && alarms.contains("a:b:STALE_LIFE"));
        assertEquals(4, earlier.incarnation());
        assertTrue(earlier.connectedPeers().isEmpty());
        assertTrue(later.send("a", MessageStream.REPLICA, "x".getBytes()));
        await().until(() -> heard.contains("a<b6x"));
    }

    /** Lives begin with the time of day: an hour's step back between two processes of a member. */
    @Test
    void processThatBeganUnderAnEarlierTimeOfDayOutlivesItsOwnPast() throws Exception {
        TcpPeerLinks a = links("a", 1, "f", QUICK);
        TcpPeerLinks before = links("b", 3_600_000, "f", QUICK);
        meet(a, before);
        awaitLinks(1, a, before);
        before.halt();
        TcpPeerLinks after = links("b", 1000, "f", QUICK);
        meet(a, after);
        awaitLinks(1, a, after);
        await().until(() -> after.send("a", MessageStream.REPLICA, "x".getBytes()));
        await().until(() -> heard.contains("a<b3600001x"));
        assertEquals(3_600_001, after.incarnation());
        await().until(() -> a.status("b") == MemberStatus.ALIVE);
        assertTrue(alarms.stream().noneMatch(t -> t.endsWith("DUPLICATE_NAME")), alarms::toString);
    }

    /** c began after the later life had ended, so it links with the earlier number before it hears of the later. */
    @Test
    void pastLifeIsOutlivedThoughOneThatDoesNotKnowItHasLinked() throws Exception {
        TcpPeerLinks a = links("a", 1, "f", QUICK);
        TcpPeerLinks before = links("b", 9, "f", QUICK);
        meet(a, before);
        awaitLinks(1, a, before);
        before.halt();
        await().until(() -> a.status("b") == MemberStatus.DEAD);
        TcpPeerLinks after = links("b", 4, "f", QUICK);
        TcpPeerLinks c = links("c", 1, "f", QUICK);
        c.update(List.of(after.self()));
        after.update(List.of(c.self()));
        awaitLinks(1, after, c);
        assertEquals(4, after.incarnation());
        meet(a, after, c);
        awaitLinks(2, a, after, c);
        assertEquals(10, after.incarnation());
        await().until(() -> a.status("b") == MemberStatus.ALIVE && c.status("b") == MemberStatus.ALIVE);
        assertTrue(alarms.stream().noneMatch(t -> t.endsWith("DUPLICATE_NAME")), alarms::toString);
    }

    @Test
    void twoProcessesOfOneNameAreFoundAndBothAreTold() throws Exception {
        TcpPeerLinks a = links("a", 1, "f", QUICK);
        TcpPeerLinks b = links("b", 5, "f", QUICK);
        meet(a, b);
        awaitLinks(1, a, b);
        TcpPeerLinks copy = links("b", 6, "f", QUICK);
        copy.update(List.of(a.self()));
        await().until(() -> alarms.contains("a:b:DUPLICATE_NAME"));
        await().until(() ->
                alarms.stream().filter(t -> t.equals("b:b:DUPLICATE_NAME")).count() >= 2);
        assertTrue(b.connectedPeers().contains("a") && copy.connectedPeers().isEmpty(), "the first one keeps its link");
    }

    @Test
    void spoiltByteEndsTheConnectionAndNothingSpoiltArrives() throws Exception {
        TcpPeerLinks a = links("a", 1, "f", CALM);
        TcpPeerLinks b = links("b", 1, "f", CALM);
        Relay relay = through(a, b);
        relay.spoil = true;
        await().until(() -> figure(a, "frames_unreadable") + figure(b, "frames_unreadable") > 0);
        await().until(() -> a.send("b", MessageStream.REPLICA, "whole".getBytes()) && !heard.isEmpty());
        assertTrue(heard.stream().allMatch("b<a1whole"::equals), heard::toString);
        assertEquals(0, figure(a, "deaths") + figure(b, "deaths"));
    }

    @Test
    void fullQueueIsAnAnswerAndLineThatTakesNothingIsClosed() throws Exception {
        TcpPeerLinks a = links("a", 1, "f", CALM);
        TcpPeerLinks b = links("b", 1, "f", PATIENT);
        Relay relay = through(a, b);
        relay.hold(true, false);
        byte[] body = new byte[60_000];
        await().pollInterval(Duration.ofMillis(1)).until(() -> !a.send("b", MessageStream.REPLICA, body));
        assertTrue(a.send("b", MessageStream.SHARE, body), "another stream has its own room");
        assertTrue(figure(a, "unsent_queue_full") > 0);
        await().until(() -> figure(a, "writes_stalled") + figure(a, "one_way_closed") > 0);
        relay.hold(false, false);
        awaitLinks(1, a, b);
        await().until(() -> a.status("b") == MemberStatus.ALIVE && b.status("a") == MemberStatus.ALIVE);
    }

    @Test
    void oneWayLineIsNoDeathAmongThree() throws Exception {
        TcpPeerLinks a = links("a", 1, "f", CALM);
        TcpPeerLinks b = links("b", 1, "f", PATIENT);
        TcpPeerLinks c = links("c", 1, "f", CALM);
        Relay relay = new Relay(b);
        b.update(List.of(new Member("a", "127.0.0.1:1", "z"), c.self()));
        a.update(List.of(relay.stands(b), c.self()));
        c.update(List.of(a.self(), b.self()));
        awaitLinks(2, a, b, c);
        relay.hold(true, false);
        await().until(() -> figure(a, "one_way_closed") > 0);
        // b has told where it listens: the next dial goes there, past the broken line.
        await().until(() -> figure(a, "links_made") > 2 && a.isConnected("b"));
        assertEquals(MemberStatus.ALIVE, b.status("a"), "c hears it");
        assertEquals(0, figure(a, "deaths") + figure(b, "deaths") + figure(c, "deaths"));
    }

    @Test
    void strangersHoldNoThreadsAndKeepNobodyOut() throws Exception {
        TcpPeerLinks a = links("a", 1, "f", QUICK);
        List<Socket> held = new ArrayList<>();
        String address = a.self().address();
        for (int i = 0; i < 40; i++) {
            held.add(new Socket("127.0.0.1", Integer.parseInt(address.substring(address.indexOf(':') + 1))));
        }
        held.get(39).getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes());
        await().until(() -> figure(a, "strangers_refused") > 0);
        assertTrue(figure(a, "strangers") <= QUICK.maxPendingHandshakes());
        TcpPeerLinks b = links("b", 1, "f", QUICK);
        meet(a, b);
        awaitLinks(1, a, b);
        await().until(() -> figure(a, "strangers") == 0);
        for (Socket socket : held) {
            socket.close();
        }
    }

    @Test
    void crossingDialsLeaveOneConnectionEachTime() throws Exception {
        List<TcpPeerLinks> all = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            all.add(links("m" + i, 1, "f", QUICK));
        }
        TcpPeerLinks[] members = all.toArray(new TcpPeerLinks[0]);
        meet(members);
        awaitLinks(7, members);
        await().until(() ->
                all.stream().allMatch(m -> figure(m, "threads") == 3 + 2 * 7 && figure(m, "peers_alive") == 7));
        for (TcpPeerLinks from : members) {
            for (TcpPeerLinks to : members) {
                assertTrue(from == to || from.send(to.self().name(), MessageStream.REPLICA, "!".getBytes()));
            }
        }
        await().until(() -> heard.size() == 56);
        all.get(0).update(List.of());
        await().until(() -> all.get(1).connectedPeers().size() == 6
                && all.get(0).connectedPeers().isEmpty());
        assertTrue(all.get(0).peers().isEmpty());
    }
}
