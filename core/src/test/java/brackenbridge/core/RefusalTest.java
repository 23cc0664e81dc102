package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.Effect.Fixed;
import brackenbridge.core.Event.Reply;
import brackenbridge.core.balancing.BalancerApi.RequestClass;
import brackenbridge.core.balancing.BalancerApi.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Every way in which a flow ends without a server's answer: at once, truly, and a refusal with advice. */
class RefusalTest {
    private static final double LONGEST_MS = 2000;

    private static Play play(int servers) {
        Play p = new Play(servers, 2);
        Settings s = p.settings;
        p.tell(new Event.Reconfigured(
                new Settings(
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
    private static void ended(Play p, long flow, Fixed kind, String how) {
        List<Effect.FixedResponse> got = p.of(Effect.FixedResponse.class).stream()
                .filter(r -> r.flow() == flow)
                .toList();
        assertEquals(List.of(kind), got.stream().map(Effect.FixedResponse::kind).toList(), how);
        double advice = got.get(0).retryAfterMs();
        assertTrue(kind == Fixed.REFUSED ? advice > 0 && advice <= LONGEST_MS : advice == 0, how + ": " + advice);
    }

    private static long open(Play p, RequestClass c, boolean whole) {
        long id = 5000 + p.effects.size();
        p.tell(new Event.FlowOpened(id, new ClientRequest(c.name(), null, 1000, false, whole, "message")));
        return id;
    }

    @Test
    void drainTurnsAwayWithAdvice() {
        Play p = play(2).tell(new Event.DrainAsked(true)).pass(1900);
        ended(p, open(p, Play.FILE, true), Fixed.REFUSED, "drain");
    }

    @Test
    void noServerKnown() {
        Play p = play(0);
        long f = open(p, Play.FILE, true);
        p.pass(1000);
        ended(p, f, Fixed.REFUSED, "no server");
    }

    @Test
    void admissionBeforeTheFirstAnswer() {
        Play p = play(2).pass(3000);
        long last = -1;
        for (int i = 0; i < 30; i++) {
            last = open(p, Play.FILE, true);
        }
        ended(p, last, Fixed.REFUSED, "admission");
    }

    @Test
    void deadlineOfWhatWasNeverWritten() {
        Play p = play(2);
        long f = open(p, Play.FILE, true);
        p.pass(1000);
        ended(p, f, Fixed.REFUSED, "a connection that never came up");
    }

    @Test
    void deadlineOfWhatMayHaveRun() {
        Play p = play(2);
        long f = open(p, Play.FILE, true);
        p.tell(new Event.ForwardWritten(f, 0)).pass(1000);
        ended(p, f, Fixed.TIMED_OUT, "no answer");
    }

    @Test
    void brokenAfterItsLastByte() {
        Play p = play(2);
        long f = open(p, Play.FILE, true);
        p.tell(new Event.ForwardWritten(f, 0)).tell(new Event.ForwardBroken(f, 0));
        ended(p, f, Fixed.FAILED, "reset");
    }

    @Test
    void spentBodyThatNeverWentOutWhole() {
        Play p = play(2);
        long f = open(p, Play.FILE, false);
        p.tell(new Event.FlowSpent(f)).tell(new Event.ForwardBroken(f, 0));
        ended(p, f, Fixed.REFUSED, "spent body");
    }

    @Test
    void spentBodyThatMayHaveRun() {
        Play p = play(2);
        long f = open(p, Play.FILE, false);
        p.tell(new Event.FlowSpent(f)).tell(new Event.FlowWhole(f)).tell(new Event.ForwardWritten(f, 0));
        p.tell(new Event.ForwardAnswered(f, 0, Reply.ERROR, "body", null));
        ended(p, f, Fixed.FAILED, "spent body after its last byte");
    }

    @Test
    void stopWithAForwardThatIsNotWritten() {
        Play p = play(2);
        long f = open(p, Play.FILE, false);
        p.tell(new Event.StopAsked()).pass(5000);
        ended(p, f, Fixed.REFUSED, "stop");
    }

    @Test
    void serversWordThatTheRequestIsAtFault() {
        Play p = play(2);
        long f = open(p, Play.FILE, true);
        p.tell(new Event.ForwardWritten(f, 0)).tell(new Event.ForwardAnswered(f, 0, Reply.REJECTED, "body", null));
        ended(p, f, Fixed.REJECTED, "rejected");
    }

    @Test
    void attemptsSpentOnServersThatTurnAway() {
        Play p = play(8);
        long f = open(p, Play.FILE, true);
        for (int i = 0; i < 5; i++) {
            p.tell(new Event.ForwardWritten(f, i)).tell(new Event.ForwardAnswered(f, i, Reply.TURNED_AWAY, "b", null));
        }
        assertEquals(5, p.forwards(f).size());
        ended(p, f, Fixed.REFUSED, "attempts spent, and none ran: at once, not at its deadline");
    }

    @Test
    void connectThatFailedOnThisMachineGoesAgainAndBlamesNoServer() {
        Play p = play(4);
        for (int i = 0; i < 60; i++) {
            long f = open(p, Play.FILE, true);
            for (int attempt = 0; attempt < 5; attempt++) {
                assertEquals(attempt + 1, p.forwards(f).size(), "flow " + i + " goes again, whatever others have cost");
                p.tell(new Event.ForwardFailedLocally(f, attempt));
            }
            ended(p, f, Fixed.REFUSED, "no attempt left");
        }
        assertTrue(p.reducer.figures().contains("proxy.pool_ejected:0|g"));
    }

    @Test
    void nodeWithoutRoomForAConnectionBlamesNoServer() {
        Play p = play(2);
        for (int i = 0; i < 6; i++) {
            long f = open(p, Play.FILE, true);
            assertEquals(1, p.forwards(f).size(), "every server is still in order");
            p.tell(new Event.ForwardNotBegun(f, 0));
            ended(p, f, Fixed.REFUSED, "no room");
        }
        assertTrue(p.reducer.figures().contains("proxy.pool_ejected:0|g"));
    }
}
