package brackenbridge.net;

import brackenbridge.clock.Clock;

/**
 * A clock that runs slower than real time, so that delays on a busy machine weigh less in what a test measures with it.
 */
final class SlowClock extends Clock {
    private final Clock system = Clock.system();
    private final double startMs = system.nowMs();
    private final double slowdown;

    SlowClock(double slower) {
        this.slowdown = slower;
    }

    @Override
    public double nowMs() {
        return startMs + (system.nowMs() - startMs) / slowdown;
    }
}
