package brackenbridge.fleet.agreed;

import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Reads what the Raft library goes on with after a restart: its endpoint, term, latest snapshot and log. */
final class RaftStateLoader {
    private final Map<String, byte[]> meta;
    private final Map<Long, byte[]> log;
    private final Map<String, byte[]> chunks;

    /** Reads from maps of sealed values, each ordered by its keys. */
    RaftStateLoader(Map<String, byte[]> meta, Map<Long, byte[]> log, Map<String, byte[]> chunks) {
        this.meta = meta;
        this.log = log;
        this.chunks = chunks;
    }

    /**
     * The stored state; null if the library has not begun on this disk.
     *
     * @throws VoterStore.Damaged if something is missing or can't be read
     */
    RestoredRaftState load() throws IOException {
        if (!meta.containsKey("endpoint") || !meta.containsKey("initial") || !meta.containsKey("term")) {
            return null;
        }
        try {
            SnapshotEntry snapshot = latestSnapshot();
            List<LogEntry> entries = entriesFrom(snapshot == null ? 1 : snapshot.getIndex() + 1);
            return new RestoredRaftState(
                    AgreementCodec.endpointState(value("endpoint")),
                    AgreementCodec.groupMembers(value("initial")),
                    AgreementCodec.termState(value("term")),
                    snapshot,
                    entries);
        } catch (VoterStore.DamagedDiskException e) {
            throw e;
        } catch (IOException e) {
            throw new VoterStore.DamagedDiskException(e.getMessage(), e);
        }
    }

    private byte[] value(String key) throws IOException {
        return StoreChecksums.verifiedValue(key, meta.get(key));
    }

    private List<LogEntry> entriesFrom(long firstIndex) throws IOException {
        List<LogEntry> entries = new ArrayList<>();
        long next = firstIndex;
        for (Map.Entry<Long, byte[]> stored : log.entrySet()) {
            LogEntry entry = AgreementCodec.logEntry(
                    StoreChecksums.verifiedValue(stored.getKey().toString(), stored.getValue()));
            if (entry.getIndex() != stored.getKey()) {
                throw new VoterStore.DamagedDiskException(
                        "entry " + entry.getIndex() + " in place " + stored.getKey(), null);
            }
            if (entry.getIndex() < next && entries.isEmpty()) {
                continue;
            }
            if (entry.getIndex() != next) {
                throw new VoterStore.DamagedDiskException("entry " + entry.getIndex() + " after " + (next - 1), null);
            }
            next++;
            entries.add(entry);
        }
        return entries;
    }

    /** The latest snapshot all of whose chunks are there; null if there is none. */
    private SnapshotEntry latestSnapshot() throws IOException {
        List<SnapshotChunk> collected = new ArrayList<>();
        List<SnapshotChunk> complete = List.of();
        for (Map.Entry<String, byte[]> stored : chunks.entrySet()) {
            SnapshotChunk chunk =
                    AgreementCodec.snapshotChunk(StoreChecksums.verifiedValue(stored.getKey(), stored.getValue()));
            if (!collected.isEmpty() && collected.get(0).getIndex() != chunk.getIndex()) {
                collected = new ArrayList<>();
            }
            collected.add(chunk);
            if (collected.size() == chunk.getSnapshotChunkCount()) {
                complete = collected;
            }
        }
        if (complete.isEmpty()) {
            return null;
        }
        SnapshotChunk first = complete.get(0);
        return new DefaultRaftModelFactory()
                .createSnapshotEntryBuilder()
                .setIndex(first.getIndex())
                .setTerm(first.getTerm())
                .setSnapshotChunks(complete)
                .setGroupMembersView(first.getGroupMembersView())
                .build();
    }
}
