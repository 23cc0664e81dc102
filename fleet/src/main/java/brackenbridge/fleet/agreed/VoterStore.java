package brackenbridge.fleet.agreed;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.h2.mvstore.DataUtils;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;
import org.h2.mvstore.type.ByteArrayDataType;
import org.h2.mvstore.type.DataType;
import org.h2.mvstore.type.LongDataType;
import org.h2.mvstore.type.StringDataType;
import org.h2.store.fs.FilePath;

/**
 * A voter's disk: terms, votes, entries and snapshots in one file of an MVStore, each value with its own checksum, and
 * beside it the count of writes that were forced. What was forced is there when it is opened again, or the disk is
 * {@link Damaged}: a store that goes back to an earlier chunk must not pass for whole.
 *
 * <p>Once a write has failed nobody knows which pages of the file reached the disk, and a sync that succeeds later does
 * not say. So nothing more is written to that file: {@link #open} reads what is there, writes it anew to a fresh file,
 * and goes on with that once it is synced.
 */
final class VoterStore implements RaftStore, AutoCloseable {
    private static final String FILE = "agreed.mv";
    /** What is written anew at an opening, until it is whole. */
    private static final String FRESH = FILE + ".new";
    /** Unreferenced chunks of the file are kept so long; each write is forced, so that none needs them. */
    private static final int CHUNK_RETENTION_MS = 5000;
    /** The file is compacted after so many forced writes. */
    private static final int COMPACT_WRITES = 100;

    private static final int COMPACT_FILL_PERCENT = 70;
    private static final int COMPACT_BYTES = 4 << 20;

    /** The disk has lost or changed what was forced to it: it counts as lost. */
    static final class Damaged extends IOException {
        private static final long serialVersionUID = 1;

