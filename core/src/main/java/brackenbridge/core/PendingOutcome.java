package brackenbridge.core;

import brackenbridge.core.balancing.AttemptOutcome;

/** The outcome of an attempt that was not started; delivered once the balancer has finished handling the event. */
record PendingOutcome(long requestId, int attempt, AttemptOutcome outcome) {}
