package brackenbridge.fleet.replica;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import org.h2.mvstore.DataUtils;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;
import org.h2.mvstore.type.ByteArrayDataType;
import org.h2.mvstore.type.StringDataType;
import org.h2.store.fs.FilePath;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A member's copy on disk: one file of H2's MVStore, written behind by appended chunks, each commit whole or not at
 * all. Every record carries a checksum of its own. The header says whose it is.
 *
 * <p>A write counts once it is synced. After one that failed nobody knows which pages of the file reached the disk, and
 * a sync that succeeds later does not say: the next write is of everything, to a fresh file that takes the place of
 * the old one when it is synced. Until then the old file stays as it was left.
 */
public final class ReplicaDisk implements AutoCloseable {
    /** The way of writing; another one is not read. */
    static final int SCHEMA = 1;

    private static final Logger LOG = LoggerFactory.getLogger(ReplicaDisk.class);
    private static final String FILE = "replica.mv";
    /** What is written anew, until it is whole. */
    private static final String NEW_FILE = FILE + ".new";

    /**
     * What is to be written of one incarnation of an owner.
     *
     * @param owner whose
     * @param life which incarnation
     * @param have how far the copy is; empty if the incarnation is gone
     * @param floor how far tombstones are forgotten
     * @param entries records that changed
     * @param gone records that are gone
     */
    record Batch(
            String owner,
            long incarnation,
            Long appliedSequence,
            long tombstoneFloor,
            List<ReplicatedRecord> records,
            List<RecordKey> removedKeys) {}

    private final StoreFile file;
    private final String fleet;
    private final String member;
    private long incarnation;
    private boolean writeFailed;
    private MVStore store;
    private MVMap<String, byte[]> logHeads;
    private MVMap<String, byte[]> records;
    private MVMap<String, byte[]> header;

    /**
     * A file, by the name that the store opens it by.
     *
     * @param scheme of the file system; empty for the usual one
     */
    private record StoreFile(String scheme, Path path) {
        FilePath filePath() {
            return FilePath.get(scheme + path);
        }

        StoreFile sibling(String name) {
            return new StoreFile(scheme, path.resolveSibling(name));
        }

        @Override
        public String toString() {
            return path.toString();
        }
    }

    private ReplicaDisk(StoreFile file, String fleet, String member, MVStore store, long incarnation) {
        this.file = file;
        this.fleet = fleet;
        this.member = member;
        this.incarnation = incarnation;
        useStore(store);
    }

    private void useStore(MVStore opened) {
        store = opened;
        header = openMap(opened, "header");
        logHeads = openMap(opened, "heads");
        records = openMap(opened, "records");
    }

    private static MVMap<String, byte[]> openMap(MVStore store, String name) {
        return store.openMap(
                name,
                new MVMap.Builder<String, byte[]>()
                        .keyType(StringDataType.INSTANCE)
                        .valueType(ByteArrayDataType.INSTANCE));
    }

    private static MVStore open(StoreFile file) {
        return new MVStore.Builder()
                .fileName(file.filePath().toString())
                .autoCommitDisabled()
                .cacheSize(4)
                .open();
    }

    /**
     * Opens a member's directory, and takes the next incarnation: greater than the one before, and at least the time
     * of day in milliseconds, so that a member whose disk is lost or old begins a later one unless the clock went
     * back.
     *
     * @throws IOException in one line, if it is another fleet's or another member's, or a process has it open
     */
    public static ReplicaDisk open(Path directory, String fleet, String member, double nowMs) throws IOException {
        return open(directory, fleet, member, nowMs, "");
    }

    /** The same, on a file system of this scheme. */
    static ReplicaDisk open(Path directory, String fleet, String member, double nowMs, String scheme)
            throws IOException {
        Files.createDirectories(directory);
        StoreFile file = new StoreFile(scheme, directory.resolve(FILE));
        MVStore store;
        try {
            store = open(file);
        } catch (MVStoreException e) {
            if (e.getErrorCode() == DataUtils.ERROR_FILE_LOCKED) {
                throw new IOException(file + " is open in another process", e);
            }
            if (isAccessFailure(e)) {
                throw new IOException(file + " can't be opened: " + firstLine(e), e);
            }
            store = replaceBroken(file, firstLine(e));
        } catch (RuntimeException e) {
            store = replaceBroken(file, firstLine(e));
        }
        try {
            return initialize(file, store, fleet, member, nowMs);
        } catch (RuntimeException e) {
            store.closeImmediately();
            if (isAccessFailure(e)) {
                throw new IOException(file + " can't be written: " + firstLine(e), e);
            }
            return initialize(file, replaceBroken(file, firstLine(e)), fleet, member, nowMs);
        }
    }

    /** Whether the disk does not take or give bytes, which says nothing against those that are there. */
    private static boolean isAccessFailure(RuntimeException e) {
        return e instanceof MVStoreException m
                && (m.getErrorCode() == DataUtils.ERROR_READING_FAILED
                        || m.getErrorCode() == DataUtils.ERROR_WRITING_FAILED);
    }

