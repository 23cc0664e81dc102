package brackenbridge.fleet.agreed;

import io.microraft.exception.NotLeaderException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.function.DoubleConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's responses to renewal requests, role claims and operators' reads. Each of them is sent after a
 * linearizable read: a majority has confirmed, later than the request arrived, that it follows this leader. Requests
 * are read in batches. Confined to the member's thread.
 */
final class LeaderService implements AppliedListener {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderService.class);
    /** Requests that wait for a read; further ones are dropped, as a lossy link would drop them. */
    private static final int MAX_WAITING_REQUESTS = 4096;
    /** Requests answered by one read. */
    private static final int MAX_READ_BATCH = 256;

    private final MemberContext context;
    private final RaftConsensus consensus;
    private final ProposalService proposals;
    private final Deque<DoubleConsumer> waitingRequests = new ArrayDeque<>();
    private double readStartedMs = Double.NaN;
    private double majorityConfirmedMs = Double.NEGATIVE_INFINITY;

    LeaderService(MemberContext context, RaftConsensus consensus, ProposalService proposals) {
        this.context = context;
        this.consensus = consensus;
        this.proposals = proposals;
    }

    /** Time at which a majority last confirmed this leader, in milliseconds; negative infinity if never. */
    double majorityConfirmedMs() {
        return majorityConfirmedMs;
    }

    /** Returns whether this member is the leader; if not, redirects the requester to the leader. */
    private boolean isLeaderOrRedirect(String peer) {
        if (!consensus.isLeader()) {
            context.send(peer, new AgreementMessage.NotLeader(consensus.leader()));
        }
        return consensus.isLeader();
    }

    void onRenewalRequest(String peer, AgreementMessage.RenewalRequest request) {
        context.counters().leaseRequests.increment();
        if (isLeaderOrRedirect(peer)) {
            answerAfterRead(
                    nowMs -> context.send(peer, consensus.leases().renew(nowMs, peer, request, consensus.groupId())));
        }
    }

    void onProposeRequest(String peer, AgreementMessage.ProposeRequest request) {
        if (isLeaderOrRedirect(peer)) {
            proposals.onProposeRequest(peer, request);
        }
    }

    void onClaimRequest(String peer, AgreementMessage.ClaimRequest request) {
        if (isLeaderOrRedirect(peer)
                && request.leaseMs() > 0
                && request.leaseMs() <= context.settings().maxRoleLeaseMs()
                && request.role().length() <= AgreedState.MAX_NAME_LENGTH) {
            answerAfterRead(nowMs -> answerClaim(nowMs, peer, request));
        }
    }

    /**
     * Answers an operator's read after a linearizable read. Guards operators who check the history before they propose
     * again: a voter that lags behind does not know all acknowledged proposals.
     */
    void onHistoryRequest(String peer, AgreementMessage.HistoryRequest request) {
        if (isLeaderOrRedirect(peer)) {
            answerAfterRead(nowMs -> context.send(peer, historyResponse(request)));
        }
    }

    /** Starts a read that is due and replicates the commands that the leases allow by now. */
    void tick(double nowMs) {
        if (consensus.isLeader()) {
            startRead();
            replicateDueCommands(nowMs);
        }
    }

    /** Discards all requests, because the Raft node that was to answer them has stopped. */
    void reset() {
        proposals.reset();
        waitingRequests.clear();
        readStartedMs = Double.NaN;
    }

    @Override
    public void onTermBegun(boolean leads) {
        proposals.forgetWaiters();
        waitingRequests.clear();
        if (leads) {
            broadcastHint();
        }
    }

    @Override
    public void onApplied(LogCommand command, AgreedState.Result result) {
        if (command instanceof LogCommand.Stage stage) {
            onValueApplied(stage.name(), result == AgreedState.Result.STAGED);
        } else if (command instanceof LogCommand.Activate activate) {
            onValueApplied(activate.name(), true);
        } else if (command instanceof LogCommand.Abandon abandon) {
            LOG.warn(
                    "agreement at {}: version {} of {} was rejected by {}: abandoned",
                    context.name(),
                    abandon.version(),
                    abandon.name(),
                    abandon.rejectedBy());
            onValueApplied(abandon.name(), true);
        }
    }

    private void onValueApplied(String name, boolean changed) {
        if (changed) {
            context.counters().decisions.increment();
            consensus.leases().onApplied(name);
            broadcastHint();
        }
        proposals.sendOutcomes(name);
    }

    private void broadcastHint() {
        AgreementMessage.Hint hint = new AgreementMessage.Hint(consensus.state().leaderTerm());
        context.broadcast(hint);
        context.send(context.name(), hint);
    }

    private void answerAfterRead(DoubleConsumer answer) {
        if (waitingRequests.size() < MAX_WAITING_REQUESTS) {
            waitingRequests.add(answer);
            startRead();
        }
    }

    private void startRead() {
        double nowMs = context.nowMs();
        double patienceMs =
                context.settings().heartbeatMs() * context.settings().leaderTimeoutHeartbeats();
        if (waitingRequests.isEmpty() || nowMs < readStartedMs + patienceMs) {
            return;
        }
        List<DoubleConsumer> batch = new ArrayList<>();
        while (!waitingRequests.isEmpty() && batch.size() < MAX_READ_BATCH) {
            batch.add(waitingRequests.poll());
        }
        LeaderLeases leases = consensus.leases();
        readStartedMs = nowMs;
        consensus
                .readLinearizable(() -> answerBatch(batch, leases, nowMs))
                .whenComplete((result, failure) -> context.execute(() -> onReadCompleted(leases, nowMs, failure)));
    }

    private void answerBatch(List<DoubleConsumer> batch, LeaderLeases leases, double startedMs) {
        // Guards against responses in a later leader term, whose leases differ.
        if (consensus.leases() == leases) {
            majorityConfirmedMs = startedMs;
            double nowMs = context.nowMs();
            batch.forEach(answer ->
                    context.thread().logFailures(() -> answer.accept(nowMs)).run());
        }
    }

    private void onReadCompleted(LeaderLeases leases, double startedMs, Throwable failure) {
        if (readStartedMs == startedMs) {
            readStartedMs = Double.NaN;
        }
        if (failure instanceof NotLeaderException && consensus.leases() == leases) {
            consensus.stepDown();
        }
        if (consensus.isLeader()) {
            replicateDueCommands(context.nowMs());
            startRead();
        }
    }

    private void replicateDueCommands(double nowMs) {
        LeaderLeases leases = consensus.leases();
        leases.dueCommands(nowMs)
                .forEach(command -> consensus
                        .replicate(command)
                        .whenComplete((result, failure) -> context.execute(() -> {
                            if (failure != null && consensus.leases() == leases) {
                                leases.onWriteFailed(command);
                            }
                        })));
    }

    private void answerClaim(double nowMs, String peer, AgreementMessage.ClaimRequest request) {
        LeaderLeases leases = consensus.leases();
        LeaderLeases.ClaimDecision decision = leases.claimRole(nowMs, peer, request);
        if (decision instanceof LeaderLeases.ClaimDecision.Respond answer) {
            context.send(peer, answer.response());
        } else if (decision instanceof LeaderLeases.ClaimDecision.WriteFirst write) {
            replicateClaim(peer, request, write.command(), leases);
        }
    }

    private void replicateClaim(
            String peer, AgreementMessage.ClaimRequest request, LogCommand.GrantRole command, LeaderLeases leases) {
        consensus
                .replicate(command)
                .whenComplete((result, failure) -> context.execute(() -> {
                    if (consensus.leases() != leases) {
                        return;
                    }
                    if (failure == null && result.getResult() == AgreedState.Result.DONE) {
                        context.send(peer, leases.grantRole(context.nowMs(), request));
                    } else {
                        leases.onWriteFailed(command);
                    }
                }));
    }

    private AgreementMessage.HistoryResponse historyResponse(AgreementMessage.HistoryRequest request) {
        AgreedState state = consensus.state();
        byte[] content = state.findGeneration(request.name(), request.generation())
                .map(AgreedState.Generation::content)
                .orElse(new byte[0]);
        List<AgreementMessage.HistoryEntry> lines = state.find(request.name()).stream()
                .flatMap(named -> named.history().stream().map(kept -> historyEntry(named, kept)))
                .toList();
        return new AgreementMessage.HistoryResponse(request.incarnation(), request.requestNumber(), lines, content);
    }

    private static AgreementMessage.HistoryEntry historyEntry(
            AgreedState.NamedValue named, AgreedState.Generation kept) {
        String outcome = kept.outcome().name().toLowerCase(Locale.ROOT);
        boolean inForce = kept.generation() == named.decided().inForce();
        return new AgreementMessage.HistoryEntry(
                kept.generation(), kept.proposer(), kept.content().length, outcome + (inForce ? ", now" : ""));
    }
}
