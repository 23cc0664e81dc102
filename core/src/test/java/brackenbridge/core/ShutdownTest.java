package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.ShutdownSchedule.ShutdownKind;
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

/**
 * A stopping node answers every request before the platform kills it, 0.7 s after the longest deadline, of which at
 * most 3 s count.
 */
class ShutdownTest {
    /** Least time between the last timer and the kill, for the signal's delivery and the exit itself. */
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
                ReducerHarness.settings(1, 5, withDeadline(ms)), new EndpointList(41, true, List.of()), false);
    }

    private static ReducerHarness harness(double deadlineMs, ShutdownKind kind) {
        ReducerHarness harness = new ReducerHarness(4, 1, withDeadline(deadlineMs));
        return switch (kind) {
            case RESTARTED -> harness;
            case DRAINED -> harness.send(new Event.DrainRequested(true)).advance(700);
            case REPLACED -> harness.send(new Event.SuccessorChanged(true));
        };
    }

    /**
     * Opens requests every 5 ms on open connections, with servers that do not respond, until the node exits. Checks
     * that the exit leaves the slack before the kill, and that every request has exactly one reply.
     */
    private static void assertAllAnsweredBefore(double killMs, ReducerHarness harness, double stopRequestedMs) {
        RequestClass requestClass = withDeadline(1);
        List<Long> requestIds = new ArrayList<>();
        while (harness.effects(Effect.Exit.class).stream().noneMatch(Effect.Exit::immediately)) {
            requestIds.add(harness.open(requestClass, 5000));
            harness.advance(5);
            double sinceStopMs = harness.clock.nowMs() - stopRequestedMs;
            assertTrue(
                    sinceStopMs + ShutdownSchedule.EXIT_LINGER_MS <= killMs - SLACK_MS,
                    "still running " + sinceStopMs + " ms after SIGTERM, killed after " + killMs + " ms");
        }
        requestIds.add(harness.open(requestClass, 5000));
        for (long requestId : requestIds) {
            assertEquals(1, harness.localReplies(requestId).size(), "request " + requestId);
        }
    }

    @ParameterizedTest
    @EnumSource(ShutdownKind.class)
    void everyRequestIsAnsweredBeforeTheKillHoweverShortTheDeadlines(ShutdownKind kind) {
        for (double deadlineMs : new double[] {1, 20, 100, 200, 370, 500, 1000, 3000, 8000}) {
            ReducerHarness harness = harness(deadlineMs, kind);
            double stopRequestedMs = harness.clock.nowMs();
            assertAllAnsweredBefore(killMs(deadlineMs), harness.send(new Event.StopRequested()), stopRequestedMs);
        }
    }

    // Guards a node whose event loop gets no processor for a while just after the signal.
    @ParameterizedTest
    @EnumSource(ShutdownKind.class)
    void everyRequestIsAnsweredBeforeTheKillThoughTheStopHadToWait(ShutdownKind kind) {
        for (double deadlineMs : new double[] {100, 500, 1000, 3000, 8000}) {
            for (double waitedMs : new double[] {50, 200, 500}) {
                ReducerHarness harness = harness(deadlineMs, kind);
                double stopRequestedMs = harness.clock.nowMs() - waitedMs;
                assertAllAnsweredBefore(
                        killMs(deadlineMs), harness.send(new Event.StopRequested(waitedMs)), stopRequestedMs);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(ShutdownKind.class)
    void shorterDeadlinesBeforeOrDuringTheStopAdvanceTheExit(ShutdownKind kind) {
        ReducerHarness before = harness(3000, kind).send(newDeadline(100));
        double stopRequestedMs = before.clock.nowMs();
        assertAllAnsweredBefore(killMs(100), before.send(new Event.StopRequested()), stopRequestedMs);
        ReducerHarness during = harness(3000, kind);
        stopRequestedMs = during.clock.nowMs();
        during.send(new Event.StopRequested()).advance(300).send(newDeadline(100));
        assertAllAnsweredBefore(killMs(100), during, stopRequestedMs);
    }

    /** It is unknown whether the platform applies the settings at startup or the newest ones. */
    @ParameterizedTest
    @EnumSource(ShutdownKind.class)
    void longerDeadlinesDoNotDelayTheExit(ShutdownKind kind) {
        ReducerHarness harness = harness(100, kind).send(newDeadline(3000));
        double stopRequestedMs = harness.clock.nowMs();
        assertAllAnsweredBefore(killMs(100), harness.send(new Event.StopRequested()), stopRequestedMs);
        ReducerHarness during = harness(100, kind);
        stopRequestedMs = during.clock.nowMs();
        during.send(new Event.StopRequested()).advance(300).send(newDeadline(3000));
        assertAllAnsweredBefore(killMs(100), during, stopRequestedMs);
    }

    @Test
    void openRequestsKeepTheirDeadlinesAsFarAsTheStopAllows() {
        ReducerHarness harness = harness(1000, ShutdownKind.RESTARTED);
        harness.send(new Event.StopRequested()).advance(300);
        long requestId = harness.open(withDeadline(1000), 1000);
        harness.send(new Event.AttemptWritten(requestId, 0)).advance(990);
        assertEquals(List.of(), harness.localReplies(requestId));
        assertEquals(List.of(Effect.LocalReply.TIMED_OUT), harness.advance(10).localReplies(requestId));
    }

    @Property(seed = "71", tries = 500)
    void stepsAreOrderedAndLeaveTheFrontEndTimeToNotice(
            @ForAll @DoubleRange(min = 0.01, max = 10_000) double deadlineMs, @ForAll ShutdownKind kind) {
        ShutdownSchedule schedule = ShutdownSchedule.of(kind, deadlineMs);
        assertTrue(schedule.stopAcceptingMs() > 400, "the front end opens connections for 0.4 s: " + schedule);
        assertTrue(
                schedule.stopAcceptingMs() + 25 <= schedule.stopServingMs()
                        && schedule.stopServingMs() <= schedule.answerAllMs()
                        && schedule.answerAllMs() < schedule.exitMs(),
                "" + schedule);
        assertTrue(schedule.closeIdleMs() <= schedule.stopServingMs(), "" + schedule);
        assertTrue(schedule.exitMs() + ShutdownSchedule.EXIT_LINGER_MS + SLACK_MS <= killMs(deadlineMs), "" + schedule);
    }

    @Test
    void longDeadlinesAreServedForAFixedTime() {
        ShutdownSchedule schedule = ShutdownSchedule.of(ShutdownKind.RESTARTED, 8000);
        assertEquals(500, schedule.stopAcceptingMs());
        assertEquals(3100, schedule.stopServingMs());
        assertEquals(3400, schedule.answerAllMs());
    }
}
