package brackenbridge.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import brackenbridge.net.channel.ReceiveBuffers;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A client counts as present after reads that found everything it sent and no end of stream. */
class ClientPresenceTest {
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    /** The state of the connection's input, as set by each test. */
    private static final class FakeInput implements ClientPresence.InputState {
        private boolean ending;
        private boolean discarding;
        private boolean hasRoom = true;
        private int presentCount;

        @Override
        public boolean isEnding() {
            return ending;
        }

        @Override
        public boolean isDiscarding() {
            return discarding;
        }

        @Override
        public boolean hasRoomForPresenceRead() {
            return hasRoom;
        }

        @Override
        public void onPresent() {
            presentCount++;
        }
    }

    private final Clock.Manual clock = new Clock.Manual(1000);
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final FakeInput input = new FakeInput();
    private final ClientPresence presence = new ClientPresence(channel, clock, clock.nowMs(), input);

    @BeforeEach
    void freezeTime() {
        channel.freezeTime();
    }

    @AfterEach
    void closeChannel() {
        channel.close();
    }

    /** Advances the clock and runs the tasks that are due on the event loop. */
    private void pass(long ms) {
        clock.advance(ms);
        channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
    }

    /** Runs one turn of the event loop. */
    private void passTurn() {
        channel.runPendingTasks();
    }

    private void read(int reads) {
        for (int i = 0; i < reads; i++) {
            presence.onBytesRead();
        }
        presence.onReadComplete();
    }

    @Test
    void clientIsNotPresentBeforeTheFirstRead() {
        assertFalse(presence.isPresentNow());
        assertFalse(presence.isPresent(NEVER));
    }

    @Test
    void clientIsPresentOnceAllThatCameIsRead() {
        read(ReceiveBuffers.MAX_READS_PER_TURN - 1);
        assertTrue(presence.isPresentNow());
        assertEquals(1, input.presentCount);
    }

    @Test
    void clientIsUnknownUntilATurnInWhichNothingIsRead() {
        read(ReceiveBuffers.MAX_READS_PER_TURN);
        assertFalse(presence.isPresentNow(), "more bytes may be available");
        presence.onBytesRead();
        passTurn();
        assertFalse(presence.isPresentNow(), "a read has returned bytes since then");
        passTurn();
        assertTrue(presence.isPresentNow());
    }

    @Test
    void clientCountsAsPresentForTheLimitAfterItWasSeen() {
        read(1);
        presence.onBytesRead();
        assertFalse(presence.isPresentNow());
        clock.advance(ClientPresence.MAX_PRESENCE_AGE_MS);
        assertTrue(presence.isPresent(NEVER));
        assertFalse(presence.isUnknownTooLong(clock.nowMs(), NEVER));
        clock.advance(1);
        assertFalse(presence.isPresent(NEVER));
        assertTrue(presence.isUnknownTooLong(clock.nowMs(), NEVER));
    }

    @Test
    void assumedPresenceCountsFromItsOwnTime() {
        clock.advance(500);
        assertFalse(presence.isPresent(NEVER));
        assertTrue(presence.isPresent(clock.nowMs() - ClientPresence.MAX_PRESENCE_AGE_MS));
        assertFalse(presence.isUnknownTooLong(clock.nowMs(), clock.nowMs()));
        assertTrue(presence.isUnknownTooLong(clock.nowMs(), NEVER));
    }

    @Test
    void presentClientIsNeverUnknownTooLong() {
        read(1);
        clock.advance(10_000);
        assertTrue(presence.isPresent(NEVER));
        assertFalse(presence.isUnknownTooLong(clock.nowMs(), NEVER));
    }

    @Test
    void boundedReadThatFindsNothingShowsTheClientWhileReadingIsPaused() {
        read(1);
        presence.setReading(false);
        assertFalse(presence.isPresentNow());
        presence.startChecking();
        assertFalse(presence.isPresentNow(), "the read has had no time to find anything");
        pass(ClientPresence.PRESENCE_CHECK_INTERVAL_MS);
        assertTrue(presence.isPresentNow());
    }

    @Test
    void boundedReadThatFindsBytesDoesNotShowTheClient() {
        presence.setReading(false);
        presence.startChecking();
        presence.onBytesRead();
        presence.onReadComplete();
        pass(ClientPresence.PRESENCE_CHECK_INTERVAL_MS);
        assertFalse(presence.isPresentNow());
        pass(ClientPresence.PRESENCE_CHECK_INTERVAL_MS);
        assertTrue(presence.isPresentNow(), "the second read has found nothing");
    }

    @Test
    void clientStaysUnknownWithoutRoomForABoundedRead() {
        input.hasRoom = false;
        presence.setReading(false);
        presence.startChecking();
        pass(10 * ClientPresence.PRESENCE_CHECK_INTERVAL_MS);
        assertFalse(presence.isPresentNow());
        assertTrue(presence.isUnknownTooLong(clock.nowMs(), NEVER));
    }

    @Test
    void readingThatResumesEndsTheBoundedReads() {
        presence.setReading(false);
        presence.startChecking();
        presence.setReading(true);
        passTurn();
        assertTrue(presence.isPresentNow(), "nothing was read for a complete turn");
        int presentCount = input.presentCount;
        pass(10 * ClientPresence.PRESENCE_CHECK_INTERVAL_MS);
        assertEquals(presentCount, input.presentCount);
    }

    @Test
    void endingConnectionIsNotCheckedAnyMore() {
        presence.setReading(false);
        presence.startChecking();
        input.ending = true;
        pass(10 * ClientPresence.PRESENCE_CHECK_INTERVAL_MS);
        assertEquals(0, input.presentCount);
    }

    @Test
    void discardingConnectionIsNotCheckedAnyMore() {
        presence.setReading(false);
        presence.startChecking();
        input.discarding = true;
        pass(10 * ClientPresence.PRESENCE_CHECK_INTERVAL_MS);
        assertEquals(0, input.presentCount);
    }
}
