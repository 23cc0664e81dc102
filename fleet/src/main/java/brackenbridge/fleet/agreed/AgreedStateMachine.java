package brackenbridge.fleet.agreed;

import io.microraft.statemachine.StateMachine;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Applies entries of the replicated log to {@link AgreedState}; the Raft library calls it on the member's thread. */
final class AgreedStateMachine implements StateMachine {
    private static final Logger LOG = LoggerFactory.getLogger(AgreedStateMachine.class);
    /** Bytes of contents after which a snapshot is taken. */
    private static final long SNAPSHOT_BYTES = 4 << 20;

    /** A linearizable read: the action runs once a majority has confirmed that it follows this leader. */
    record LinearizableRead(Runnable action) {}

    private final MemberContext context;
    private final RaftConsensus consensus;
    private final VoterEndpoint self;
    private final AppliedListener listener;
    private long bytesSinceSnapshot;

    AgreedStateMachine(MemberContext context, RaftConsensus consensus, VoterEndpoint self, AppliedListener listener) {
        this.context = context;
        this.consensus = consensus;
        this.self = self;
        this.listener = listener;
    }

    @Override
    public Object runOperation(long commitIndex, Object operation) {
        if (operation instanceof LinearizableRead read) {
            read.action().run();
            return null;
        }
        LogCommand command = (LogCommand) operation;
        AgreedState.Result result = consensus.state().apply(command);
        snapshotIfDue(command);
        if (command instanceof LogCommand.BeginTerm begin) {
            beginTerm(begin);
        } else if (consensus.isLeader() && result != AgreedState.Result.VOID) {
            listener.onApplied(command, result);
        }
        return result;
    }

    /** Guards the memory and disk space of the log against few but large contents. */
    private void snapshotIfDue(LogCommand command) {
        bytesSinceSnapshot += command instanceof LogCommand.Stage stage ? stage.content().length : 0;
        if (bytesSinceSnapshot > SNAPSHOT_BYTES) {
            bytesSinceSnapshot = 0;
            context.execute(consensus::takeSnapshot);
        }
    }

    private void beginTerm(LogCommand.BeginTerm begin) {
        boolean leads = begin.leader().equals(self.toString())
                && begin.incarnation() == context.incarnation()
                && begin.termNumber() == consensus.leaderTermNumber();
        consensus.beginTerm(
                leads ? new LeaderLeases(context.settings().leaseTerms(), consensus.state(), context.nowMs()) : null);
        if (leads) {
            context.counters().leaderTerms.increment();
            LOG.info(
                    "agreement at {}: became leader in leader term {}",
                    context.name(),
                    consensus.state().leaderTerm());
        }
        listener.onTermBegun(leads);
    }

    @Override
    public void takeSnapshot(long commitIndex, Consumer<Object> chunks) {
        byte[] snapshot = AgreementCodec.snapshot(consensus.state().snapshot());
        for (int from = 0; from < snapshot.length; from += AgreementCodec.SNAPSHOT_CHUNK_BYTES) {
            chunks.accept(Arrays.copyOfRange(
                    snapshot, from, Math.min(snapshot.length, from + AgreementCodec.SNAPSHOT_CHUNK_BYTES)));
        }
    }

    @Override
    public void installSnapshot(long commitIndex, List<Object> chunks) {
        ByteArrayOutputStream snapshot = new ByteArrayOutputStream();
        chunks.forEach(chunk -> snapshot.writeBytes((byte[]) chunk));
        try {
            consensus.state().restore(AgreementCodec.snapshot(snapshot.toByteArray()));
            consensus.stepDown();
        } catch (IOException e) {
            // The state of this voter is unknown now; the exception makes the library stop it.
            throw new IllegalStateException(e);
        }
    }

    @Override
    public Object getNewTermOperation() {
        return new LogCommand.BeginTerm(self.toString(), context.incarnation(), consensus.nextLeaderTermNumber());
    }
}
