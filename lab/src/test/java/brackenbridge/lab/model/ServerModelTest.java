package brackenbridge.lab.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.lab.random.Streams;
import brackenbridge.lab.sim.EventQueue;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ServerModelTest {
    private final EventQueue queue = new EventQueue(1000);
    private final List<String> ends = new ArrayList<>();

    private ServerModel server(ServerProfile p) {
        return new ServerModel(p, queue, new Streams(1).take());
    }

    private ServerModel.Job begin(ServerModel s, String name, double... work) {
        return s.begin(
                name,
                work,
                Double.POSITIVE_INFINITY,
                (number, done) -> queue.at(queue.nowMs() + 5, () -> done.accept(number < 1)),
                v -> ends.add(name + " " + v + " " + Math.round(queue.nowMs() - 1000)));
    }

    private void run(double ms) {
        queue.runUntil(queue.nowMs() + ms);
    }

    @Test
    void slotsShareTheCoresAndTheRoomFillsUp() {
        ServerModel s = server(ServerProfile.plain(1, 2, 1).withSlots(2));
        begin(s, "a", 20);
        begin(s, "b", 20);
        begin(s, "c", 10);
        begin(s, "d", 10);
        run(100);
        // a and b share a core of speed 2 for 20 ms; c waits for a slot; d finds no room.
        assertEquals(List.of("d TURNED_AWAY 0", "a SERVED 20", "b SERVED 20", "c SERVED 25"), ends);
    }

    @Test
    void callsHoldTheSlotAndAFailedOneEndsTheRequest() {
        ServerModel s = server(ServerProfile.plain(1, 1, 5));
        begin(s, "a", 10, 10);
        begin(s, "b", 4, 4, 4);
        run(100);
        assertEquals(List.of("a SERVED 25", "b ERROR 43"), ends);
    }

    @Test
    void hangingAndSlownessHoldUpWhatIsInHand() {
        ServerModel s = server(ServerProfile.plain(1, 1, 5));
        begin(s, "a", 10);
        run(5);
        s.hang(true);
        run(100);
        s.hang(false);
        s.slow(0.5);
        run(100);
        assertEquals(List.of("a SERVED 115"), ends);
    }

    @Test
    void aDeathSilencesWhatItHad() {
        ServerModel s = server(ServerProfile.plain(1, 1, 5));
        begin(s, "a", 10);
        s.die();
        assertFalse(s.alive());
        s.start();
        begin(s, "b", 10);
        run(100);
        assertEquals(List.of("b SERVED 10"), ends);
    }

    @Test
    void aColdServerIsSlowAndTooMuchPushesItOver() {
        ServerModel s =
                server(ServerProfile.plain(1, 1, 1000).withCold(new ServerProfile.Cold(0.5, 10_000, 0, 3, 1000)));
        boolean[] over = {false};
        s.onPushedOver(() -> over[0] = true);
        s.start();
        begin(s, "a", 10);
        run(100);
        assertEquals(1, ends.size());
        assertTrue(ends.get(0).matches("a SERVED (19|20)"), ends.get(0));
        for (int i = 0; i < 100; i++) {
            begin(s, "x", 10);
        }
        assertFalse(over[0], "within three times its capacity and the slack for chance");
        for (int i = 0; i < 200; i++) {
            begin(s, "x", 10);
        }
        assertTrue(over[0]);
        assertFalse(s.alive());
    }

    @Test
    void aChokeOutlastsItsCause() {
        ServerModel s = server(ServerProfile.plain(1, 1, 100).withChoke(new ServerProfile.Choke(10, 2, 0.1)));
        for (int i = 0; i < 10; i++) {
            begin(s, "x", 10);
        }
        run(90);
        assertEquals(0, ends.size(), "a tenth of the speed is left");
        run(2000);
        assertEquals(10, ends.size());
        begin(s, "y", 10);
        double from = queue.nowMs();
        run(50);
        assertEquals("y SERVED " + Math.round(from + 10 - 1000), ends.get(10));
    }

    private double tookOne(ServerModel s) {
        double from = queue.nowMs();
        begin(s, "y", 10);
        run(40);
        String last = ends.get(ends.size() - 1);
        return Double.parseDouble(last.substring(last.lastIndexOf(' ') + 1)) + 1000 - from;
    }

    @Test
    void aChokeBeginsOnceItsBacklogHasLastedAndEndsOnceItHasRested() {
        ServerModel s = server(ServerProfile.plain(1, 1, 100)
                .withChoke(new ServerProfile.Choke(3, 0, 0.5, 100, 50, Double.POSITIVE_INFINITY)));
        for (int i = 0; i < 3; i++) {
            begin(s, "x", 60);
        }
        run(200);
        assertEquals(List.of("x SERVED 60", "x SERVED 120", "x SERVED 180"), ends, "three for 60 ms are no backlog");
        for (int i = 0; i < 3; i++) {
            begin(s, "x", 150);
        }
        run(810);
        assertEquals(List.of("x SERVED 400", "x SERVED 700", "x SERVED 1000"), ends.subList(3, 6));
        assertEquals(20, tookOne(s), "10 ms of rest do not end it");
        run(40);
        assertEquals(10, tookOne(s), "60 ms do");
    }

    @Test
    void aChokeEndsAfterItsLongestTimeWhateverItHas() {
        ServerModel s =
                server(ServerProfile.plain(1, 1, 100).withChoke(new ServerProfile.Choke(3, 0, 0.5, 100, 1e6, 200)));
        for (int i = 0; i < 3; i++) {
            begin(s, "x", 150);
        }
        run(600);
        // From 100 to 300 ms it does half.
        assertEquals(List.of("x SERVED 200", "x SERVED 400", "x SERVED 550"), ends);
    }

    @Test
    void cancelledWorkIsSparedAsTheProfileSays() {
        ServerModel s = server(ServerProfile.plain(1, 1, 5));
        ServerModel.Job kept = begin(s, "a", 10);
        s.cancel(kept);
        run(20);
        assertEquals(List.of("a SERVED 10"), ends, "this server cancels nothing");
        ServerProfile p = ServerProfile.plain(1, 1, 5);
        ServerModel all = server(new ServerProfile(
                p.cores(),
                p.speed(),
                p.slots(),
                p.room(),
                0,
                ServerProfile.Cancel.ALL,
                false,
                p.cold(),
                p.crowd(),
                p.choke(),
                p.pauses(),
                p.connections(),
                p.reports(),
                p.probes()));
        ServerModel.Job b = begin(all, "b", 10);
        begin(all, "c", 10);
        run(5);
        all.cancel(b);
        run(50);
        assertEquals(List.of("a SERVED 10", "c SERVED 35"), ends);
    }

    @Test
    void aClassFailsAloneAndReportsTellTheLoad() {
        ServerModel s = server(ServerProfile.plain(1, 1, 5));
        s.failClass("bad", 1);
        begin(s, "bad", 10);
        begin(s, "good", 10);
        assertEquals(2, s.report().inFlight());
        assertEquals(1, s.report().queued());
        run(50);
        assertEquals(List.of("bad ERROR 2", "good SERVED 12"), ends);
    }
}
