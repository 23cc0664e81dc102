package brackenbridge.fleet.agreed;

import brackenbridge.fleet.agreed.AgreedValues.Verdict;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The leader's side of proposals: appends each to the log once and sends the result to its proposer. Confined to the
 * member's thread.
 */
final class ProposalService {
    /** Maximum number of proposers that wait for a result. */
    private static final int MAX_WAITERS = 4 * RaftConsensus.MAX_PENDING_ENTRIES;

    /** A proposal for whose result a member waits. */
    private record Waiter(String peer, String name, long incarnation, long requestNumber) {}

    private final MemberContext context;
    private final RaftConsensus consensus;
    private final List<Waiter> waiters = new ArrayList<>();
    private final Set<Waiter> inFlight = new HashSet<>();

    ProposalService(MemberContext context, RaftConsensus consensus) {
        this.context = context;
        this.consensus = consensus;
    }

    /** A new leader term has begun: proposers resend their proposals to the new leader. */
    void forgetWaiters() {
        waiters.clear();
    }

    void reset() {
        waiters.clear();
        inFlight.clear();
    }

    /** Stages a proposal unless it is already in flight or exceeds a limit; only while this member is the leader. */
    void onProposeRequest(String peer, AgreementMessage.ProposeRequest request) {
        Waiter waiter = new Waiter(peer, request.name(), request.incarnation(), request.requestNumber());
        if (inFlight.contains(waiter)
                || inFlight.size() >= RaftConsensus.MAX_PENDING_ENTRIES
                || request.name().length() > AgreedState.MAX_NAME_LENGTH
                || request.content().length > AgreedState.MAX_CONTENT_BYTES) {
            return;
        }
        if (!waiters.contains(waiter) && waiters.size() < MAX_WAITERS) {
            waiters.add(waiter);
        }
        if (consensus
                .state()
                .findProposal(request.name(), peer, request.incarnation(), request.requestNumber())
                .isPresent()) {
            sendOutcomes(request.name());
            return;
        }
        inFlight.add(waiter);
        LogCommand.Stage command = new LogCommand.Stage(
                request.name(),
                request.expectedGeneration(),
                request.content(),
                peer,
                request.incarnation(),
                request.requestNumber());
        consensus
                .replicate(command)
                .whenComplete((result, failure) ->
                        context.execute(() -> onStaged(waiter, failure != null ? null : result.getResult())));
    }

    private void onStaged(Waiter waiter, AgreedState.Result result) {
        inFlight.remove(waiter);
        rejection(result).ifPresent(verdict -> {
            waiters.remove(waiter);
            context.send(
                    waiter.peer(),
                    new AgreementMessage.ProposeResponse(waiter.incarnation(), waiter.requestNumber(), verdict, 0));
        });
    }

    /** The verdict on a proposal that was not staged; empty if it was, or if the result is unknown. */
    private static Optional<Verdict> rejection(AgreedState.Result result) {
        if (result == null) {
            return Optional.empty();
        }
        return switch (result) {
            case OVERTAKEN -> Optional.of(Verdict.OVERTAKEN);
            case ANOTHER_STAGED -> Optional.of(Verdict.ANOTHER_STAGED);
            case FULL -> Optional.of(Verdict.REFUSED);
            default -> Optional.empty();
        };
    }

    /** Sends the results of a name's decided proposals to their proposers. */
    void sendOutcomes(String name) {
        for (Iterator<Waiter> iterator = waiters.iterator(); iterator.hasNext(); ) {
            Waiter waiter = iterator.next();
            Optional<AgreedState.Generation> generation = waiter.name().equals(name)
                    ? consensus.state().findProposal(name, waiter.peer(), waiter.incarnation(), waiter.requestNumber())
                    : Optional.empty();
            if (generation.isPresent() && generation.get().outcome() != AgreedState.Outcome.STAGED) {
                iterator.remove();
                Verdict verdict =
                        generation.get().outcome() == AgreedState.Outcome.IN_FORCE ? Verdict.IN_FORCE : Verdict.REFUSED;
                context.send(
                        waiter.peer(),
                        new AgreementMessage.ProposeResponse(
                                waiter.incarnation(),
                                waiter.requestNumber(),
                                verdict,
                                generation.get().generation()));
            }
        }
    }
}
