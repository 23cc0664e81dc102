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
 * Obtains and renews a member's lease: finds the leader, sends it renewal requests, and stores the granted leases as an
 * immutable {@link LeaseView} that any thread may read. All other state is confined to the member's thread.
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

    /** Creates a client without a lease; {@code viewListener} runs after each change of the view. */
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

    /** The current leases; may be called by any thread. */
    LeaseView view() {
        return view;
    }

    /** Time of the leader's last response, in milliseconds; negative infinity if there was none. */
    double lastResponseMs() {
        return lastResponseMs;
    }

    /** The Raft group whose leases this member has accepted; empty if none. */
    String followedGroup() {
        return followedGroup;
    }

    /** The leader by the last response or hint; empty if unknown. */
    String believedLeader() {
        return believedLeader;
    }

    /** The member to send requests to: the leader if known, else the voters in turn. */
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

    /** Sends a renewal request if one is due. */
    void tick(double nowMs) {
        if (nowMs < nextRequestMs) {
            return;
        }
        if (awaitingResponse) {
            // The last request was not answered: its target may be dead.
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

    /** Processes a leader's grant; a grant of another Raft group raises the alarm. */
    void onRenewalResponse(String peer, AgreementMessage.RenewalResponse response) {
        if (!followedGroup.isEmpty() && !followedGroup.equals(response.groupId())) {
            context.counters().foreign.increment();
            context.alarm()
                    .raise(peer + " answers for Raft group " + response.groupId() + "; this member follows "
                            + followedGroup);
            return;
        }
        LeaseView before = view;
        LeaseView next = before.onRenewalResponse(response, this::isValid);
        if (next == before) {
            return;
        }
        followedGroup = response.groupId();
        believedLeader = peer;
        view = next;
        lastResponseMs = context.nowMs();
        List<String> changedNames = response.updates().stream()
                .map(AgreementMessage.NameUpdate::name)
                .filter(name ->
                        next.decided(name).version() > before.decided(name).version())
                .toList();
        double requestMs = schedule.nextAfterGrantMs(lastResponseMs, !changedNames.isEmpty());
        // A hint that arrived while the request was in flight must not be overridden by a later time.
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

    /** Whether a content is valid for this name; may be called by any thread. */
    boolean isValid(String name, byte[] content) {
        try {
            return validators.getOrDefault(name, any -> true).test(content);
        } catch (RuntimeException e) {
            LOG.warn("agreement at {}: the validator of {} failed", context.name(), name, e);
            return false;
        }
    }

    /** The leader has changed, or a value has: requests a renewal soon. */
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

    /** The target is not the leader: sends the next request to the leader that it names, or to the next voter. */
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