        Damaged(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** The disk belongs to another fleet or member: staff have mixed something up. */
    static final class Foreign extends IOException {
        private static final long serialVersionUID = 1;

        Foreign(String message) {
            super(message);
        }
    }

    private final MVStore store;
    private final MVMap<String, byte[]> meta;
    private final MVMap<Long, byte[]> log;
    private final MVMap<String, byte[]> chunks;
    private final FileChannel mark;
    private final WriteMark writeMark;
    private final Path file;
    private long count;
    private volatile boolean failed;
    private volatile long forced;
    private RestoredRaftState restored;

    private VoterStore(MVStore store, FileChannel mark, Path file) {
        this.store = store;
        this.mark = mark;
        this.writeMark = new WriteMark(mark);
        this.file = file;
        store.setRetentionTime(CHUNK_RETENTION_MS);
        this.meta = store.openMap("meta", map(StringDataType.INSTANCE));
        this.log = store.openMap("log", map(LongDataType.INSTANCE));
        this.chunks = store.openMap("chunks", map(StringDataType.INSTANCE));
    }

    private static <K> MVMap.Builder<K, byte[]> map(DataType<K> keys) {
        MVMap.Builder<K, byte[]> b = new MVMap.Builder<>();
        b.setKeyType(keys);
        b.setValueType(ByteArrayDataType.INSTANCE);
        return b;
    }

    /**
     * Opens a member's disk; an empty one becomes this member's.
     *
     * @param directory where; null for memory only, which is a disk that is lost at each end
     */
    static VoterStore open(Path directory, String fleet, String member) throws IOException {
        return open(directory, fleet, member, "");
    }

    /** The same, on a file system of this scheme. */
    static VoterStore open(Path directory, String fleet, String member, String scheme) throws IOException {
        if (directory == null) {
            return ready(
                    new VoterStore(new MVStore.Builder().autoCommitDisabled().open(), null, null), fleet, member);
        }
        Files.createDirectories(directory);
        Path file = directory.resolve(FILE);
        Path marks = directory.resolve(WriteMark.FILE);
        if (Files.exists(marks) && !Files.exists(file)) {
            throw new Damaged(file + " is gone", null);
        }
        FileChannel mark = FilePath.get(scheme + marks).open("rw");
        MVStore opened = null;
        try {
            if (mark.tryLock() == null) {
                throw new IOException(directory + " is in use by another process");
            }
            if (Files.exists(file)) {
                writeAnew(directory, fleet, member, scheme, mark);
            }
            opened = opened(scheme + file);
            return ready(new VoterStore(opened, mark, file), fleet, member);
        } catch (OverlappingFileLockException e) {
            close(opened, mark);
            throw new IOException(directory + " is in use by this process", e);
        } catch (IOException e) {
            close(opened, mark);
            throw e;
        } catch (RuntimeException | AssertionError | OutOfMemoryError e) {
            close(opened, mark);
            if (e instanceof MVStoreException m && m.getErrorCode() == DataUtils.ERROR_WRITING_FAILED) {
                // The disk does not take bytes, which says nothing against those that are there.
                throw new IOException(file + ": " + e.getMessage(), e);
            }
            // Guards against whatever the store makes of bytes that were changed, lengths without end among them.
            throw new Damaged(file + ": " + e, e);
        }
    }

    private static MVStore opened(String name) {
        return new MVStore.Builder().fileName(name).autoCommitDisabled().open();
    }

    /**
     * Writes what is there to a fresh file, which takes the old one's place: the process before may have ended after a
     * sync that failed, so that what can be read need not be on the disk.
     */
    private static void writeAnew(Path directory, String fleet, String member, String scheme, FileChannel mark)
            throws IOException {
        FilePath file = FilePath.get(scheme + directory.resolve(FILE));
        FilePath fresh = FilePath.get(scheme + directory.resolve(FRESH));
        if (fresh.exists()) {
            fresh.delete();
        }
        MVStore from = opened(file.toString());
        MVStore to = null;
        try {
            VoterStore old = new VoterStore(from, mark, directory.resolve(FILE));
            if (!old.empty()) {
                old.verify(fleet, member);
            }
            to = opened(fresh.toString());
            VoterStore anew = new VoterStore(to, null, null);
            anew.meta.putAll(old.meta);
            anew.log.putAll(old.log);
            anew.chunks.putAll(old.chunks);
            to.commit();
            to.sync();
        } finally {
            from.closeImmediately();
            if (to != null) {
                to.closeImmediately();
            }
        }
        fresh.moveTo(file, true);
        try (FileChannel names = FileChannel.open(directory)) {
            names.force(true);
        }
    }

    private static void close(MVStore opened, FileChannel mark) throws IOException {
        if (opened != null) {
            opened.closeImmediately();
        }
        mark.close();
    }

    private boolean empty() throws IOException {
        return meta.isEmpty() && log.isEmpty() && writeMark.read() == 0;
    }

    /** What is there is whole, is this member's, and goes as far as was forced. */
    private void verify(String fleet, String member) throws IOException {
        check();
        if (!text("fleet").equals(fleet) || !text("member").equals(member)) {
            throw new Foreign("disk of fleet '" + text("fleet") + "', member '" + text("member") + "'; this is fleet '"
                    + fleet + "', member '" + member + "'");
        }
        count = Long.parseLong(meta.containsKey("count") ? text("count") : "0");
        long marked = writeMark.read();
        if (count < marked) {
            throw new Damaged("write " + marked + " was forced, the store ends with " + count, null);
        }
    }

    private static VoterStore ready(VoterStore s, String fleet, String member) throws IOException {
        if (s.empty()) {
            byte[] number = new byte[12];
            new SecureRandom().nextBytes(number);
            s.putText("fleet", fleet);
            s.putText("member", member);
            s.putText("disk", HexFormat.of().formatHex(number));
            s.putText("starts", "0");
        }
        s.verify(fleet, member);
        s.restored = new RaftStateLoader(s.meta, s.log, s.chunks).load();
        s.putText("starts", String.valueOf(s.starts() + 1));
        s.flush();
        return s;
    }

    /** Moves a voter's files to a directory beside theirs, whose name is the answer: staff may look at them. */
    static Path putAside(Path directory) throws IOException {
        for (int i = 1; ; i++) {
            Path aside = directory.resolveSibling(directory.getFileName() + ".aside-" + i);
            if (!Files.exists(aside)) {
                Files.createDirectory(aside);
                // The mark last: without it, a file that goes back to an earlier write would pass for whole.
                for (String name : List.of(FILE, WriteMark.FILE)) {
                    if (Files.exists(directory.resolve(name))) {
                        Files.move(directory.resolve(name), aside.resolve(name), StandardCopyOption.ATOMIC_MOVE);
                    }
                }
                return aside;
            }
            if (i >= 1000) {
                throw new IOException("too many disks put aside beside " + directory);
            }
        }
    }

    private void check() throws Damaged {
        for (Map.Entry<String, byte[]> e : meta.entrySet()) {
            StoreChecksums.unsealed(e.getKey(), e.getValue());
        }
        for (Map.Entry<String, byte[]> e : chunks.entrySet()) {
            StoreChecksums.unsealed(e.getKey(), e.getValue());
        }
        for (Map.Entry<Long, byte[]> e : log.entrySet()) {
            StoreChecksums.unsealed(e.getKey().toString(), e.getValue());
        }
    }

    private String text(String key) throws IOException {
        byte[] value = meta.get(key);
        if (value == null) {
            throw new Damaged("no " + key, null);
        }
        return new String(StoreChecksums.unsealed(key, value), StandardCharsets.UTF_8);
    }

    private void putText(String key, String value) {
        meta.put(key, StoreChecksums.sealed(key, value.getBytes(StandardCharsets.UTF_8)));
    }

    // What the member stores beside the Raft library's state.

    /** This disk's number, drawn when it was empty. */
    String disk() throws IOException {
        return text("disk");
    }

    /** How often it was started with, this time included. */
    long starts() throws IOException {
        return Long.parseLong(text("starts"));
    }

    /** The bootstrap voters of the Raft group that it takes part in; empty if none. */
    List<String> bootstrapVoters() throws IOException {
        return meta.containsKey("founding") ? List.of(text("founding").split(",")) : List.of();
    }

    /** Stores the Raft group that it takes part in from now on; {@code joining} until it is one of its voters. */
    void saveBootstrapVoters(List<String> bootstrapVoters, boolean joining) throws IOException {
        write(() -> {
            putText("founding", String.join(",", bootstrapVoters));
            putText("joining", String.valueOf(joining));
        });
        flush();
    }

    /** It is one of the voters since this change of members. */
    void joined(long since) throws IOException {
        write(() -> {
            putText("joining", "false");
            putText("since", String.valueOf(since));
        });
        flush();
    }

    /** The change of members by which it became a voter; 0 at the bootstrap. */
    long since() throws IOException {
        return meta.containsKey("since") ? Long.parseLong(text("since")) : 0;
    }

    /** Whether it has asked for its old disk's place and is not known to have it yet. */
    boolean joining() throws IOException {
        return meta.containsKey("joining") && Boolean.parseBoolean(text("joining"));
    }

    /** What another voter said of itself when it was last heard of; empty if never. */
    Optional<String> seen(String member) throws IOException {
        return meta.containsKey("seen/" + member) ? Optional.of(text("seen/" + member)) : Optional.empty();
    }

    /** Remembers what another voter said of itself. */
    void seen(String member, String said) throws IOException {
        write(() -> putText("seen/" + member, said));
        flush();
    }

    /** What the library goes on with; empty if it has not begun on this disk. */
    Optional<RestoredRaftState> restored() {
        return Optional.ofNullable(restored);
    }

    /** Bytes of the file; 0 in memory. */
    long bytes() {
        try {
            return file == null ? 0 : Files.size(file);
        } catch (IOException e) {
            return 0;
        }
    }

    /** How often something was forced since it was opened. */
    long forced() {
        return forced;
    }

    /** Whether a write has failed: nothing more is written or promised. */
    boolean failed() {
        return failed;
    }

    @FunctionalInterface
    private interface Write {
        void run() throws IOException;
    }

    /** After a write that failed nobody knows what is on the disk, so nothing more is promised by it. */
    private void write(Write w) throws IOException {
        if (failed) {
            throw new IOException("the disk has failed");
        }
        try {
            w.run();
        } catch (IOException | RuntimeException e) {
            failed = true;
            throw new IOException("disk: " + e.getMessage(), e);
        }
    }

    @Override
    public void flush() throws IOException {
        write(() -> {
            count++;
            putText("count", String.valueOf(count));
            store.commit();
            if (file != null && count % COMPACT_WRITES == 0) {
                store.compact(COMPACT_FILL_PERCENT, COMPACT_BYTES);
            }
            store.sync();
            writeMark.force(count);
            forced++;
        });
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState e) throws IOException {
        write(() -> meta.put("endpoint", StoreChecksums.sealed("endpoint", AgreementCodec.self(e))));
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView v) throws IOException {
        write(() -> meta.put("initial", StoreChecksums.sealed("initial", AgreementCodec.members(v))));
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState t) throws IOException {
        write(() -> meta.put("term", StoreChecksums.sealed("term", AgreementCodec.term(t))));
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        write(() -> entries.forEach(e ->
                log.put(e.getIndex(), StoreChecksums.sealed(String.valueOf(e.getIndex()), AgreementCodec.entry(e)))));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk c) throws IOException {
        String key = key(c.getIndex(), c.getSnapshotChunkIndex());
        write(() -> chunks.put(key, StoreChecksums.sealed(key, AgreementCodec.chunk(c))));
    }

    private static String key(long index, int chunk) {
        return String.format("%019d/%05d", index, chunk);
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        write(() -> {
            for (Long last = log.lastKey(); last != null && last >= index; last = log.lastKey()) {
                log.remove(last);
            }
        });
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        write(() -> {
            for (Long first = log.firstKey(); first != null && first <= index; first = log.firstKey()) {
                log.remove(first);
            }
        });
    }

    @Override
    public void deleteSnapshotChunks(long index, int chunkCount) throws IOException {
        write(() -> {
            for (int i = 0; i < chunkCount; i++) {
                chunks.remove(key(index, i));
            }
        });
    }

    @Override
    public void close() {
        try {
            // What was not forced was promised to nobody.
            store.closeImmediately();
            if (mark != null) {
                mark.close();
            }
        } catch (IOException | RuntimeException e) {
            failed = true;
        }
    }
}
