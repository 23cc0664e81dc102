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

/** A voter whose pre-vote is overtaken by the leader of the same term, among two scripted voters. */
class StalePreVoteTest {
    private static final DefaultRaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final int TERM = 1;
    private static final long PATIENCE_S = 20;

    private final MemoryNet net = new MemoryNet(3, 1);
    private final BlockingQueue<RaftMessage> told = new LinkedBlockingQueue<>();
    private PeerLinks leader;
    private AgreementMember voter;

    @BeforeEach
    void start() throws IOException {
        // Without delay messages arrive in the order in which they were sent.
        net.faults(0, 0, 1);
        scripted("m1");
        leader = scripted("m2");
        PeerLinks links = net.links("m0");
        voter = new AgreementMember(
                links,
                null,
                Clock.system(),
                new AgreedSettings(
                        "f",
                        AgreedSettings.voters(net.members()),
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
        net.close();
    }

    /** A voter that tells of its disk and keeps what the library says to it; all else is this test's. */
    private PeerLinks scripted(String name) {
        PeerLinks links = net.links(name);
        links.setReceiver(MessageStream.AGREED, (peer, life, body) -> {
            AgreementCodec.Frame frame = frame(body);
            if (frame.message() instanceof AgreementMessage.Hello) {
                links.send(
                        peer,
                        MessageStream.AGREED,
                        AgreementCodec.frame(
                                new AgreementMessage.Facts("d-" + name, List.of(), "", List.of(), 0, "", 0, 0)));
            } else if (frame.raftMessage() != null && name.equals("m2")) {
                told.add(frame.raftMessage());
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

    private <T extends RaftMessage> T await(Class<T> kind) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (true) {
            RaftMessage next = told.poll(until - System.nanoTime(), TimeUnit.NANOSECONDS);
            assertNotNull(
                    next, () -> "no " + kind.getSimpleName() + " within " + PATIENCE_S + " s:\n" + voter.status());
            if (kind.isInstance(next)) {
                return kind.cast(next);
            }
        }
    }

    private PreVoteRequest awaitPreVoteOf(int nextTerm) throws InterruptedException {
        while (true) {
            PreVoteRequest next = await(PreVoteRequest.class);
            if (next.getTerm() == nextTerm) {
                return next;
            }
        }
    }

    @Test
    void votesAnewWhenTheLeaderThatOvertookItsPreVoteFallsSilent() throws Exception {
        PreVoteRequest first = await(PreVoteRequest.class);
        VoterEndpoint me = new VoterEndpoint("m2", "d-m2");
        leader.send(
                "m0",
                MessageStream.AGREED,
                AgreementCodec.frame(MODEL.createVoteRequestBuilder()
                        .setGroupId(first.getGroupId())
                        .setSender(me)
                        .setTerm(TERM)
                        .setLastLogTerm(0)
                        .setLastLogIndex(0)
                        .setSticky(true)
                        .build()));
        assertTrue(await(VoteResponse.class).isGranted());

        // Nothing is heard of the leader in time: a pre-vote begins, and then the leader is heard of.
        awaitPreVoteOf(TERM + 1);
        leader.send(
                "m0",
                MessageStream.AGREED,
                AgreementCodec.frame(MODEL.createAppendEntriesRequestBuilder()
                        .setGroupId(first.getGroupId())
                        .setSender(me)
                        .setTerm(TERM)
                        .setPreviousLogTerm(0)
                        .setPreviousLogIndex(0)
                        .setCommitIndex(0)
                        .setLogEntries(List.of())
                        .setQuerySequenceNumber(0)
                        .setFlowControlSequenceNumber(0)
                        .build()));
        await(AppendEntriesSuccessResponse.class);

        // The leader says nothing more.
        PreVoteRequest again = awaitPreVoteOf(TERM + 1);
        assertEquals(
                "m0", assertInstanceOf(VoterEndpoint.class, again.getSender()).name());
    }
}
