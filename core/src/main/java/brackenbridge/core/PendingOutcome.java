package brackenbridge.core;

import brackenbridge.core.balancing.AttemptOutcome;

/** The outcome of an attempt that could not be started; delivered once the balancer has finished its own event. */
record PendingOutcome(long requestId, int attempt, AttemptOutcome outcome) {}
