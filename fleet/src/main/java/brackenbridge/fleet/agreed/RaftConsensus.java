package brackenbridge.fleet.agreed;

import io.microraft.MembershipChangeMode;
import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.model.message.RaftMessage;
import io.microraft.report.RaftGroupMembers;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Adapter of the Raft library (MicroRaft; Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
 * 2014): its configuration, its node, the replicated state and whether this member is the leader. Confined to the
 * member's thread.
 */
final class RaftConsensus {
    private static final Logger LOG = LoggerFactory.getLogger(RaftConsensus.class);
    private static final double MILLIS_PER_SECOND = 1000;
    /** Maximum number of uncommitted log entries, and of proposals in flight. */
    static final int MAX_PENDING_ENTRIES = 256;
    /** Election timeout, in heartbeats. */
    private static final double ELECTION_HEARTBEATS = 2;
    /** Additional election timeout for each position in the list of voters, in heartbeats. */
    private static final double ELECTION_STAGGER_HEARTBEATS = 1.5;
    /** Log entries after which a snapshot is taken. */
    private static final int SNAPSHOT_ENTRIES = 1000;
    /** Maximum number of entries by which a learner may lag behind the leader to be promoted to a voter. */
    private static final long PROMOTION_LAG_ENTRIES = 50;

    private final MemberContext context;
    private final AgreedState state = new AgreedState();
    private AppliedListener listener;
    private RaftNode raftNode;
    private LeaderLeases leases;
    private String groupId = "";
    private long leaderTermNumber;

    RaftConsensus(MemberContext context) {
        this.context = context;
    }

    /** Sets the listener for applied entries; to be called once, before the start. */
    void setListener(AppliedListener appliedListener) {
        listener = appliedListener;
    }

    /** The replicated state after all applied entries. */
    AgreedState state() {
        return state;
    }

    /** The leases that this member grants; null unless it is the leader. */
    LeaderLeases leases() {
        return leases;
    }

    boolean isLeader() {
        return leases != null;
    }

    boolean isStarted() {
        return raftNode != null;
    }

    /** The Raft group that this member takes part in; empty before the first start. */
    String groupId() {
        return groupId;
    }

    /** Starts the library's node with the state in the store, or with the bootstrap voters if the store is empty. */
    void start(VoterStore store, VoterEndpoint self, List<String> bootstrapVoters) {
        groupId = VoterAdmission.groupId(bootstrapVoters);
        List<RaftEndpoint> initialMembers = new ArrayList<>();
        bootstrapVoters.forEach(voter -> initialMembers.add(VoterEndpoint.parse(voter)));
        AgreedSettings settings = context.settings();
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder()
                .setGroupId(groupId)
                .setConfig(config(settings))
                .setExecutor(new FailStopExecutor(context.thread(), store::failed))
                .setTransport(new LinkTransport(context.links()))
                .setStateMachine(new AgreedStateMachine(context, this, self, listener))
                .setStore(store)
                .setRandom(new Random(settings.seed()))
                .setClock(new HeartbeatClock(context.clock(), MILLIS_PER_SECOND / settings.heartbeatMs()))
                .setRaftNodeReportListener(report -> {});
        raftNode = (store.restored().isPresent()
                        ? builder.setRestoredState(store.restored().get())
                        : builder.setLocalEndpoint(self).setInitialGroupMembers(initialMembers))
                .build();
        raftNode.start();
    }

    private RaftConfig config(AgreedSettings settings) {
        int rank = settings.voters().indexOf(context.name());
        // The library's own jitter is shorter than a disk write, which would lead to repeated split votes.
        double electionHeartbeats = ELECTION_HEARTBEATS + ELECTION_STAGGER_HEARTBEATS * rank;
        return RaftConfig.newBuilder()
                .setLeaderElectionTimeoutMillis((long) (MILLIS_PER_SECOND * electionHeartbeats))
                .setLeaderHeartbeatPeriodSecs(1)
                .setLeaderHeartbeatTimeoutSecs(settings.leaderTimeoutHeartbeats())
                .setAppendEntriesRequestBatchSize(AgreementCodec.MAX_BATCH_ENTRIES)
                .setCommitCountToTakeSnapshot(SNAPSHOT_ENTRIES)
                .setMaxPendingLogEntryCount(MAX_PENDING_ENTRIES)
                .setTransferSnapshotsFromFollowersEnabled(false)
                .build();
    }

    /** Discards a node that has stopped because its disk failed, and the state that it had applied. */
    void discardNode() {
        raftNode = null;
        leases = null;
        state.restore(new AgreedState().snapshot());
    }

    /** Terminates the library's node. */
    CompletableFuture<?> terminate() {
        return raftNode.terminate();
    }

