package brackenbridge.fleet.agreed;

import io.microraft.RaftNode;
import io.microraft.RaftRole;
import io.microraft.impl.RaftNodeImpl;
import io.microraft.impl.state.RaftState;

/**
 * Guards elections against a bug of the Raft library (MicroRaft 0.7). A follower that receives a message of its leader
 * during its own pre-vote in the same term follows that leader, but does not reset the pre-vote state. When that leader
 * fails, the library's heartbeat task assumes that the stale pre-vote is still running and starts no new one. The
 * follower keeps the dead leader until another voter raises the term, which may never happen.
 */
final class StalePreVote {
    private StalePreVote() {}

    /**
     * Does what the library's heartbeat task omits: if the leader's heartbeats have timed out and there is a stale
     * pre-vote, resets the leader and starts a new pre-vote. To be called on the library's thread.
     *
     * @param raft the library's node of this voter
     * @return whether a pre-vote was started
     */
    static boolean replace(RaftNode raftNode) {
        RaftNodeImpl node = (RaftNodeImpl) raftNode;
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
