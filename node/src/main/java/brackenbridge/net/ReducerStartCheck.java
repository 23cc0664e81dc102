package brackenbridge.net;

import brackenbridge.clock.Clock;
import brackenbridge.core.Reducer;
import brackenbridge.net.client.Listener;
import brackenbridge.net.upstream.AttemptStartCheck;

/** Consults the reducer and the client's connection on whether an attempt may start. */
final class ReducerStartCheck implements AttemptStartCheck {
    private final Clock clock;
    private final Reducer reducer;
    private final Listener listener;

    ReducerStartCheck(Clock clock, Reducer reducer, Listener listener) {
        this.clock = clock;
        this.reducer = reducer;
        this.listener = listener;
    }

    @Override
    public double timeLeftMs(long requestId, int attempt) {
        return reducer.timeLeftMs(clock.nowMs(), requestId, attempt);
    }

    @Override
    public boolean isClientPresent(long requestId) {
        return listener.isClientPresent(requestId);
    }
}