    private static MVStore replaceBroken(StoreFile file, String reason) {
        StoreFile broken = file.sibling(FILE + ".broken");
        LOG.error("{} is broken ({}): kept as {}, begins empty and catches up from peers", file, reason, broken);
        file.filePath().moveTo(broken.filePath(), true);
        return open(file);
    }

    private static ReplicaDisk initialize(StoreFile file, MVStore store, String fleet, String member, double nowMs)
            throws IOException {
        MVMap<String, byte[]> header = openMap(store, "header");
        String mismatch = !header.isEmpty() && !text(header, "schema").equals(Integer.toString(SCHEMA))
                ? "is written in another way, " + text(header, "schema")
                : !header.isEmpty() && !text(header, "fleet").equals(fleet)
                        ? "belongs to the fleet " + text(header, "fleet") + ", not to " + fleet
                        : !header.isEmpty() && !text(header, "member").equals(member)
                                ? "belongs to the member " + text(header, "member") + ", not to " + member
                                : null;
        if (mismatch != null) {
            store.closeImmediately();
            throw new IOException(file + " " + mismatch);
        }
        long previous = 0;
        try {
            previous = header.isEmpty() ? 0 : Long.parseLong(text(header, "life"));
        } catch (NumberFormatException e) {
            LOG.error("{} does not say its life: takes the time of day", file);
        }
        long incarnation = Math.max(previous + 1, (long) nowMs);
        writeHeader(header, fleet, member, incarnation);
        store.commit();
        store.sync();
        return new ReplicaDisk(file, fleet, member, store, incarnation);
    }

    private static void writeHeader(MVMap<String, byte[]> header, String fleet, String member, long incarnation) {
        header.put("schema", text(Integer.toString(SCHEMA)));
        header.put("fleet", text(fleet));
        header.put("member", text(member));
        header.put("life", text(Long.toString(incarnation)));
    }

    /**
     * The incarnation with which a process begins that has no disk. After the time of day went back it may be earlier
     * than one that peers know, and is outlived then, by the links and the replica alike.
     */
    public static long incarnationWithoutDisk(double nowMs) {
        return (long) nowMs;
    }

    private static byte[] text(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return withChecksum(bytes);
    }

    private static String text(MVMap<String, byte[]> map, String key) {
        byte[] bytes = verifyChecksum(map.get(key));
        return bytes == null ? "unknown" : new String(bytes, StandardCharsets.UTF_8);
    }

    /** The incarnation that was taken at this start. */
    public long incarnation() {
        return incarnation;
    }

    /** An incarnation that was taken later, since peers knew a later one; the next write writes it. */
    void useIncarnation(long newer) {
        incarnation = newer;
    }

    /** Whether the next write must be of everything: one has failed, or what is there was read at a start. */
    boolean needsFullWrite() {
        return writeFailed;
    }

    /**
     * Puts all that can be read into a copy; an incarnation with a record that can't is left out, and fetched from
     * peers. A file that can't be read through is put aside, and an empty one begun.
     *
     * @throws IOException if no file can be written there
     */
    public void restore(RecordStore target) throws IOException {
        List<Runnable> intactLogs = new ArrayList<>();
        try {
            read(target, intactLogs);
        } catch (RuntimeException e) {
            // Guards against a page of the file that can't be read, which shows as any kind of exception.
            store.closeImmediately();
            useStore(replaceBroken(file, firstLine(e)));
            writeHeader(header, fleet, member, incarnation);
            store.commit();
            store.sync();
            return;
        }
        intactLogs.forEach(Runnable::run);
        // The process before may have ended after a sync that failed: what was read need not be on the disk.
        writeFailed = true;
    }

    private void read(RecordStore target, List<Runnable> intactLogs) {
        Map<String, List<ReplicatedRecord>> entries = new HashMap<>();
        Map<String, Integer> malformed = new HashMap<>();
        for (Map.Entry<String, byte[]> stored : records.entrySet()) {
            String logKey = stored.getKey().substring(0, secondSeparator(stored.getKey()));
            byte[] bytes = verifyChecksum(stored.getValue());
            try {
                ReplicatedRecord record = bytes == null ? null : ReplicationCodec.readRecord(bytes);
                if (record == null || !record.hasValidChecksum(logKey.substring(0, logKey.indexOf('\0')))) {
                    malformed.merge(logKey, 1, Integer::sum);
                } else {
                    entries.computeIfAbsent(logKey, logName -> new ArrayList<>())
                            .add(record);
                }
            } catch (IOException malformedRecord) {
                malformed.merge(logKey, 1, Integer::sum);
            }
        }
        for (Map.Entry<String, byte[]> stored : logHeads.entrySet()) {
            byte[] bytes = verifyChecksum(stored.getValue());
            int separator = stored.getKey().indexOf('\0');
            String owner = stored.getKey().substring(0, separator);
            long ofIncarnation = Long.parseLong(stored.getKey().substring(separator + 1));
            List<ReplicatedRecord> logRecords = entries.getOrDefault(stored.getKey(), List.of());
            if (bytes == null
                    || bytes.length != 20
                    || malformed.containsKey(stored.getKey())
                    || ByteBuffer.wrap(bytes).getInt(16) != logRecords.size()) {
                LOG.error(
                        "{}: {} life {} is not whole on disk ({} of its records can't be read): fetched from peers",
                        file,
                        owner,
                        ofIncarnation,
                        malformed.getOrDefault(stored.getKey(), 0));
                removeLog(stored.getKey());
                continue;
            }
            ByteBuffer head = ByteBuffer.wrap(bytes);
            long appliedSequence = head.getLong();
            long tombstoneFloor = head.getLong();
            intactLogs.add(() -> target.restore(owner, ofIncarnation, appliedSequence, tombstoneFloor, logRecords));
        }
    }

