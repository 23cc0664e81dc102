package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brackenbridge.core.Effect.LocalReply;
import brackenbridge.core.Event.ResponseKind;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.counters.Counter;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests whose clients disconnect, or whose presence is unknown. */
class ClientDisconnectTest {
    @Test
    void disconnectCancelsTheAttemptAndNeedsNoAnswer() {
        ReducerHarness harness = new ReducerHarness(4);
        long requestId = harness.open(ReducerHarness.VIEW, 5000);
        harness.send(new Event.ClientDisconnected(requestId))
                .send(new Event.ClientDisconnected(requestId))
                .advance(9000);
        assertEquals(List.of(new Effect.CancelAttempt(requestId, 0)), harness.effects(Effect.CancelAttempt.class));
        assertEquals(List.of(), harness.localReplies(requestId));
        assertEquals(1, harness.counters.get(Counter.CLIENTS_DISCONNECTED));
        assertEquals(1, harness.counters.get(Counter.ATTEMPTS_NEVER_STARTED));
    }

    @Test
    void unknownPresenceCancelsAnUnwrittenAttemptAndRejectsAtOnce() {
        ReducerHarness harness = new ReducerHarness(4);
        long requestId = harness.open(ReducerHarness.FILE, 5000);
        harness.send(new Event.ClientPresenceUnknown(requestId)).send(new Event.ClientPresenceUnknown(requestId));
        assertEquals(List.of(new Effect.CancelAttempt(requestId, 0)), harness.effects(Effect.CancelAttempt.class));
        assertEquals(List.of(LocalReply.REJECTED), harness.localReplies(requestId));
        harness.advance(9000);
        assertEquals(1, harness.attempts(requestId).size());
        assertEquals(List.of(LocalReply.REJECTED), harness.localReplies(requestId));
        assertEquals(1, harness.counters.get(Counter.ATTEMPTS_NEVER_STARTED));
    }

    @Test
    void unknownPresenceKeepsAWrittenAttemptButStartsNoRetry() {
        ReducerHarness harness = new ReducerHarness(1);
        long requestId = harness.open(ReducerHarness.FILE, 5000);
        harness.send(new Event.AttemptWritten(requestId, 0)).send(new Event.ClientPresenceUnknown(requestId));
        assertEquals(List.of(), harness.localReplies(requestId));
        harness.send(new Event.ResponseReceived(requestId, 0, ResponseKind.SERVER_FULL, null, null))
                .send(new Event.ClientPresenceUnknown(requestId));
        assertEquals(List.of(LocalReply.REJECTED), harness.localReplies(requestId));
        harness.advance(9000);
        int retries = harness.attempts(requestId).size() - 1;
        assertEquals(retries, harness.effects(Effect.CancelAttempt.class).size(), "each retry is cancelled");
    }

    @Test
    void unknownPresenceFailsARequestThatMayHaveRun() {
        ReducerHarness harness = new ReducerHarness(4);
        long requestId = harness.open(ReducerHarness.VIEW, 5000);
        harness.send(new Event.AttemptWritten(requestId, 0)).send(new Event.AttemptConnectionLost(requestId, 0));
        assertEquals(2, harness.attempts(requestId).size(), "idempotent, so it is retried");
        harness.send(new Event.ClientPresenceUnknown(requestId));
        assertEquals(List.of(LocalReply.FAILED), harness.localReplies(requestId));
        assertEquals(List.of(new Effect.CancelAttempt(requestId, 1)), harness.effects(Effect.CancelAttempt.class));
    }

    @Test
    void queuedRequestOfADisconnectedOrUnknownClientNeverStarts() {
        ReducerHarness harness = new ReducerHarness(0);
        long unknown = harness.open(ReducerHarness.VIEW, 8000);
        long disconnected = harness.open(ReducerHarness.VIEW, 8000);
        long other = harness.open(ReducerHarness.VIEW, 8000);
        harness.send(new Event.ClientPresenceUnknown(unknown)).send(new Event.ClientDisconnected(disconnected));
        assertEquals(List.of(LocalReply.REJECTED), harness.localReplies(unknown));
        harness.send(new Event.Reconfigured(
                harness.settings,
                new EndpointList(42, true, List.of(ReducerHarness.endpoint("s-0", EndpointState.UP))),
                false));
        harness.advance(100);
        assertEquals(1, harness.attempts(other).size());
        assertEquals(List.of(), harness.attempts(unknown));
        assertEquals(List.of(), harness.attempts(disconnected));
    }
}
