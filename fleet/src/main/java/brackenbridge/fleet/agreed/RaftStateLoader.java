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

/** Loads the state that the Raft library needs after a restart: its endpoint, term, latest snapshot and log. */
final class RaftStateLoader {
    private final Map<String, byte[]> meta;
    private final Map<Long, byte[]> log;
    private final Map<String, byte[]> chunks;

    /** Creates a loader for maps of values with checksums, each ordered by its keys. */
    RaftStateLoader(Map<String, byte[]> meta, Map<Long, byte[]> log, Map<String, byte[]> chunks) {
        this.meta = meta;
        this.log = log;
        this.chunks = chunks;
    }

    /**
     * Loads the stored state; null if the library has not been started with this disk.
     *
     * @throws VoterStore.DamagedDiskException if something is missing or can't be read
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
                        "log entry " + entry.getIndex() + " is stored at index " + stored.getKey(), null);
            }
            if (entry.getIndex() < next && entries.isEmpty()) {
                continue;
            }
            if (entry.getIndex() != next) {
                throw new VoterStore.DamagedDiskException(
                        "log entry " + entry.getIndex() + " follows entry " + (next - 1), null);
            }
            next++;
            entries.add(entry);
        }
        return entries;
    }

    /** The latest complete snapshot; null if there is none. */
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