    private void removeLog(String logKey) {
        logHeads.remove(logKey);
        List<String> keys = new ArrayList<>();
        for (java.util.Iterator<String> i = records.keyIterator(logKey + '\0'); i.hasNext(); ) {
            String recordKey = i.next();
            if (!recordKey.startsWith(logKey + '\0')) {
                break;
            }
            keys.add(recordKey);
        }
        keys.forEach(records::remove);
    }

    private static int secondSeparator(String key) {
        return key.indexOf('\0', key.indexOf('\0') + 1);
    }

    /**
     * Writes what changed, whole or not at all; if {@link #needsFullWrite}, this must be everything.
     *
     * @throws IOException if the disk does not take it: full, gone, broken
     */
    void write(List<Batch> batches, Map<CatchUp.LogId, Integer> sizes) throws IOException {
        try {
            if (writeFailed || store == null || store.isClosed()) {
                writeNewFile(batches, sizes);
            } else {
                putBatches(batches, sizes);
            }
        } catch (RuntimeException e) {
            // A store that failed once does not write again.
            writeFailed = true;
            store.closeImmediately();
            throw new IOException(file + ": " + firstLine(e), e);
        }
    }

    private void writeNewFile(List<Batch> batches, Map<CatchUp.LogId, Integer> sizes) throws IOException {
        writeFailed = true;
        store.closeImmediately();
        StoreFile fresh = file.sibling(NEW_FILE);
        if (fresh.filePath().exists()) {
            fresh.filePath().delete();
        }
        try {
            useStore(open(fresh));
            putBatches(batches, sizes);
        } finally {
            store.closeImmediately();
        }
        fresh.filePath().moveTo(file.filePath(), true);
        syncDirectory(file.path().getParent());
        useStore(open(file));
        writeFailed = false;
    }

    /** The new name of a file lasts once its directory is synced. */
    private static void syncDirectory(Path directory) throws IOException {
        try (FileChannel channel = FileChannel.open(directory)) {
            channel.force(true);
        }
    }

    private void putBatches(List<Batch> batches, Map<CatchUp.LogId, Integer> sizes) {
        if (!text(header, "life").equals(Long.toString(incarnation))) {
            writeHeader(header, fleet, member, incarnation);
        }
        for (Batch batch : batches) {
            String logKey = batch.owner() + '\0' + batch.incarnation();
            if (batch.appliedSequence() == null) {
                removeLog(logKey);
                continue;
            }
            batch.removedKeys().forEach(key -> records.remove(recordEntryKey(logKey, key)));
            batch.records()
                    .forEach(record -> records.put(
                            recordEntryKey(logKey, record.recordKey()), withChecksum(ReplicationCodec.write(record))));
            logHeads.put(
                    logKey,
                    withChecksum(ByteBuffer.allocate(20)
                            .putLong(batch.appliedSequence())
                            .putLong(batch.tombstoneFloor())
                            .putInt(sizes.get(new CatchUp.LogId(batch.owner(), batch.incarnation())))
                            .array()));
        }
        store.commit();
        store.sync();
    }

    /** Lets go of the file as a failure would, without writing what is open. */
    void closeImmediately() {
        writeFailed = true;
        store.closeImmediately();
    }

    private static String recordEntryKey(String logKey, RecordKey key) {
        return logKey + '\0' + key.space() + '\0' + key.key();
    }

    private static String firstLine(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }

    private static byte[] withChecksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, bytes.length);
        return ByteBuffer.allocate(bytes.length + 4)
                .put(bytes)
                .putInt((int) crc.getValue())
                .array();
    }

    private static byte[] verifyChecksum(byte[] bytes) {
        if (bytes == null || bytes.length < 4) {
            return null;
        }
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, bytes.length - 4);
        return ByteBuffer.wrap(bytes).getInt(bytes.length - 4) == (int) crc.getValue()
                ? Arrays.copyOf(bytes, bytes.length - 4)
                : null;
    }

    @Override
    public void close() {
        if (store != null && !store.isClosed()) {
            store.close();
        }
    }
}
