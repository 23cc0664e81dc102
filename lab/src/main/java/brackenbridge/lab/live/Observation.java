package brackenbridge.lab.live;

/**
 * How stand-ins watch nodes.
 *
 * @param answerSlackMs how long after its deadline a request may still be answered, in milliseconds
 * @param callers which process made a connection
 * @param faults what the stand-ins do wrong on purpose
 */
public record Observation(double answerSlackMs, CallerLookup callers, StandInFaults faults) {}
