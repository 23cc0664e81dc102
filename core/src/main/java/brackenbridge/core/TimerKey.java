package brackenbridge.core;

/** What a timer was set for. One that has lost its purpose does nothing; only deadlines are ever unset. */
public sealed interface TimerKey {
    /** The module's own. */
    record BalancerTimer(String token) implements TimerKey {}

    /** A flow's client gives up. */
    record RequestDeadline(long requestId) implements TimerKey {}

    /** A forward is given up before its flow's deadline. */
    record AttemptTimeout(long requestId, int attempt) implements TimerKey {}

    /** No forward may begin at this host any more. */
    record DrainCutoff(String host) implements TimerKey {}

    /** Something is due between the node and discovery. */
    record DiscoveryTimer(long turn) implements TimerKey {}

    /** A probe has taken too long. */
    record HealthCheckTimeout(long healthCheckId) implements TimerKey {}

    /** Something is due among the tenants. */
    record TenantSchedulerTimer() implements TimerKey {}

    /** What the fleet said of zones holds no longer. */
    record ZoneWeightsExpired() implements TimerKey {}

    /** A drain reaches its next step. */
    record DrainStep(long drain, LifeCycle.DrainStep step) implements TimerKey {}

    /** A stopping process with a successor ends idle connections from now on. */
    record CloseIdleClients() implements TimerKey {}

    /** A stopping node accepts no more connections. */
    record StopAccepting() implements TimerKey {}

    /** A stopping node takes no more flows. */
    record StopServing() implements TimerKey {}

    /** A stopping node must have answered everything. */
    record AnswerAll() implements TimerKey {}

    /** A stopping node must have ended. */
    record ExitNow() implements TimerKey {}
}
