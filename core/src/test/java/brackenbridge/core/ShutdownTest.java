package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.ShutdownSchedule.Situation;
import brackenbridge.core.balancing.DeduplicationScope;
import brackenbridge.core.balancing.RequestClass;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A stop answers everything before the kill, which comes 0.7 s after the longest deadline, 3 s at most. */
class ShutdownTest {
    /** Between the last timer and the kill: the signal's way and the exit itself. */
    private static final double SLACK_MS = 130;

    private static RequestClass withDeadline(double ms) {
        return new RequestClass(
                "file",
                (long) (ms * 500),
                (long) (ms * 1000),
                brackenbridge.core.balancing.Idempotence.NOT_IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                false,
                10,
                0.25);
    }

    private static double killMs(double longestDeadlineMs) {
        return Math.min(longestDeadlineMs, 3000) + 700;
    }

    private static Event newDeadline(double ms) {
        return new Event.Reconfigured(
                Play.settings(1, 5, withDeadline(ms)), new EndpointList(41, true, List.of()), false);
    }

    private static Play with(double deadlineMs, Situation situation) {
        Play p = new Play(4, 1, withDeadline(deadlineMs));
        return switch (situation) {
            case RESTARTED -> p;
            case EMPTIED -> p.tell(new Event.DrainRequested(true)).pass(700);
            case REPLACED -> p.tell(new Event.SuccessorServes(true));
        };
    }

    /**
     * Lets time pass while clients go on asking on open connections and no server answers, until the node exits; then
     * all requests that were taken must have been answered, well before this kill.
     */
    private static void answersAllBefore(double killMs, Play p, double stopAskedMs) {
        RequestClass asked = withDeadline(1);
        List<Long> taken = new ArrayList<>();
        while (p.of(Effect.Exit.class).stream().noneMatch(Effect.Exit::immediately)) {
            taken.add(p.open(asked, 5000));
            p.pass(5);
            double since = p.clock.nowMs() - stopAskedMs;
            assertTrue(
                    since + ShutdownSchedule.LAST_LINGER_MS <= killMs - SLACK_MS,
                    "still here " + since + " ms after SIGTERM, killed after " + killMs);
        }
        taken.add(p.open(asked, 5000));
        for (long flow : taken) {
            assertEquals(1, p.fixed(flow).size(), "flow " + flow);
        }
    }

    @ParameterizedTest
    @EnumSource(Situation.class)
    void everythingIsAnsweredBeforeTheKillHoweverShortTheDeadlines(Situation situation) {
        for (double deadline : new double[] {1, 20, 100, 200, 370, 500, 1000, 3000, 8000}) {
            Play p = with(deadline, situation);
            double asked = p.clock.nowMs();
            answersAllBefore(killMs(deadline), p.tell(new Event.StopRequested()), asked);
        }
    }

    @ParameterizedTest
    @EnumSource(Situation.class)
    void shorterDeadlinesBeforeOrDuringTheStopBringTheExitForward(Situation situation) {
        Play before = with(3000, situation).tell(newDeadline(100));
        double asked = before.clock.nowMs();
        answersAllBefore(killMs(100), before.tell(new Event.StopRequested()), asked);
        Play during = with(3000, situation);
        asked = during.clock.nowMs();
        during.tell(new Event.StopRequested()).pass(300).tell(newDeadline(100));
        answersAllBefore(killMs(100), during, asked);
    }

    /** Nobody says whether the kill goes by the settings of the start or by the newest. */
    @ParameterizedTest
    @EnumSource(Situation.class)
    void longerDeadlinesPutTheExitOffByNothing(Situation situation) {
        Play p = with(100, situation).tell(newDeadline(3000));
        double asked = p.clock.nowMs();
        answersAllBefore(killMs(100), p.tell(new Event.StopRequested()), asked);
        Play during = with(100, situation);
        asked = during.clock.nowMs();
        during.tell(new Event.StopRequested()).pass(300).tell(newDeadline(3000));
        answersAllBefore(killMs(100), during, asked);
    }

    @Test
    void openRequestsKeepTheirTimeAsFarAsTheStopLeavesAny() {
        Play p = with(1000, Situation.RESTARTED);
        p.tell(new Event.StopRequested()).pass(300);
        long flow = p.open(withDeadline(1000), 1000);
        p.tell(new Event.AttemptWritten(flow, 0)).pass(990);
        assertEquals(List.of(), p.fixed(flow));
        assertEquals(List.of(Effect.LocalReply.TIMED_OUT), p.pass(10).fixed(flow));
    }

    @Property(seed = "71", tries = 500)
    void stepsComeInOrderAndLeaveTheFrontItsTime(
            @ForAll @DoubleRange(min = 0.01, max = 10_000) double deadline, @ForAll Situation situation) {
        ShutdownSchedule s = ShutdownSchedule.of(situation, deadline);
        assertTrue(s.acceptMs() > 400, "new connections keep coming for 0.4 s: " + s);
        assertTrue(
                s.acceptMs() + 25 <= s.serveMs() && s.serveMs() <= s.answerMs() && s.answerMs() < s.exitMs(), "" + s);
        assertTrue(s.endIdleMs() <= s.serveMs(), "" + s);
        assertTrue(s.exitMs() + ShutdownSchedule.LAST_LINGER_MS + SLACK_MS <= killMs(deadline), "" + s);
    }

    @Test
    void longDeadlinesAreServedAsLongAsBefore() {
        ShutdownSchedule s = ShutdownSchedule.of(Situation.RESTARTED, 8000);
        assertEquals(500, s.acceptMs());
        assertEquals(3100, s.serveMs());
        assertEquals(3400, s.answerMs());
    }
}
