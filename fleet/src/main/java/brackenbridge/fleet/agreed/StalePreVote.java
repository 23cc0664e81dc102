package brackenbridge.fleet.agreed;

import io.microraft.RaftNode;
import io.microraft.RaftRole;
import io.microraft.impl.RaftNodeImpl;
import io.microraft.impl.state.RaftState;

/**
 * Guards elections against a fault of the Raft library (MicroRaft 0.7). A follower that hears of its leader while its
 * own pre-vote of the same term is under way follows that leader, but never forgets the pre-vote. When that leader
 * falls silent, the library's heartbeat task takes the stale pre-vote for a running one and starts no other: the
 * follower keeps the dead leader until someone else raises the term, which nobody may be able to.
 */
final class StalePreVote {
    private StalePreVote() {}

    /**
     * Does what the library's heartbeat task omits: if the leader's heartbeats have timed out and a stale pre-vote is
     * left, forgets the leader and starts a fresh pre-vote. To be called on the library's thread.
     *
     * @param raft this voter's part of the library
     * @return whether a pre-vote was started
     */
    static boolean replace(RaftNode raft) {
        RaftNodeImpl node = (RaftNodeImpl) raft;
        RaftState state = node.state();
        boolean stale =
                state.role() == RaftRole.FOLLOWER && state.leader() != null && state.preCandidateState() != null;
        if (!stale || !node.isLeaderHeartbeatTimeoutElapsed()) {
            return false;
        }
        node.leader(null);
        node.runPreVote();
        return true;
    }
}
