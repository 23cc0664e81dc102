package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import brackenbridge.core.Effect.LocalReply;
import brackenbridge.core.Event.ResponseKind;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How a stopping node serves its clients until it exits. */
class StoppingNodeTest {
    private static Event answer(long requestId, int attempt, ResponseKind reply) {
        return new Event.ResponseReceived(requestId, attempt, reply, "body", null);
    }

    /**
     * The front end opens no more connections to a stopping node. Its open ones stay in use, because its peers may be
     * stopped by the same release or may have just restarted. Guards against closing them early.
     */
    @Test
    void stoppingNodeServesOpenConnectionsAndExitsOnceIdle() {
        for (int peers : new int[] {1, 2}) {
            ReducerHarness harness =
                    new ReducerHarness(4, peers).send(new Event.StopRequested()).advance(450);
            assertFalse(harness.reducer.isReady());
            assertEquals(0, harness.effects(Effect.StopAccepting.class).size());
            harness.advance(100);
            assertEquals(1, harness.effects(Effect.StopAccepting.class).size());
            harness.advance(2450);
            assertEquals(0, harness.effects(Effect.AnnounceClose.class).size());
            assertEquals(0, harness.effects(Effect.CloseIdleClients.class).size());
            long requestId = harness.open(ReducerHarness.FILE, 5000);
            harness.send(new Event.AttemptWritten(requestId, 0)).advance(200);
            assertEquals(1, harness.effects(Effect.AnnounceClose.class).size());
            assertEquals(1, harness.effects(Effect.CloseIdleClients.class).size());
            assertEquals(0, harness.effects(Effect.Exit.class).size());
            harness.send(answer(requestId, 0, ResponseKind.SERVED));
            assertEquals(1, harness.effects(Effect.SendResponse.class).size());
            assertEquals(List.of(new Effect.Exit(false)), harness.effects(Effect.Exit.class));
        }
    }

    /**
     * Guards against a request that was incomplete when the node answered all open requests, and completes before the
     * exit.
     */
    @Test
    void requestAfterTheFinalResponsesIsRejectedAtOnce() {
        ReducerHarness harness = new ReducerHarness(4);
        harness.open(ReducerHarness.FILE, 6000);
        harness.send(new Event.StopRequested()).advance(3420);
        assertEquals(
                0,
                harness.effects(Effect.Exit.class).stream()
                        .filter(Effect.Exit::immediately)
                        .count());
        long late = harness.open(ReducerHarness.FILE, 6000);
        assertEquals(List.of(LocalReply.REJECTED), harness.localReplies(late));
        assertEquals(0, harness.attempts(late).size());
    }

    @Test
    void drainedNodeExitsSoon() {
        ReducerHarness harness = new ReducerHarness(4, 2)
                .send(new Event.DrainRequested(true))
                .advance(2000)
                .send(new Event.StopRequested())
                .advance(600);
        assertEquals(List.of(new Effect.Exit(false)), harness.effects(Effect.Exit.class));
    }

    @Test
    void stoppingNodeAnswersOpenRequestsBeforeItIsKilled() {
        ReducerHarness harness = new ReducerHarness(4);
        long written = harness.open(ReducerHarness.FILE, 6000);
        long unwritten = harness.open(ReducerHarness.FILE, 6000);
        harness.send(new Event.AttemptWritten(written, 0))
                .send(new Event.StopRequested())
                .advance(3500);
        assertEquals(List.of(LocalReply.TIMED_OUT), harness.localReplies(written));
        assertEquals(List.of(LocalReply.REJECTED), harness.localReplies(unwritten));
        assertEquals(new Effect.Exit(false), harness.effects(Effect.Exit.class).get(0));
    }
}
