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
 * 2014): its configuration, its node, the replicated state and whether this member leads. For the member's thread.
 */
final class RaftConsensus {
    private static final Logger LOG = LoggerFactory.getLogger(RaftConsensus.class);
    private static final double MILLIS_PER_SECOND = 1000;
    /** Entries on their way into the log, and proposals that are staged at once. */
    static final int MAX_PENDING_ENTRIES = 256;
    /** Length of an election, in heartbeats. */
    private static final double ELECTION_HEARTBEATS = 2;
    /** By how much longer each later voter of the settings waits for an election, in heartbeats. */
    private static final double ELECTION_STAGGER_HEARTBEATS = 1.5;
    /** A snapshot is taken after so many entries. */
    private static final int SNAPSHOT_ENTRIES = 1000;
    /** A learner that lacks at most so many entries of the leader's log is made a voter. */
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

    /** Who hears of applied entries; set once, before the start. */
    void setListener(AppliedListener appliedListener) {
        listener = appliedListener;
    }

    /** What the applied entries have decided. */
    AgreedState state() {
        return state;
    }

    /** The leases that this member grants; null unless it leads. */
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

    /** Starts the library's node with what the store has, or with the bootstrap voters if it has nothing. */
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
        // The library's own jitter is shorter than a disk's write, so that votes would stay split for long.
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

    /** Forgets a node that has stopped with its disk, and all that it had applied. */
    void discardNode() {
        raftNode = null;
        leases = null;
        state.restore(new AgreedState().snapshot());
    }

    /** Ends the library's node. */
    CompletableFuture<?> terminate() {
        return raftNode.terminate();
    }

    /** Hands over a message of another voter; one of another Raft group raises the alarm. */
    void onMessage(String peer, RaftMessage message) {
        if (raftNode == null || !((VoterEndpoint) message.getSender()).name().equals(peer)) {
            return;
        }
        if (!message.getGroupId().equals(groupId)) {
            context.counters().foreign.increment();
            context.alarm()
                    .raise(peer + " follows another founding, " + message.getGroupId() + "; here it is " + groupId);
            return;
        }
        raftNode.handle(message);
    }

    /** Appends an entry to the log; only while this member leads. */
    CompletableFuture<Ordered<AgreedState.Result>> replicate(LogCommand command) {
        return raftNode.replicate(command);
    }

    /** Runs this once a majority has confirmed, from now on, that it follows this member. */
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

    /** Counts the terms that this process has begun as leader, also over a disk's failure. */
    long leaderTermNumber() {
        return leaderTermNumber;
    }

    long nextLeaderTermNumber() {
        return ++leaderTermNumber;
    }

    /** A new leader's term has begun; this member's own if it has leases to grant. */
    void beginTerm(LeaderLeases newLeases) {
        leases = newLeases;
    }

    /** This member does not lead any more. */
    void stepDown() {
        leases = null;
    }

    /** The leader's name as far as known; empty if unknown. */
    String leader() {
        if (leases != null) {
            return context.name();
        }
        RaftEndpoint leader = raftNode == null ? null : raftNode.getTerm().getLeaderEndpoint();
        return leader == null ? "" : ((VoterEndpoint) leader).name();
    }

    /**
     * Starts a fresh pre-vote if the leader is silent and a stale one keeps the library from it.
     *
     * @return whether a pre-vote was started
     */
    boolean replaceStalePreVote() {
        return StalePreVote.replace(raftNode);
    }

    /** The library's term. */
    int raftTerm() {
        return raftNode.getTerm().getTerm();
    }

    RaftGroupMembers committedMembers() {
        return raftNode.getCommittedMembers();
    }

    /**
     * Lets a voter with a new disk take its old one's place: the old one is removed, the new one becomes a learner and
     * then a voter. Each call makes one change of members at most.
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
                        "agreement at {}: {} {}: {}",
                        context.name(),
                        mode,
                        member,
                        failure == null ? "done" : failure.toString()));
    }
}
