package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brackenbridge.core.Effect.LocalReply;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests whose body is still being received when they are sent. */
class StreamedRequestTest {
    /** Opens a request whose body is incomplete. */
    private static long openStreamed(ReducerHarness harness) {
        harness.send(new Event.RequestReceived(900, new ClientRequest("file", null, 1000, false, false, "part")));
        return 900;
    }

    @Test
    void streamedRequestIsRetriedOnlyUntilItsBodyIsReleased() {
        ReducerHarness harness = new ReducerHarness(4);
        long requestId = openStreamed(harness);
        harness.send(new Event.AttemptConnectionLost(requestId, 0));
        assertEquals(2, harness.attempts(requestId).size());
        harness.send(new Event.RequestBodyReleased(requestId)).send(new Event.AttemptConnectionLost(requestId, 1));
        assertEquals(2, harness.attempts(requestId).size());
        assertEquals(List.of(LocalReply.REJECTED), harness.localReplies(requestId), "its last byte was never written");
    }

    @Test
    void streamedRequestThatMayHaveRunFails() {
        ReducerHarness harness = new ReducerHarness(4);
        long requestId = openStreamed(harness);
        harness.send(new Event.RequestBodyReleased(requestId))
                .send(new Event.RequestCompleted(requestId))
                .send(new Event.AttemptWritten(requestId, 0));
        harness.send(new Event.AttemptConnectionLost(requestId, 0));
        assertEquals(List.of(LocalReply.FAILED), harness.localReplies(requestId));
    }

    @Test
    void timeoutOfAStreamedRequestStartsWithItsLastByte() {
        ReducerHarness harness = new ReducerHarness(4);
        long requestId = openStreamed(harness);
        harness.send(new Event.RequestBodyReleased(requestId)).advance(7000);
        assertEquals(List.of(), harness.localReplies(requestId));
        harness.send(new Event.RequestCompleted(requestId))
                .send(new Event.AttemptWritten(requestId, 0))
                .advance(990);
        assertEquals(List.of(), harness.localReplies(requestId));
        assertEquals(List.of(LocalReply.TIMED_OUT), harness.advance(10).localReplies(requestId));
    }

    /** Guards clients of a server that stops reading: the node reads their last byte late or never. */
    @Test
    void timeoutOfAStreamedRequestStartsWhenItsLastByteMayHaveBeenSent() {
        ReducerHarness harness = new ReducerHarness(4);
        long requestId = openStreamed(harness);
        harness.send(new Event.RequestBodyReleased(requestId)).advance(500);
        harness.send(new Event.LastByteBound(requestId, harness.clock.nowMs() - 400));
        assertEquals(List.of(), harness.advance(590).localReplies(requestId));
        assertEquals(List.of(LocalReply.REJECTED), harness.advance(10).localReplies(requestId));
    }

    @Test
    void streamedRequestWhoseLastByteWasNotSentHasNoDeadline() {
        ReducerHarness harness = new ReducerHarness(4);
        long requestId = openStreamed(harness);
        harness.send(new Event.RequestBodyReleased(requestId));
        harness.send(new Event.LastByteBound(requestId, harness.clock.nowMs())).advance(500);
        harness.send(new Event.LastByteBound(requestId, Double.POSITIVE_INFINITY));
        assertEquals(List.of(), harness.advance(7000).localReplies(requestId));
        harness.send(new Event.LastByteBound(requestId, harness.clock.nowMs()));
        assertEquals(List.of(LocalReply.REJECTED), harness.advance(1000).localReplies(requestId));
    }

    @Test
    void streamedRequestThatIsReadLateHasOnlyTheTimeThatItsClientStillWaits() {
        ReducerHarness harness = new ReducerHarness(4);
        long requestId = openStreamed(harness);
        harness.send(new Event.RequestBodyReleased(requestId));
        harness.send(new Event.LastByteBound(requestId, harness.clock.nowMs())).advance(700);
        harness.send(new Event.RequestCompleted(requestId)).send(new Event.AttemptWritten(requestId, 0));
        assertEquals(List.of(), harness.advance(290).localReplies(requestId));
        assertEquals(List.of(LocalReply.TIMED_OUT), harness.advance(10).localReplies(requestId));
    }

    /** No further attempt starts for a client whose time is over, and none is told more time than is left. */
    @Test
    void attemptsOfAStreamedRequestKeepToWhenItsLastByteMayHaveBeenSent() {
        ReducerHarness harness = new ReducerHarness(4);
        long requestId = openStreamed(harness);
        harness.advance(300).send(new Event.LastByteBound(requestId, harness.clock.nowMs() - 300));
        double dueMs = harness.clock.nowMs() - 300 + 995;
        harness.send(new Event.AttemptConnectionLost(requestId, 0));
        assertEquals(2, harness.attempts(requestId).size());
        assertEquals(dueMs, harness.attempts(requestId).get(1).deadlineMs(), 1e-6);
        harness.advance(700).send(new Event.AttemptConnectionLost(requestId, 1));
        assertEquals(2, harness.attempts(requestId).size());
        assertEquals(List.of(LocalReply.REJECTED), harness.localReplies(requestId));
    }

    /** Guards the time told to servers: the whole body may have been sent before the connection was accepted. */
    @Test
    void streamedRequestThatMayHaveWaitedInTheBacklogTellsOnlyTheTimeThatIsCertainlyLeft() {
        ReducerHarness harness = new ReducerHarness(4);
        ClientRequest waited = new ClientRequest("file", null, 1000, false, false, 400, "part");
        harness.send(new Event.RequestReceived(900, waited));
        assertEquals(595, harness.reducer.timeLeftMs(harness.clock.nowMs(), 900, 0), 1e-6);
        ClientRequest waitedTooLong = new ClientRequest("file", null, 1000, false, false, 1200, "part");
        harness.send(new Event.RequestReceived(901, waitedTooLong));
        assertEquals(0, harness.reducer.timeLeftMs(harness.clock.nowMs(), 901, 0));
    }

    @Test
    void stopAnswersAnIncompleteStreamedRequest() {
        ReducerHarness harness = new ReducerHarness(4);
        long requestId = openStreamed(harness);
        harness.send(new Event.RequestBodyReleased(requestId))
                .send(new Event.StopRequested())
                .advance(5000);
        assertEquals(List.of(LocalReply.REJECTED), harness.localReplies(requestId));
    }

    @Test
    void streamedRequestsOccupyNoServerUntilTheyAreComplete() {
        ReducerHarness harness = new ReducerHarness(2, 2);
        for (long requestId = 500; requestId < 530; requestId++) {
            harness.send(
                    new Event.RequestReceived(requestId, new ClientRequest("file", null, 5000, false, false, "part")));
            assertEquals(1, harness.attempts(requestId).size(), "request " + requestId + " starts at once");
        }
        long other = harness.open(ReducerHarness.FILE, 5000);
        assertEquals(1, harness.attempts(other).size(), "incomplete requests use no capacity");
        for (long requestId = 500; requestId < 530; requestId++) {
            harness.send(new Event.RequestCompleted(requestId));
        }
        assertEquals(
                0, harness.attempts(harness.open(ReducerHarness.VIEW, 5000)).size(), "complete requests use capacity");
    }
}
