package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.Effect.LocalReply;
import brackenbridge.core.Event.ResponseKind;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.RequestClass;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * All ways in which a request ends without a server's response. Guards against late replies, against replies that do
 * not tell whether the request may have run, and against rejections without a Retry-After.
 */
class LocalReplyTest {
    private static final double MAX_RETRY_AFTER_MS = 2000;

    private static ReducerHarness harness(int servers) {
        ReducerHarness harness = new ReducerHarness(servers, 2);
        BalancerSettings settings = harness.settings;
        harness.send(new Event.Reconfigured(
                new BalancerSettings(
                        7,
                        0,
                        2,
                        0,
                        "room",
                        settings.classes(),
                        List.of(),
                        0.1,
                        true,
                        10_000_000,
                        5,
                        40000,
                        (long) (MAX_RETRY_AFTER_MS * 1000),
                        true,
                        true,
                        false,
                        30_000_000,
                        0.3,
                        8_500_000,
                        settings.network()),
                new EndpointList(41, true, List.of()),
                false));
        return harness;
    }

    /** Checks that this is the request's only reply, and that it has a Retry-After exactly if it is a rejection. */
    private static void assertOnlyReply(ReducerHarness harness, long requestId, LocalReply kind, String scenario) {
        List<Effect.SendLocalReply> replies = harness.effects(Effect.SendLocalReply.class).stream()
                .filter(r -> r.requestId() == requestId)
                .toList();
        assertEquals(
                List.of(kind),
                replies.stream().map(Effect.SendLocalReply::reply).toList(),
                scenario);
        double retryAfterMs = replies.get(0).retryAfterMs();
        assertTrue(
                kind == LocalReply.REJECTED
                        ? retryAfterMs > 0 && retryAfterMs <= MAX_RETRY_AFTER_MS
                        : retryAfterMs == 0,
                scenario + ": " + retryAfterMs);
    }

    private static long open(ReducerHarness harness, RequestClass requestClass, boolean complete) {
        long id = 5000 + harness.effects.size();
        harness.send(new Event.RequestReceived(
                id, new ClientRequest(requestClass.name(), null, 1000, false, complete, "message")));
        return id;
    }

    @Test
    void drainRejectsWithRetryAfter() {
        ReducerHarness harness = harness(2).send(new Event.DrainRequested(true)).advance(1900);
        assertOnlyReply(harness, open(harness, ReducerHarness.FILE, true), LocalReply.REJECTED, "drain");
    }

    @Test
    void requestWithoutAnyServerIsRejected() {
        ReducerHarness harness = harness(0);
        long requestId = open(harness, ReducerHarness.FILE, true);
        harness.advance(1000);
        assertOnlyReply(harness, requestId, LocalReply.REJECTED, "no server");
    }

    @Test
    void requestsBeyondAdmissionAreRejected() {
        ReducerHarness harness = harness(2).advance(3000);
        long last = -1;
        for (int i = 0; i < 30; i++) {
            last = open(harness, ReducerHarness.FILE, true);
        }
        assertOnlyReply(harness, last, LocalReply.REJECTED, "admission");
    }

    @Test
    void unwrittenRequestIsRejectedAtItsDeadline() {
        ReducerHarness harness = harness(2);
        long requestId = open(harness, ReducerHarness.FILE, true);
        harness.advance(1000);
        assertOnlyReply(harness, requestId, LocalReply.REJECTED, "connection never established");
    }

    @Test
    void writtenRequestTimesOutAtItsDeadline() {
        ReducerHarness harness = harness(2);
        long requestId = open(harness, ReducerHarness.FILE, true);
        harness.send(new Event.AttemptWritten(requestId, 0)).advance(1000);
        assertOnlyReply(harness, requestId, LocalReply.TIMED_OUT, "no response");
    }

    @Test
    void connectionLostAfterTheLastByteFailsTheRequest() {
        ReducerHarness harness = harness(2);
        long requestId = open(harness, ReducerHarness.FILE, true);
        harness.send(new Event.AttemptWritten(requestId, 0)).send(new Event.AttemptConnectionLost(requestId, 0));
        assertOnlyReply(harness, requestId, LocalReply.FAILED, "connection lost");
    }

