package brackenbridge.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** When a listening channel accepts, between its owner's wish and failed accepts. */
class AcceptRecoveryTest {
    private static final IOException NO_DESCRIPTOR = new IOException("Too many open files");
    private static final IOException ABORTED = new IOException("Software caused connection abort");

    private final AtomicInteger roomMade = new AtomicInteger();
    private final List<String> warnings = new ArrayList<>();
    private final AcceptRecovery recovery = new AcceptRecovery(roomMade::incrementAndGet, warnings::add);
    private final EmbeddedChannel listening = new EmbeddedChannel(recovery);

    AcceptRecoveryTest() {
        listening.freezeTime();
    }

    private void fail(IOException failure) {
        listening.pipeline().fireExceptionCaught(failure);
    }

    private void pass(long ms) {
        listening.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
        listening.runScheduledPendingTasks();
    }

    private boolean accepts() {
        return listening.config().isAutoRead();
    }

    @Test
    void lackOfDescriptorsMakesRoomAndPausesForAMoment() {
        fail(NO_DESCRIPTOR);
        assertFalse(accepts());
        assertEquals(1, roomMade.get());
        pass(AcceptBackoff.PAUSE_MS - 1);
        assertFalse(accepts());
        pass(1);
        assertTrue(accepts());
    }

    @Test
    void abortedConnectionPausesNothing() {
        fail(ABORTED);
        assertTrue(accepts());
        assertEquals(0, roomMade.get());
    }

    @Test
    void abortsWithoutAnAcceptBetweenThemPauseInTheEnd() {
        for (int i = 0; i < 16; i++) {
            fail(ABORTED);
            assertTrue(accepts());
        }
        fail(ABORTED);
        assertFalse(accepts());
        pass(AcceptBackoff.PAUSE_MS);
        assertTrue(accepts());
    }

    @Test
    void pauseOfTheOwnerOutlastsThatOfAFailure() {
        fail(NO_DESCRIPTOR);
        recovery.setAccepting(listening, false);
        pass(2000);
        assertFalse(accepts(), "as its owner has set it");
        recovery.setAccepting(listening, true);
        assertTrue(accepts());
    }

    @Test
    void ownerThatAdmitsAgainDoesNotCutThePauseShort() {
        fail(NO_DESCRIPTOR);
        recovery.setAccepting(listening, true);
        assertFalse(accepts());
        pass(AcceptBackoff.PAUSE_MS);
        assertTrue(accepts());
    }

    @Test
    void failureWhileTheOwnerPausesChangesNothing() {
        recovery.setAccepting(listening, false);
        fail(NO_DESCRIPTOR);
        pass(2000);
        assertFalse(accepts());
    }

    @Test
    void runOfFailuresIsLoggedOnce() {
        fail(NO_DESCRIPTOR);
        pass(10);
        fail(NO_DESCRIPTOR);
        assertEquals(1, warnings.size());
        listening.writeInbound("a client");
        fail(NO_DESCRIPTOR);
        assertEquals(2, warnings.size());
    }
}
