package brackenbridge.fleet.agreed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import brackenbridge.core.generation.LeaseTerms;
import brackenbridge.fleet.peer.MessageStream;
import brackenbridge.fleet.peer.PeerLinks;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteResponse;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A voter receives a message of the current leader during its own pre-vote, then the leader fails. Guards against the
 * library's fault that the stale pre-vote blocks all later ones ({@link StalePreVote}). The two other voters are
 * scripted.
 */
class StalePreVoteTest {
    private static final DefaultRaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final int TERM = 1;
    private static final long TIMEOUT_S = 20;

    private final InMemoryNetwork network = new InMemoryNetwork(3, 1);
    private final BlockingQueue<RaftMessage> receivedByLeader = new LinkedBlockingQueue<>();
    private PeerLinks leader;
    private AgreementMember voter;

    @BeforeEach
    void start() throws IOException {
        // Without delay, messages arrive in the order in which they were sent.
        network.setFaults(0, 0, 1);
        scriptedVoter("m1");
        leader = scriptedVoter("m2");
        PeerLinks links = network.links("m0");
        voter = new AgreementMember(
                links,
                null,
                Clock.system(),
                new AgreedSettings(
                        "f",
                        AgreedSettings.voters(network.members()),
                        new LeaseTerms(400, 0.01),
                        40,
                        5,
                        2000,
                        "m0".hashCode()));
        voter.start();
        links.start();
    }

    @AfterEach
    void end() {
        voter.halt();
        network.close();
    }

    /** A voter that answers hellos and records the library's messages to the leader; the test does everything else. */
    private PeerLinks scriptedVoter(String name) {
        PeerLinks links = network.links(name);
        links.setReceiver(MessageStream.AGREED, (peer, incarnation, body) -> {
            AgreementCodec.Frame frame = frame(body);
            if (frame.message() instanceof AgreementMessage.Hello) {
                links.send(
                        peer,
                        MessageStream.AGREED,
                        AgreementCodec.frame(new AgreementMessage.HelloResponse(
                                "d-" + name, List.of(), "", List.of(), 0, "", 0, 0)));
            } else if (frame.raftMessage() != null && name.equals("m2")) {
                receivedByLeader.add(frame.raftMessage());
            }
        });
        return links;
    }

    private static AgreementCodec.Frame frame(byte[] body) {
        try {
            return AgreementCodec.frame(body);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private <T extends RaftMessage> T await(Class<T> type) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (true) {
            RaftMessage next = receivedByLeader.poll(deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
            assertNotNull(next, () -> "no " + type.getSimpleName() + " within " + TIMEOUT_S + " s:\n" + voter.status());
            if (type.isInstance(next)) {
                return type.cast(next);
            }
        }
    }

    private PreVoteRequest awaitPreVoteForTerm(int nextTerm) throws InterruptedException {
        while (true) {
            PreVoteRequest next = await(PreVoteRequest.class);
            if (next.getTerm() == nextTerm) {
                return next;
            }
        }
    }

    @Test
    void startsNewPreVoteWhenLeaderOfStalePreVoteFallsSilent() throws Exception {
        PreVoteRequest first = await(PreVoteRequest.class);
        VoterEndpoint leaderEndpoint = new VoterEndpoint("m2", "d-m2");
        leader.send(
                "m0",
                MessageStream.AGREED,
                AgreementCodec.frame(MODEL.createVoteRequestBuilder()
                        .setGroupId(first.getGroupId())
                        .setSender(leaderEndpoint)
                        .setTerm(TERM)
                        .setLastLogTerm(0)
                        .setLastLogIndex(0)
                        .setSticky(true)
                        .build()));
        assertTrue(await(VoteResponse.class).isGranted());

        // The leader's heartbeat times out: a pre-vote begins, and then a message of the leader arrives.
        awaitPreVoteForTerm(TERM + 1);
        leader.send(
                "m0",
                MessageStream.AGREED,
                AgreementCodec.frame(MODEL.createAppendEntriesRequestBuilder()
                        .setGroupId(first.getGroupId())
                        .setSender(leaderEndpoint)
                        .setTerm(TERM)
                        .setPreviousLogTerm(0)
                        .setPreviousLogIndex(0)
                        .setCommitIndex(0)
                        .setLogEntries(List.of())
                        .setQuerySequenceNumber(0)
                        .setFlowControlSequenceNumber(0)
                        .build()));
        await(AppendEntriesSuccessResponse.class);

        // The leader sends nothing more.
        PreVoteRequest second = awaitPreVoteForTerm(TERM + 1);
        assertEquals(
                "m0", assertInstanceOf(VoterEndpoint.class, second.getSender()).name());
    }
}