    @Test
    void releasedBodyThatWasNeverWrittenCompletelyIsRejected() {
        ReducerHarness harness = harness(2);
        long requestId = open(harness, ReducerHarness.FILE, false);
        harness.send(new Event.RequestBodyReleased(requestId)).send(new Event.AttemptConnectionLost(requestId, 0));
        assertOnlyReply(harness, requestId, LocalReply.REJECTED, "released body");
    }

    @Test
    void releasedBodyThatMayHaveRunFails() {
        ReducerHarness harness = harness(2);
        long requestId = open(harness, ReducerHarness.FILE, false);
        harness.send(new Event.RequestBodyReleased(requestId))
                .send(new Event.RequestCompleted(requestId))
                .send(new Event.AttemptWritten(requestId, 0));
        harness.send(new Event.ResponseReceived(requestId, 0, ResponseKind.ERROR, "body", null));
        assertOnlyReply(harness, requestId, LocalReply.FAILED, "released body, completely written");
    }

    @Test
    void stopRejectsARequestWithAnUnwrittenAttempt() {
        ReducerHarness harness = harness(2);
        long requestId = open(harness, ReducerHarness.FILE, false);
        harness.send(new Event.StopRequested()).advance(5000);
        assertOnlyReply(harness, requestId, LocalReply.REJECTED, "stop");
    }

    @Test
    void invalidRequestHasNoRetryAfter() {
        ReducerHarness harness = harness(2);
        long requestId = open(harness, ReducerHarness.FILE, true);
        harness.send(new Event.AttemptWritten(requestId, 0))
                .send(new Event.ResponseReceived(requestId, 0, ResponseKind.INVALID_REQUEST, "body", null));
        assertOnlyReply(harness, requestId, LocalReply.INVALID_REQUEST, "invalid request");
    }

    @Test
    void requestIsRejectedOnceEveryAttemptMetAFullServer() {
        ReducerHarness harness = harness(8);
        long requestId = open(harness, ReducerHarness.FILE, true);
        for (int i = 0; i < 5; i++) {
            harness.send(new Event.AttemptWritten(requestId, i))
                    .send(new Event.ResponseReceived(requestId, i, ResponseKind.SERVER_FULL, "b", null));
        }
        assertEquals(5, harness.attempts(requestId).size());
        assertOnlyReply(
                harness, requestId, LocalReply.REJECTED, "attempts exhausted, none ran: at once, not at the deadline");
    }

    @Test
    void localConnectFailureIsRetriedAndCountsAgainstNoServer() {
        ReducerHarness harness = harness(4);
        for (int i = 0; i < 60; i++) {
            long requestId = open(harness, ReducerHarness.FILE, true);
            for (int attempt = 0; attempt < 5; attempt++) {
                assertEquals(
                        attempt + 1,
                        harness.attempts(requestId).size(),
                        "request " + i + " is retried regardless of other requests' retries");
                harness.send(new Event.AttemptFailedLocally(requestId, attempt));
            }
            assertOnlyReply(harness, requestId, LocalReply.REJECTED, "attempts exhausted");
        }
        assertTrue(harness.reducer.metricsText().contains("proxy.pool_ejected:0|g"));
    }

    @Test
    void attemptWithoutRoomForAConnectionCountsAgainstNoServer() {
        ReducerHarness harness = harness(2);
        for (int i = 0; i < 6; i++) {
            long requestId = open(harness, ReducerHarness.FILE, true);
            assertEquals(1, harness.attempts(requestId).size(), "no server is ejected");
            harness.send(new Event.AttemptNotStarted(requestId, 0));
            assertOnlyReply(harness, requestId, LocalReply.REJECTED, "no connection available");
        }
        assertTrue(harness.reducer.metricsText().contains("proxy.pool_ejected:0|g"));
    }
}
