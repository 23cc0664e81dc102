package brackenbridge.fleet.agreed;

import brackenbridge.fleet.agreed.AgreedValues.Lease;
import brackenbridge.fleet.agreed.AgreedValues.Verdict;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongFunction;

/**
 * A member's own requests to the leader: proposals, role claims and operators' reads. Any thread may send them;
 * responses are processed on the member's thread.
 */
final class RequestClient {
    /** Minimum time for which a claim is resent; {@link #MAX_CLAIM_MS} is the maximum. */
    private static final double MIN_CLAIM_MS = 400;

    private static final double MAX_CLAIM_MS = 5000;

    /** A proposal in force whose generation this member has not received yet. */
    private record UnseenDecision(String name, long generation, double untilMs, CompletableFuture<Verdict> verdict) {}

    private final MemberContext context;
    private final LeaseClient leaseClient;
    private final PendingRequests pending;
    private final List<UnseenDecision> unseenDecisions = new ArrayList<>();
    private volatile Map<String, Lease> roleLeases = Map.of();
    private boolean closed;

    RequestClient(MemberContext context, LeaseClient leaseClient) {
        this.context = context;
        this.leaseClient = leaseClient;
        this.pending = new PendingRequests(message -> context.send(leaseClient.requestTarget(), message));
    }

    /** The known lease of each role; may be called by any thread. */
    Map<String, Lease> roleLeases() {
        return roleLeases;
    }

    /** Completes proposals whose generation is known by now, resends requests, and ends those that timed out. */
    void tick(double nowMs) {
        completeSeenDecisions();
        pending.tick(nowMs);
    }

    /** Ends all requests: proposals in force complete as such, all others time out. */
    void close() {
        closed = true;
        pending.timeOutAll();
        unseenDecisions.forEach(decision -> decision.verdict().complete(Verdict.IN_FORCE));
    }

    /** Processes a response to a request of this process; a response to an earlier incarnation is ignored. */
    void onResponse(long incarnation, long requestNumber, AgreementMessage response) {
        if (incarnation == context.incarnation()) {
            pending.complete(requestNumber, response);
        }
    }

    /**
     * Proposes a value ({@link AgreedValues#propose}).
     *
     * @throws IllegalArgumentException if the name, content or generation is out of range
     */
    CompletableFuture<Verdict> propose(String name, long expectedGeneration, byte[] content, double withinMs) {
        if (name.isEmpty()
                || name.length() > AgreedState.MAX_NAME_LENGTH
                || content.length > AgreedState.MAX_CONTENT_BYTES
                || expectedGeneration < 0) {
            throw new IllegalArgumentException("name '" + name + "', expected " + expectedGeneration + ", "
                    + content.length + " bytes of at most " + AgreedState.MAX_CONTENT_BYTES);
        }
        if (!leaseClient.isValid(name, content)) {
            return CompletableFuture.completedFuture(Verdict.REFUSED);
        }
        CompletableFuture<Verdict> verdict = new CompletableFuture<>();
        request(
                withinMs,
                requestNumber -> new AgreementMessage.ProposeRequest(
                        name, expectedGeneration, content, context.incarnation(), requestNumber),
                response -> onProposeResponse(name, (AgreementMessage.ProposeResponse) response, verdict),
                () -> verdict.complete(Verdict.UNKNOWN));
        return verdict;
    }

    private void onProposeResponse(
            String name, AgreementMessage.ProposeResponse response, CompletableFuture<Verdict> verdict) {
        if (response.verdict() != Verdict.IN_FORCE) {
            verdict.complete(response.verdict());
            return;
        }
        double untilMs = context.nowMs() + context.settings().leaseTerms().leaseMs();
        unseenDecisions.add(new UnseenDecision(name, response.generation(), untilMs, verdict));
        completeSeenDecisions();
    }

