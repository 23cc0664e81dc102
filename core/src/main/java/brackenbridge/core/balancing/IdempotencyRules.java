package brackenbridge.core.balancing;

import brackenbridge.core.balancing.BalancerApi.DedupScope;
import brackenbridge.core.balancing.BalancerApi.Effect;
import brackenbridge.core.balancing.BalancerApi.Endpoint;

/** What the effect of a request class allows once an attempt may have run. */
final class IdempotencyRules {
    private IdempotencyRules() {}

    /** Whether this request may be sent to this server now. */
    static boolean allow(long now, QueuedRequest request, ServerState server) {
        Effect effect = request.requestClass.rules.effect();
        if (!request.mayHaveRun || effect == Effect.SAFE) {
            return true;
        }
        if (effect == Effect.UNSAFE || now - request.firstRunAt >= request.requestClass.rules.keyTtl()) {
            return false;
        }
        Endpoint firstRun = request.firstRunServer.endpoint;
        return switch (request.requestClass.rules.dedupScope()) {
            case ALL -> true;
            case ZONE -> firstRun.zone().equals(server.endpoint.zone());
            case CELL -> firstRun.cell() >= 0 && firstRun.cell() == server.endpoint.cell();
        };
    }

    /** Whether the client may be told that the request was rejected and that a retry does no harm. */
    static boolean allowRejection(long now, QueuedRequest request) {
        Effect effect = request.requestClass.rules.effect();
        return !request.mayHaveRun && request.attemptsInFlight == 0
                || effect == Effect.SAFE
                || effect == Effect.KEYED
                        && request.requestClass.rules.dedupScope() == DedupScope.ALL
                        && now - request.firstRunAt < request.requestClass.rules.keyTtl()
                        && request.mayHaveRun;
    }
}
