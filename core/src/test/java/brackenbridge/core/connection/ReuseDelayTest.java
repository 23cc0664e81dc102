package brackenbridge.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How long connections rest between two attempts. */
class ReuseDelayTest {
    private final ReuseDelay delay = new ReuseDelay();

    @Test
    void restIsShortUntilAServerSendsLateBytes() {
        assertEquals(ReuseDelay.SHORT_MS, delay.delayMs(1000));
        delay.onLateBytes(1000);
        assertEquals(ReuseDelay.LONG_MS, delay.delayMs(1000));
        assertEquals(ReuseDelay.LONG_MS, delay.delayMs(1000 + ReuseDelay.MEMORY_MS - 1));
        assertEquals(ReuseDelay.SHORT_MS, delay.delayMs(1000 + ReuseDelay.MEMORY_MS));
    }
}
