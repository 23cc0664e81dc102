package brackenbridge.fleet.agreed;

import brackenbridge.core.generation.RenewalSchedule;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A member's own lease: asks the leader for it again and again, finds out who leads, and keeps what was granted as an
 * immutable {@link LeaseView} that any thread may read. All else is for the member's thread.
 */
final class LeaseClient {
    private static final Logger LOG = LoggerFactory.getLogger(LeaseClient.class);

    private final MemberContext context;
    private final RaftConsensus consensus;
    private final Runnable viewListener;
    private final RenewalSchedule schedule;
    private final Map<String, Predicate<byte[]>> validators = new ConcurrentHashMap<>();
    private final List<Consumer<String>> valueListeners = new CopyOnWriteArrayList<>();
    private volatile LeaseView view;
    private double lastResponseMs = Double.NEGATIVE_INFINITY;
    private String followedGroup = "";
    private String believedLeader = "";
    private long lastLeaderTerm;
    private int failedRequests;
    private double nextRequestMs;
    private boolean awaitingResponse;

    /** A client that has asked for nothing yet; the listener runs after each change of the view. */
    LeaseClient(MemberContext context, RaftConsensus consensus, Runnable viewListener) {
        this.context = context;
        this.consensus = consensus;
        this.viewListener = viewListener;
        this.schedule = new RenewalSchedule(
                context.settings().leaseTerms(),
                new SplittableRandom(context.settings().seed()));
        this.view = LeaseView.start(context.incarnation());
    }

    void addValidator(String name, Predicate<byte[]> validator) {
        validators.put(name, validator);
    }

    void addValueListener(Consumer<String> listener) {
        valueListeners.add(listener);
    }

    /** What this member may act by; any thread. */
    LeaseView view() {
        return view;
    }

    /** When the leader last answered, in milliseconds; negative infinity if never. */
    double lastResponseMs() {
        return lastResponseMs;
    }

    /** The Raft group that this member has acted by; empty if none. */
    String followedGroup() {
        return followedGroup;
    }

    /** The leader by the last answer or hint; empty if unknown. */
    String believedLeader() {
        return believedLeader;
    }

    /** Whom to ask: the leader as far as known, else one voter after another. */
    String requestTarget() {
        String leader = consensus.leader();
        if (!leader.isEmpty()) {
            return leader;
        }
        if (!believedLeader.isEmpty()) {
            return believedLeader;
        }
        List<String> voters = context.settings().voters();
        return voters.get(Math.floorMod(failedRequests, voters.size()));
    }

    void start(double nowMs) {
        nextRequestMs = schedule.firstRequestMs(nowMs);
    }

    /** Asks for the lease if it is time to. */
    void tick(double nowMs) {
        if (nowMs < nextRequestMs) {
            return;
        }
        if (awaitingResponse) {
            // The last request was not answered: its target may be gone.
            awaitingResponse = false;
            believedLeader = "";
            failedRequests++;
            nextRequestMs = schedule.nextAfterFailureMs(nowMs);
            return;
        }
        view = view.startRequest(nowMs);
        schedule.onRequestSent(nowMs);
        awaitingResponse = true;
        nextRequestMs = nowMs + schedule.responseTimeoutMs();
        context.send(requestTarget(), view.renewalRequest());
    }

    /** Takes the leader's grant; one of another Raft group raises the alarm. */
    void onRenewalResponse(String peer, AgreementMessage.RenewalResponse answer) {
        if (!followedGroup.isEmpty() && !followedGroup.equals(answer.groupId())) {
            context.counters().foreign.increment();
            context.alarm()
                    .raise(peer + " answers for another founding, " + answer.groupId() + "; here it is "
                            + followedGroup);
            return;
        }
        LeaseView before = view;
        LeaseView next = before.onRenewalResponse(answer, this::isValid);
        if (next == before) {
            return;
        }
        followedGroup = answer.groupId();
        believedLeader = peer;
        view = next;
        lastResponseMs = context.nowMs();
        List<String> changedNames = answer.updates().stream()
                .map(AgreementMessage.NameUpdate::name)
                .filter(name ->
                        next.decided(name).version() > before.decided(name).version())
                .toList();
        double requestMs = schedule.nextAfterGrantMs(lastResponseMs, !changedNames.isEmpty());
        // A hint may have come while the request was on its way: it stays.
        nextRequestMs = awaitingResponse ? requestMs : Math.min(nextRequestMs, requestMs);
        awaitingResponse = false;
        viewListener.run();
        changedNames.forEach(name -> notifyChanged(next, name));
    }

    private void notifyChanged(LeaseView current, String name) {
        if (current.rejectedGeneration(name) != 0) {
            context.alarm()
                    .raise("generation " + current.rejectedGeneration(name) + " of " + name + " can't be used here");
        }
        valueListeners.forEach(listener ->
                context.thread().logFailures(() -> listener.accept(name)).run());
    }

    /** Whether this member can use a content under a name; any thread. */
    boolean isValid(String name, byte[] content) {
        try {
            return validators.getOrDefault(name, any -> true).test(content);
        } catch (RuntimeException e) {
            LOG.warn("agreement at {}: {} can't be read", context.name(), name, e);
            return false;
        }
    }

    /** A leader has news, or has just begun to lead: asks soon. */
    void onHint(String peer, AgreementMessage.Hint hint) {
        if (hint.leaderTerm() < lastLeaderTerm) {
            return;
        }
        lastLeaderTerm = hint.leaderTerm();
        believedLeader = peer;
        double requestMs = schedule.nextAfterHintMs(context.nowMs());
        if (!awaitingResponse || requestMs < nextRequestMs) {
            awaitingResponse = false;
            nextRequestMs = requestMs;
        }
    }

    /** The member asked does not lead: asks the one that it names, or the next voter. */
    void onNotLeader(String peer, AgreementMessage.NotLeader response) {
        String leader = response.leader();
        if (!leader.isEmpty()
                && context.links().peers().stream()
                        .anyMatch(candidate -> candidate.name().equals(leader))) {
            believedLeader = leader;
        } else if (believedLeader.equals(peer)) {
            believedLeader = "";
            failedRequests++;
        }
        if (awaitingResponse) {
            awaitingResponse = false;
            nextRequestMs = schedule.nextAfterHintMs(context.nowMs());
        }
    }
}
