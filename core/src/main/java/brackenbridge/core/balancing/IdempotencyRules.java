package brackenbridge.core.balancing;

/** What the effect of a request class allows once an attempt may have run. */
final class IdempotencyRules {
    private IdempotencyRules() {}

    /** Whether this request may be sent to this server now. */
    static boolean allowsAttempt(long now, QueuedRequest request, ServerState server) {
        Idempotence effect = request.requestClass.rules.idempotence();
        if (!request.mayHaveRun || effect == Idempotence.IDEMPOTENT) {
            return true;
        }
        if (effect == Idempotence.NOT_IDEMPOTENT
                || now - request.firstRunAt >= request.requestClass.rules.idempotencyKeyTtl()) {
            return false;
        }
        Endpoint firstRun = request.firstRunServer.endpoint;
        return switch (request.requestClass.rules.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> firstRun.zone().equals(server.endpoint.zone());
            case CELL -> firstRun.cell() >= 0 && firstRun.cell() == server.endpoint.cell();
        };
    }

    /** Whether the client may be answered that the request was rejected and that a retry does no harm. */
    static boolean allowsRejection(long now, QueuedRequest request) {
        Idempotence effect = request.requestClass.rules.idempotence();
        return !request.mayHaveRun && request.attemptsInFlight == 0
                || effect == Idempotence.IDEMPOTENT
                || effect == Idempotence.IDEMPOTENCY_KEY
                        && request.requestClass.rules.deduplicationScope() == DeduplicationScope.ALL
                        && now - request.firstRunAt < request.requestClass.rules.idempotencyKeyTtl()
                        && request.mayHaveRun;
    }
}
