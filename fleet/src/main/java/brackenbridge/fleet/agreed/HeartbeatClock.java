package brackenbridge.fleet.agreed;

import brackenbridge.clock.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * The clock given to the Raft library. The library configures heartbeats in whole seconds, so one second of this clock
 * lasts one heartbeat interval.
 */
final class HeartbeatClock extends java.time.Clock {
    private final Clock clock;
    private final double rate;

    /** A clock that runs {@code rate} times as fast as the given one. */
    HeartbeatClock(Clock clock, double rate) {
        this.clock = clock;
        this.rate = rate;
    }

    @Override
    public long millis() {
        return (long) (clock.nowMs() * rate);
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(millis());
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public java.time.Clock withZone(ZoneId zone) {
        return this;
    }
}
