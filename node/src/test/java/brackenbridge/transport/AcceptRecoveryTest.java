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

/** A listening channel accepts unless its owner or a failed accept has paused it. */
class AcceptRecoveryTest {
    private static final IOException NO_DESCRIPTOR = new IOException("Too many open files");
    private static final IOException ABORTED = new IOException("Software caused connection abort");

    private final AtomicInteger releases = new AtomicInteger();
    private final List<String> warnings = new ArrayList<>();
    private final AcceptRecovery recovery = new AcceptRecovery(releases::incrementAndGet, warnings::add);
    private final EmbeddedChannel listening = new EmbeddedChannel(recovery);

    AcceptRecoveryTest() {
        listening.freezeTime();
    }

    private void failAccept(IOException failure) {
        listening.pipeline().fireExceptionCaught(failure);
    }

    private void advanceTime(long ms) {
        listening.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
        listening.runScheduledPendingTasks();
    }

    private boolean isAccepting() {
        return listening.config().isAutoRead();
    }

    @Test
    void shortageReleasesDescriptorsAndPausesBriefly() {
        failAccept(NO_DESCRIPTOR);
        assertFalse(isAccepting());
        assertEquals(1, releases.get());
        advanceTime(AcceptBackoff.PAUSE_MS - 1);
        assertFalse(isAccepting());
        advanceTime(1);
        assertTrue(isAccepting());
    }

    @Test
    void abortedConnectionDoesNotPause() {
        failAccept(ABORTED);
        assertTrue(isAccepting());
        assertEquals(0, releases.get());
    }

    @Test
    void manyConsecutiveAbortsPause() {
        for (int i = 0; i < 16; i++) {
            failAccept(ABORTED);
            assertTrue(isAccepting());
        }
        failAccept(ABORTED);
        assertFalse(isAccepting());
        advanceTime(AcceptBackoff.PAUSE_MS);
        assertTrue(isAccepting());
    }

    @Test
    void failurePauseDoesNotEndThePauseOfTheOwner() {
        failAccept(NO_DESCRIPTOR);
        recovery.setAccepting(listening, false);
        advanceTime(2000);
        assertFalse(isAccepting(), "the owner has paused it");
        recovery.setAccepting(listening, true);
        assertTrue(isAccepting());
    }

    @Test
    void ownerDoesNotEndThePauseOfAFailure() {
        failAccept(NO_DESCRIPTOR);
        recovery.setAccepting(listening, true);
        assertFalse(isAccepting());
        advanceTime(AcceptBackoff.PAUSE_MS);
        assertTrue(isAccepting());
    }

    @Test
    void failureWhileTheOwnerPausesChangesNothing() {
        recovery.setAccepting(listening, false);
        failAccept(NO_DESCRIPTOR);
        advanceTime(2000);
        assertFalse(isAccepting());
    }

    @Test
    void consecutiveFailuresAreLoggedOnce() {
        failAccept(NO_DESCRIPTOR);
        advanceTime(10);
        failAccept(NO_DESCRIPTOR);
        assertEquals(1, warnings.size());
        listening.writeInbound("a client");
        failAccept(NO_DESCRIPTOR);
        assertEquals(2, warnings.size());
    }
}