    /** Passes a message from another voter to the library; a message of another Raft group raises the alarm. */
    void onMessage(String peer, RaftMessage message) {
        if (raftNode == null || !((VoterEndpoint) message.getSender()).name().equals(peer)) {
            return;
        }
        if (!message.getGroupId().equals(groupId)) {
            context.counters().foreign.increment();
            context.alarm()
                    .raise(peer + " belongs to Raft group " + message.getGroupId() + "; this member belongs to "
                            + groupId);
            return;
        }
        raftNode.handle(message);
    }

    /** Appends a command to the log; only while this member is the leader. */
    CompletableFuture<Ordered<AgreedState.Result>> replicate(LogCommand command) {
        return raftNode.replicate(command);
    }

    /** Runs an action once a majority has confirmed, after this call, that it follows this member. */
    CompletableFuture<Ordered<Object>> readLinearizable(Runnable read) {
        return raftNode.query(
                new AgreedStateMachine.LinearizableRead(read),
                QueryPolicy.LINEARIZABLE,
                Optional.empty(),
                Optional.empty());
    }

    void takeSnapshot() {
        if (raftNode != null) {
            raftNode.takeSnapshot();
        }
    }

    /** Number of leader terms that this process has begun; not reset when the disk fails. */
    long leaderTermNumber() {
        return leaderTermNumber;
    }

    long nextLeaderTermNumber() {
        return ++leaderTermNumber;
    }

    /** A leader term has begun; {@code newLeases} is null if another member is the leader. */
    void beginTerm(LeaderLeases newLeases) {
        leases = newLeases;
    }

    /** This member is no longer the leader. */
    void stepDown() {
        leases = null;
    }

    /** The leader's name; empty if unknown. */
    String leader() {
        if (leases != null) {
            return context.name();
        }
        RaftEndpoint leader = raftNode == null ? null : raftNode.getTerm().getLeaderEndpoint();
        return leader == null ? "" : ((VoterEndpoint) leader).name();
    }

    /**
     * Starts a new pre-vote if the leader is silent and a stale pre-vote prevents the library from starting one.
     *
     * @return whether a pre-vote was started
     */
    boolean replaceStalePreVote() {
        return StalePreVote.replace(raftNode);
    }

    /** The Raft term. */
    int raftTerm() {
        return raftNode.getTerm().getTerm();
    }

    RaftGroupMembers committedMembers() {
        return raftNode.getCommittedMembers();
    }

    /**
     * Replaces a voter that has a new disk: the voter with the old disk is removed, the one with the new disk becomes a
     * learner and then a voter. Each call makes at most one membership change.
     */
    void admitReplacement(String peer, AgreementMessage.JoinRequest request) {
        RaftGroupMembers members = raftNode.getCommittedMembers();
        VoterEndpoint replacement;
        try {
            replacement = VoterEndpoint.parse(request.endpoint());
        } catch (IllegalArgumentException e) {
            context.counters().malformed.increment();
            return;
        }
        if (!replacement.name().equals(peer)
                || !context.settings().voters().contains(peer)
                || raftNode.getEffectiveMembers().getLogIndex() != members.getLogIndex()) {
            return;
        }
        Optional<RaftEndpoint> replaced = members.getMembers().stream()
                .filter(member -> ((VoterEndpoint) member).name().equals(peer) && !member.equals(replacement))
                .findFirst();
        if (replaced.isPresent()) {
            changeMembers(replaced.get(), MembershipChangeMode.REMOVE_MEMBER, members);
        } else if (!members.getMembers().contains(replacement)) {
            changeMembers(replacement, MembershipChangeMode.ADD_LEARNER, members);
        } else if (!members.getVotingMembers().contains(replacement)) {
            promoteOnceCaughtUp(replacement, members);
        }
    }

    private void promoteOnceCaughtUp(VoterEndpoint learner, RaftGroupMembers members) {
        raftNode.getReport()
                .whenComplete((report, failure) -> context.execute(() -> {
                    if (report == null || leases == null) {
                        return;
                    }
                    var log = report.getResult().getLog();
                    long matchIndex = log.getFollowerMatchIndices().getOrDefault(learner, -1L);
                    if (matchIndex >= log.getCommitIndex() - PROMOTION_LAG_ENTRIES) {
                        changeMembers(learner, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER, members);
                    }
                }));
    }

    private void changeMembers(RaftEndpoint member, MembershipChangeMode mode, RaftGroupMembers members) {
        raftNode.changeMembership(member, mode, members.getLogIndex())
                .whenComplete((result, failure) -> LOG.info(
                        "agreement at {}: membership change {} of {}: {}",
                        context.name(),
                        mode,
                        member,
                        failure == null ? "done" : failure.toString()));
    }
}