    /** Completes proposals once this member knows the new value, so that the next proposal can expect it. */
    void completeSeenDecisions() {
        for (Iterator<UnseenDecision> iterator = unseenDecisions.iterator(); iterator.hasNext(); ) {
            UnseenDecision decision = iterator.next();
            if (leaseClient.view().decided(decision.name()).inForce() >= decision.generation()
                    || context.nowMs() >= decision.untilMs()) {
                iterator.remove();
                decision.verdict().complete(Verdict.IN_FORCE);
            }
        }
    }

    /**
     * Claims a role ({@link AgreedValues#acquire}).
     *
     * @throws IllegalArgumentException if the role's name or the lease is out of range
     */
    CompletableFuture<Lease> claim(String role, double leaseMs) {
        double maxRoleLeaseMs = context.settings().maxRoleLeaseMs();
        if (role.isEmpty()
                || role.length() > AgreedState.MAX_NAME_LENGTH
                || !(leaseMs > 0)
                || leaseMs > maxRoleLeaseMs) {
            throw new IllegalArgumentException(
                    "role '" + role + "' for " + leaseMs + " ms of at most " + maxRoleLeaseMs);
        }
        // The lease counts from here, which is before the request is sent.
        double requestedMs = context.nowMs();
        CompletableFuture<Lease> lease = new CompletableFuture<>();
        request(
                Math.max(MIN_CLAIM_MS, Math.min(leaseMs / 2, MAX_CLAIM_MS)),
                requestNumber -> new AgreementMessage.ClaimRequest(role, leaseMs, context.incarnation(), requestNumber),
                response -> {
                    Lease granted = roleLease((AgreementMessage.ClaimResponse) response, requestedMs);
                    rememberRoleLease(role, granted);
                    lease.complete(granted);
                },
                () -> lease.complete(new Lease("", 0, Double.NEGATIVE_INFINITY)));
        return lease;
    }

    private Lease roleLease(AgreementMessage.ClaimResponse response, double requestedMs) {
        boolean granted = response.holder().equals(context.name()) && response.leaseMs() > 0;
        return new Lease(
                response.holder(),
                response.token(),
                granted ? requestedMs + response.leaseMs() : Double.NEGATIVE_INFINITY);
    }

    private void rememberRoleLease(String role, Lease lease) {
        Lease previous = roleLeases.get(role);
        boolean outdated = previous != null
                && (lease.token() < previous.token()
                        || lease.token() == previous.token() && lease.untilMs() <= previous.untilMs());
        if (outdated) {
            return;
        }
        Map<String, Lease> next = new HashMap<>(roleLeases);
        next.put(role, lease);
        roleLeases = Map.copyOf(next);
    }

    /** This member's lease of the role, if it holds it now by its own clock; may be called by any thread. */
    Optional<Lease> heldLease(String role) {
        return Optional.ofNullable(roleLeases.get(role))
                .filter(lease -> lease.holder().equals(context.name()))
                .filter(lease -> context.nowMs() < lease.untilMs());
    }

    /** Reads the stored generations of a name, oldest first; empty if no voter answers in time. */
    CompletableFuture<Optional<AgreementMessage.HistoryResponse>> readHistory(
            String name, long generation, double withinMs) {
        CompletableFuture<Optional<AgreementMessage.HistoryResponse>> history = new CompletableFuture<>();
        request(
                withinMs,
                requestNumber ->
                        new AgreementMessage.HistoryRequest(name, generation, context.incarnation(), requestNumber),
                response -> history.complete(Optional.of((AgreementMessage.HistoryResponse) response)),
                () -> history.complete(Optional.empty()));
        return history;
    }

    private void request(
            double withinMs,
            LongFunction<AgreementMessage> message,
            Consumer<AgreementMessage> onResponse,
            Runnable onTimeout) {
        double untilMs = context.nowMs() + withinMs;
        context.execute(() -> {
            if (closed) {
                onTimeout.run();
            } else {
                pending.send(context.nowMs(), untilMs, message, onResponse, onTimeout);
            }
        });
        if (context.thread().isShutDown()) {
            onTimeout.run();
        }
    }
}
