package brackenbridge.core.balancing;

/** The retries and rejections that the idempotence of a request allows once an attempt may have run. */
final class IdempotencyRules {
    private IdempotencyRules() {}

    /** Returns whether this request may be sent to this server now. */
    static boolean allowsAttempt(long now, QueuedRequest request, ServerState server) {
        Idempotence idempotence = request.requestClass.rules.idempotence();
        if (!request.mayHaveRun || idempotence == Idempotence.IDEMPOTENT) {
            return true;
        }
        if (idempotence == Idempotence.NOT_IDEMPOTENT
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

    /** Returns whether the client may be told that the request was rejected and that a retry is safe. */
    static boolean allowsRejection(long now, QueuedRequest request) {
        Idempotence idempotence = request.requestClass.rules.idempotence();
        return !request.mayHaveRun && request.attemptsInFlight == 0
                || idempotence == Idempotence.IDEMPOTENT
                || idempotence == Idempotence.IDEMPOTENCY_KEY
                        && request.requestClass.rules.deduplicationScope() == DeduplicationScope.ALL
                        && now - request.firstRunAt < request.requestClass.rules.idempotencyKeyTtl()
                        && request.mayHaveRun;
    }
}
