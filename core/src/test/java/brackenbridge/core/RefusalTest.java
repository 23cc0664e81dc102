package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.Effect.LocalReply;
import brackenbridge.core.Event.ServerReply;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.RequestClass;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Every way in which a flow ends without a server's answer: at once, truly, and a refusal with advice. */
class RefusalTest {
    private static final double LONGEST_MS = 2000;

    private static Play play(int servers) {
        Play p = new Play(servers, 2);
        BalancerSettings s = p.settings;
        p.tell(new Event.Reconfigured(
                new BalancerSettings(
                        7,
                        0,
                        2,
                        0,
                        "room",
                        s.classes(),
                        List.of(),
                        0.1,
                        true,
                        10_000_000,
                        5,
                        40000,
                        (long) (LONGEST_MS * 1000),
                        true,
                        true,
                        false,
                        30_000_000,
                        0.3,
                        8_500_000,
                        s.network()),
                new EndpointList(41, true, List.of()),
                false));
        return p;
    }

    /** The one answer that the flow has by now is of this kind; a refusal says when to come back. */
    private static void ended(Play p, long flow, LocalReply kind, String how) {
        List<Effect.SendLocalReply> got = p.of(Effect.SendLocalReply.class).stream()
                .filter(r -> r.requestId() == flow)
                .toList();
        assertEquals(
                List.of(kind), got.stream().map(Effect.SendLocalReply::reply).toList(), how);
        double advice = got.get(0).retryAfterMs();
        assertTrue(kind == LocalReply.REJECTED ? advice > 0 && advice <= LONGEST_MS : advice == 0, how + ": " + advice);
    }

    private static long open(Play p, RequestClass c, boolean whole) {
        long id = 5000 + p.effects.size();
        p.tell(new Event.RequestReceived(id, new ClientRequest(c.name(), null, 1000, false, whole, "message")));
        return id;
    }

    @Test
    void drainTurnsAwayWithAdvice() {
        Play p = play(2).tell(new Event.DrainRequested(true)).pass(1900);
        ended(p, open(p, Play.FILE, true), LocalReply.REJECTED, "drain");
    }

    @Test
    void noServerKnown() {
        Play p = play(0);
        long f = open(p, Play.FILE, true);
        p.pass(1000);
        ended(p, f, LocalReply.REJECTED, "no server");
    }

    @Test
    void admissionBeforeTheFirstAnswer() {
        Play p = play(2).pass(3000);
        long last = -1;
        for (int i = 0; i < 30; i++) {
            last = open(p, Play.FILE, true);
        }
        ended(p, last, LocalReply.REJECTED, "admission");
    }

    @Test
    void deadlineOfWhatWasNeverWritten() {
        Play p = play(2);
        long f = open(p, Play.FILE, true);
        p.pass(1000);
        ended(p, f, LocalReply.REJECTED, "a connection that never came up");
    }

    @Test
    void deadlineOfWhatMayHaveRun() {
        Play p = play(2);
        long f = open(p, Play.FILE, true);
        p.tell(new Event.AttemptWritten(f, 0)).pass(1000);
        ended(p, f, LocalReply.TIMED_OUT, "no answer");
    }

    @Test
    void brokenAfterItsLastByte() {
        Play p = play(2);
        long f = open(p, Play.FILE, true);
        p.tell(new Event.AttemptWritten(f, 0)).tell(new Event.AttemptConnectionLost(f, 0));
        ended(p, f, LocalReply.FAILED, "reset");
    }

    @Test
    void spentBodyThatNeverWentOutWhole() {
        Play p = play(2);
        long f = open(p, Play.FILE, false);
        p.tell(new Event.RequestBodyReleased(f)).tell(new Event.AttemptConnectionLost(f, 0));
        ended(p, f, LocalReply.REJECTED, "spent body");
    }

    @Test
    void spentBodyThatMayHaveRun() {
        Play p = play(2);
        long f = open(p, Play.FILE, false);
        p.tell(new Event.RequestBodyReleased(f))
                .tell(new Event.RequestCompleted(f))
                .tell(new Event.AttemptWritten(f, 0));
        p.tell(new Event.AttemptAnswered(f, 0, ServerReply.ERROR, "body", null));
        ended(p, f, LocalReply.FAILED, "spent body after its last byte");
    }

    @Test
    void stopWithAForwardThatIsNotWritten() {
        Play p = play(2);
        long f = open(p, Play.FILE, false);
        p.tell(new Event.StopRequested()).pass(5000);
        ended(p, f, LocalReply.REJECTED, "stop");
    }

    @Test
    void serversWordThatTheRequestIsAtFault() {
        Play p = play(2);
        long f = open(p, Play.FILE, true);
        p.tell(new Event.AttemptWritten(f, 0))
                .tell(new Event.AttemptAnswered(f, 0, ServerReply.INVALID_REQUEST, "body", null));
        ended(p, f, LocalReply.INVALID_REQUEST, "rejected");
    }

    @Test
    void attemptsSpentOnServersThatTurnAway() {
        Play p = play(8);
        long f = open(p, Play.FILE, true);
        for (int i = 0; i < 5; i++) {
            p.tell(new Event.AttemptWritten(f, i))
                    .tell(new Event.AttemptAnswered(f, i, ServerReply.SERVER_FULL, "b", null));
        }
        assertEquals(5, p.forwards(f).size());
        ended(p, f, LocalReply.REJECTED, "attempts spent, and none ran: at once, not at its deadline");
    }

    @Test
    void connectThatFailedOnThisMachineGoesAgainAndBlamesNoServer() {
        Play p = play(4);
        for (int i = 0; i < 60; i++) {
            long f = open(p, Play.FILE, true);
            for (int attempt = 0; attempt < 5; attempt++) {
                assertEquals(attempt + 1, p.forwards(f).size(), "flow " + i + " goes again, whatever others have cost");
                p.tell(new Event.AttemptFailedLocally(f, attempt));
            }
            ended(p, f, LocalReply.REJECTED, "no attempt left");
        }
        assertTrue(p.reducer.metricsText().contains("proxy.pool_ejected:0|g"));
    }

    @Test
    void nodeWithoutRoomForAConnectionBlamesNoServer() {
        Play p = play(2);
        for (int i = 0; i < 6; i++) {
            long f = open(p, Play.FILE, true);
            assertEquals(1, p.forwards(f).size(), "every server is still in order");
            p.tell(new Event.AttemptNotStarted(f, 0));
            ended(p, f, LocalReply.REJECTED, "no room");
        }
        assertTrue(p.reducer.metricsText().contains("proxy.pool_ejected:0|g"));
    }
}
