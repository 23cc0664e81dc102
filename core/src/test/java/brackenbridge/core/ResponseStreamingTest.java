package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brackenbridge.core.Effect.LocalReply;
import brackenbridge.core.Event.ResponseKind;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Responses that are still being received when their request's time is over. */
class ResponseStreamingTest {
    private static final double TIMEOUT_MS = 5000;

    private final ReducerHarness harness = new ReducerHarness(4);
    private long requestId;

    @BeforeEach
    void open() {
        requestId = harness.open(ReducerHarness.FILE, TIMEOUT_MS);
        harness.send(new Event.AttemptWritten(requestId, 0));
    }

    private List<Effect.StreamResponse> streamed() {
        return harness.effects(Effect.StreamResponse.class);
    }

    private void start(boolean knownLong) {
        harness.send(new Event.ResponseStarted(requestId, 0, knownLong));
    }

    @Test
    void longResponseIsStreamedSoonAfterItsHead() {
        start(true);
        assertEquals(List.of(), streamed());
        harness.advance(ResponseStreamingPolicy.FIRST_PART_TIMEOUT_MS);
        assertEquals(List.of(new Effect.StreamResponse(requestId, 0)), streamed());
    }

    @Test
    void responseThatTurnsOutToBeLongIsStreamedSoonAfterThat() {
        start(false);
        harness.advance(1000);
        assertEquals(List.of(), streamed());
        start(true);
        harness.advance(ResponseStreamingPolicy.FIRST_PART_TIMEOUT_MS);
        assertEquals(1, streamed().size());
    }

    @Test
    void responseOfUnknownLengthIsStreamedBeforeTheDeadline() {
        start(false);
        harness.advance(TIMEOUT_MS * (1 - ResponseStreamingPolicy.LEAD_RATIO) - 10);
        assertEquals(List.of(), streamed());
        harness.advance(10);
        assertEquals(1, streamed().size());
        harness.send(new Event.ResponseReceived(requestId, 0, ResponseKind.SERVED, "body", null));
        assertEquals(1, harness.effects(Effect.SendResponse.class).size());
        assertEquals(List.of(), harness.advance(TIMEOUT_MS).localReplies(requestId));
    }

    @Test
    void responseThatCanNotBeStreamedIsTriedAgainAtTheDeadlineAndThenFails() {
        start(false);
        harness.advance(TIMEOUT_MS * (1 - ResponseStreamingPolicy.LEAD_RATIO));
        harness.send(new Event.ResponseNotStreamable(requestId, 0));
        assertEquals(List.of(), harness.localReplies(requestId));
        harness.advance(TIMEOUT_MS * ResponseStreamingPolicy.LEAD_RATIO - 1);
        assertEquals(2, streamed().size());
        harness.send(new Event.ResponseNotStreamable(requestId, 0)).advance(0);
        assertEquals(List.of(LocalReply.TIMED_OUT), harness.localReplies(requestId));
        assertEquals(List.of(new Effect.CancelAttempt(requestId, 0)), harness.effects(Effect.CancelAttempt.class));
    }

    @Test
    void responseThatComesCompleteIsNotStreamed() {
        start(false);
        harness.send(new Event.ResponseReceived(requestId, 0, ResponseKind.SERVED, "body", null));
        harness.advance(2 * TIMEOUT_MS);
        assertEquals(List.of(), streamed());
    }
}
