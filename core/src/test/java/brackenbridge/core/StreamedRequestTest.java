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
