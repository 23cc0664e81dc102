package brackenbridge.net;

import brackenbridge.clock.Clock;

/** Runs slower than real time, so that a crowded machine's delays weigh less against what a test measures by it. */
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
