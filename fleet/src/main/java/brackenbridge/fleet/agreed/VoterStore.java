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
 * The disk of a voter: terms, votes, entries and snapshots in one MVStore file, each value with its own checksum, and a
 * second file with the number of forced writes. All forced writes are present when the disk is opened again, otherwise
 * opening throws a {@link DamagedDiskException}: a store that has fallen back to an earlier chunk must not be taken for
 * an intact one.
 *
 * <p>After a failed write it is unknown which pages of the file reached the disk, and a later successful sync does not
 * tell. So nothing more is written to that file: {@link #open} copies its content to a new file, syncs that, and
 * continues with it.
 */
final class VoterStore implements RaftStore, AutoCloseable {
    private static final String FILE = "agreed.mv";
    /** The copy that {@link #open} writes, until it is complete. */
    private static final String REWRITTEN_FILE = FILE + ".new";
    /** Retention time of unreferenced chunks in the file; short, because each write is forced and none needs them. */
    private static final int CHUNK_RETENTION_MS = 5000;
    /** Forced writes after which the file is compacted. */
    private static final int COMPACT_WRITES = 100;

    private static final int COMPACT_FILL_PERCENT = 70;
    private static final int COMPACT_BYTES = 4 << 20;

    /** The disk has lost or changed forced data, so it must be treated as lost. */
    static final class DamagedDiskException extends IOException {
        private static final long serialVersionUID = 1;

        DamagedDiskException(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** The disk belongs to another fleet or member, which is a configuration error. */
    static final class ForeignDiskException extends IOException {
        private static final long serialVersionUID = 1;

        ForeignDiskException(String message) {
            super(message);
        }
    }

    private final MVStore store;
    private final MVMap<String, byte[]> meta;
    private final MVMap<Long, byte[]> log;
    private final MVMap<String, byte[]> chunks;
    private final FileChannel markChannel;
    private final WriteMark writeMark;
    private final Path file;
    private long writeCount;
    private volatile boolean failed;
    private volatile long forcedWrites;
    private RestoredRaftState restored;

    private VoterStore(MVStore store, FileChannel markChannel, Path file) {
        this.store = store;
        this.markChannel = markChannel;
        this.writeMark = new WriteMark(markChannel);
        this.file = file;
        store.setRetentionTime(CHUNK_RETENTION_MS);
        this.meta = store.openMap("meta", mapBuilder(StringDataType.INSTANCE));
        this.log = store.openMap("log", mapBuilder(LongDataType.INSTANCE));
        this.chunks = store.openMap("chunks", mapBuilder(StringDataType.INSTANCE));
    }

    private static <K> MVMap.Builder<K, byte[]> mapBuilder(DataType<K> keys) {
        MVMap.Builder<K, byte[]> builder = new MVMap.Builder<>();
        builder.setKeyType(keys);
        builder.setValueType(ByteArrayDataType.INSTANCE);
        return builder;
    }

    /**
     * Opens a member's disk; an empty one is assigned to this member.
     *
     * @param directory the directory of the files; null keeps them in memory, so that they are lost at each stop
     */
    static VoterStore open(Path directory, String fleet, String member) throws IOException {
        return open(directory, fleet, member, "");
    }

    /** Opens a member's disk on a file system of this scheme. */
    static VoterStore open(Path directory, String fleet, String member, String scheme) throws IOException {
        if (directory == null) {
            return initialize(
                    new VoterStore(new MVStore.Builder().autoCommitDisabled().open(), null, null), fleet, member);
        }
        Files.createDirectories(directory);
        Path file = directory.resolve(FILE);
        Path markFile = directory.resolve(WriteMark.FILE);
        if (Files.exists(markFile) && !Files.exists(file)) {
            throw new DamagedDiskException(file + " is missing", null);
        }
        FileChannel markChannel = FilePath.get(scheme + markFile).open("rw");
        MVStore store = null;
        try {
            if (markChannel.tryLock() == null) {
                throw new IOException(directory + " is in use by another process");
            }
            if (Files.exists(file)) {
                rewrite(directory, fleet, member, scheme, markChannel);
            }
            store = openStore(scheme + file);
            return initialize(new VoterStore(store, markChannel, file), fleet, member);
        } catch (OverlappingFileLockException e) {
            close(store, markChannel);
            throw new IOException(directory + " is in use by this process", e);
        } catch (IOException e) {
            close(store, markChannel);
            throw e;
        } catch (RuntimeException | AssertionError | OutOfMemoryError e) {
            close(store, markChannel);
            if (e instanceof MVStoreException storeException
                    && storeException.getErrorCode() == DataUtils.ERROR_WRITING_FAILED) {
                // A failed write does not mean that the existing data is damaged.
                throw new IOException(file + ": " + e.getMessage(), e);
            }
            // Guards against any failure of the store on corrupted bytes, such as huge lengths.
            throw new DamagedDiskException(file + ": " + e, e);
        }
    }

    private static MVStore openStore(String fileName) {
        return new MVStore.Builder().fileName(fileName).autoCommitDisabled().open();
    }

    /**
     * Copies the content to a new file, which replaces the old one: the previous process may have ended after a failed
     * sync, so that data that can be read is not necessarily on the disk.
     */
    private static void rewrite(Path directory, String fleet, String member, String scheme, FileChannel markChannel)
            throws IOException {
        FilePath file = FilePath.get(scheme + directory.resolve(FILE));
        FilePath rewrittenFile = FilePath.get(scheme + directory.resolve(REWRITTEN_FILE));
        if (rewrittenFile.exists()) {
            rewrittenFile.delete();
        }
        MVStore source = openStore(file.toString());
        MVStore target = null;
        try {
            VoterStore old = new VoterStore(source, markChannel, directory.resolve(FILE));
            if (!old.isEmpty()) {
                old.verify(fleet, member);
            }
            target = openStore(rewrittenFile.toString());
            VoterStore rewritten = new VoterStore(target, null, null);
            rewritten.meta.putAll(old.meta);
            rewritten.log.putAll(old.log);
            rewritten.chunks.putAll(old.chunks);
            target.commit();
            target.sync();
        } finally {
            source.closeImmediately();
            if (target != null) {
                target.closeImmediately();
            }
        }
        rewrittenFile.moveTo(file, true);
        try (FileChannel directoryChannel = FileChannel.open(directory)) {
            directoryChannel.force(true);
        }
    }

    private static void close(MVStore store, FileChannel markChannel) throws IOException {
        if (store != null) {
            store.closeImmediately();
        }
        markChannel.close();
    }

    private boolean isEmpty() throws IOException {
        return meta.isEmpty() && log.isEmpty() && writeMark.read() == 0;
    }

    /** Verifies that the content is intact, belongs to this member and includes all forced writes. */
    private void verify(String fleet, String member) throws IOException {
        verifyChecksums();
        if (!metaText("fleet").equals(fleet) || !metaText("member").equals(member)) {
            throw new ForeignDiskException("disk of fleet '" + metaText("fleet") + "', member '" + metaText("member")
                    + "'; this is fleet '" + fleet + "', member '" + member + "'");
        }
        writeCount = Long.parseLong(meta.containsKey("count") ? metaText("count") : "0");
        long marked = writeMark.read();
        if (writeCount < marked) {
            throw new DamagedDiskException("the store ends at write " + writeCount + " of " + marked, null);
        }
    }

    private static VoterStore initialize(VoterStore store, String fleet, String member) throws IOException {
        if (store.isEmpty()) {
            byte[] number = new byte[12];
            new SecureRandom().nextBytes(number);
            store.putMetaText("fleet", fleet);
            store.putMetaText("member", member);
            store.putMetaText("disk", HexFormat.of().formatHex(number));
            store.putMetaText("starts", "0");
        }
        store.verify(fleet, member);
        store.restored = new RaftStateLoader(store.meta, store.log, store.chunks).load();
        store.putMetaText("starts", String.valueOf(store.startCount() + 1));
        store.flush();
        return store;
    }

    /** Moves a voter's files to a sibling directory and returns it, so that operators can inspect them. */
    static Path putAside(Path directory) throws IOException {
        for (int i = 1; ; i++) {
            Path aside = directory.resolveSibling(directory.getFileName() + ".aside-" + i);
            if (!Files.exists(aside)) {
                Files.createDirectory(aside);
                // The write mark is moved last: without it, a store that lacks forced writes would be accepted.
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

    private void verifyChecksums() throws DamagedDiskException {
        for (Map.Entry<String, byte[]> entry : meta.entrySet()) {
            StoreChecksums.verifiedValue(entry.getKey(), entry.getValue());
        }
        for (Map.Entry<String, byte[]> entry : chunks.entrySet()) {
            StoreChecksums.verifiedValue(entry.getKey(), entry.getValue());
        }
        for (Map.Entry<Long, byte[]> entry : log.entrySet()) {
            StoreChecksums.verifiedValue(entry.getKey().toString(), entry.getValue());
        }
    }

    private String metaText(String key) throws IOException {
        byte[] value = meta.get(key);
        if (value == null) {
            throw new DamagedDiskException("missing key '" + key + "'", null);
        }
        return new String(StoreChecksums.verifiedValue(key, value), StandardCharsets.UTF_8);
    }

    private void putMetaText(String key, String value) {
        meta.put(key, StoreChecksums.withChecksum(key, value.getBytes(StandardCharsets.UTF_8)));
    }

    // State of the member, in addition to the Raft library's.

    /** The random id that the disk got when it was empty. */
    String diskId() throws IOException {
        return metaText("disk");
    }

    /** The number of starts with this disk, including the current one. */
    long startCount() throws IOException {
        return Long.parseLong(metaText("starts"));
    }

    /** The bootstrap voters of the voter's Raft group; empty if it has none yet. */
    List<String> bootstrapVoters() throws IOException {
        return meta.containsKey("founding") ? List.of(metaText("founding").split(",")) : List.of();
    }

    /** Stores the voter's Raft group; {@code joining} if it is not one of the group's voters yet. */
    void saveBootstrapVoters(List<String> bootstrapVoters, boolean joining) throws IOException {
        write(() -> {
            putMetaText("founding", String.join(",", bootstrapVoters));
            putMetaText("joining", String.valueOf(joining));
        });
        flush();
    }

    /** Stores that it has become a voter by the membership change with this log index. */
    void saveJoined(long since) throws IOException {
        write(() -> {
            putMetaText("joining", "false");
            putMetaText("since", String.valueOf(since));
        });
        flush();
    }

    /** The log index of the membership change that made it a voter; 0 at the bootstrap. */
    long joinLogIndex() throws IOException {
        return meta.containsKey("since") ? Long.parseLong(metaText("since")) : 0;
    }

    /** Whether it has requested to replace its old disk and does not know yet that it was accepted. */
    boolean isJoining() throws IOException {
        return meta.containsKey("joining") && Boolean.parseBoolean(metaText("joining"));
    }

    /** The disk id, start count and incarnation in another voter's last hello; empty if there was none. */
    Optional<String> lastSeen(String member) throws IOException {
        return meta.containsKey("seen/" + member) ? Optional.of(metaText("seen/" + member)) : Optional.empty();
    }

    /** Stores the disk id, start count and incarnation in another voter's last hello. */
    void saveLastSeen(String member, String state) throws IOException {
        write(() -> putMetaText("seen/" + member, state));
        flush();
    }

    /** The state that the library starts from; empty if it has not been started with this disk. */
    Optional<RestoredRaftState> restored() {
        return Optional.ofNullable(restored);
    }

    /** Length of the file in bytes; 0 in memory. */
    long fileBytes() {
        try {
            return file == null ? 0 : Files.size(file);
        } catch (IOException e) {
            return 0;
        }
    }

    /** The number of forced writes since the disk was opened. */
    long forcedWrites() {
        return forcedWrites;
    }

    /** Whether a write has failed; then nothing more is written or acknowledged. */
    boolean failed() {
        return failed;
    }

    @FunctionalInterface
    private interface Write {
        void run() throws IOException;
    }

    /** Runs a write. After a failed write the content of the disk is unknown, so all later writes are rejected. */
    private void write(Write write) throws IOException {
        if (failed) {
            throw new IOException("a previous write to the disk has failed");
        }
        try {
            write.run();
        } catch (IOException | RuntimeException e) {
            failed = true;
            throw new IOException("disk: " + e.getMessage(), e);
        }
    }

    @Override
    public void flush() throws IOException {
        write(() -> {
            writeCount++;
            putMetaText("count", String.valueOf(writeCount));
            store.commit();
            if (file != null && writeCount % COMPACT_WRITES == 0) {
                store.compact(COMPACT_FILL_PERCENT, COMPACT_BYTES);
            }
            store.sync();
            writeMark.force(writeCount);
            forcedWrites++;
        });
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState endpoint) throws IOException {
        write(() ->
                meta.put("endpoint", StoreChecksums.withChecksum("endpoint", AgreementCodec.endpointState(endpoint))));
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        write(() -> meta.put("initial", StoreChecksums.withChecksum("initial", AgreementCodec.groupMembers(members))));
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        write(() -> meta.put("term", StoreChecksums.withChecksum("term", AgreementCodec.termState(state))));
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        write(() -> entries.forEach(entry -> log.put(
                entry.getIndex(),
                StoreChecksums.withChecksum(String.valueOf(entry.getIndex()), AgreementCodec.logEntry(entry)))));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        String key = chunkKey(chunk.getIndex(), chunk.getSnapshotChunkIndex());
        write(() -> chunks.put(key, StoreChecksums.withChecksum(key, AgreementCodec.snapshotChunk(chunk))));
    }

    private static String chunkKey(long index, int chunk) {
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
                chunks.remove(chunkKey(index, i));
            }
        });
    }

    @Override
    public void close() {
        try {
            // Writes that were not forced have not been acknowledged and may be lost.
            store.closeImmediately();
            if (markChannel != null) {
                markChannel.close();
            }
        } catch (IOException | RuntimeException e) {
            failed = true;
        }
    }
}
