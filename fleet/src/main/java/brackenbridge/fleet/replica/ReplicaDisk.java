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
 * A member's copy on disk: one file of H2's MVStore, which appends chunks with atomic commits. Every record has its own
 * checksum. The header contains fleet, member and incarnation.
 *
 * <p>A write is durable once it is synced. After a failed write it is unknown which pages of the file reached the disk,
 * and a later successful sync does not tell. Therefore the next write contains everything and goes to a new file, which
 * replaces the old one after it was synced. Until then the old file is left unchanged.
 */
public final class ReplicaDisk implements AutoCloseable {
    /** The version of the file format; files of other versions are not read. */
    static final int SCHEMA = 1;

    private static final Logger LOG = LoggerFactory.getLogger(ReplicaDisk.class);
    private static final String FILE = "replica.mv";
    /** The name of a new file until it is complete. */
    private static final String NEW_FILE = FILE + ".new";

    /**
     * The changes to write for one incarnation of an owner.
     *
     * @param owner the owner's name
     * @param incarnation the owner's incarnation
     * @param appliedSequence the position of the copy; null if the log was dropped
     * @param tombstoneFloor tombstones up to this write may be forgotten
     * @param records changed records
     * @param removedKeys keys of records that were dropped
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
     * A file with the scheme by which the store opens it.
     *
     * @param scheme the scheme of the file system; empty for the default one
     * @param path the path of the file
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
     * Opens a member's directory and takes the next incarnation. It is greater than the previous one and at least the
     * wall-clock time in milliseconds, so that a member whose disk was lost or is old takes a later incarnation unless
     * the clock went back.
     *
     * @throws IOException with a one-line message, if the file belongs to another fleet or member, is open in another
     *     process or can't be accessed
     */
    public static ReplicaDisk open(Path directory, String fleet, String member, double nowMs) throws IOException {
        return open(directory, fleet, member, nowMs, "");
    }

    /** Opens a directory on the file system with this scheme. */
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

    /** Whether reading or writing failed, which does not mean that the content is damaged. */
    private static boolean isAccessFailure(RuntimeException e) {
        return e instanceof MVStoreException m
                && (m.getErrorCode() == DataUtils.ERROR_READING_FAILED
                        || m.getErrorCode() == DataUtils.ERROR_WRITING_FAILED);
    }

    private static MVStore replaceBroken(StoreFile file, String reason) {
        StoreFile broken = file.sibling(FILE + ".broken");
        LOG.error(
                "{} is damaged ({}): kept as {}, starting with an empty file and catching up from peers",
                file,
                reason,
                broken);
        file.filePath().moveTo(broken.filePath(), true);
        return open(file);
    }

    private static ReplicaDisk initialize(StoreFile file, MVStore store, String fleet, String member, double nowMs)
            throws IOException {
        MVMap<String, byte[]> header = openMap(store, "header");
        String mismatch = !header.isEmpty() && !readText(header, "schema").equals(Integer.toString(SCHEMA))
                ? "has the unsupported schema " + readText(header, "schema")
                : !header.isEmpty() && !readText(header, "fleet").equals(fleet)
                        ? "belongs to the fleet " + readText(header, "fleet") + ", not to " + fleet
                        : !header.isEmpty() && !readText(header, "member").equals(member)
                                ? "belongs to the member " + readText(header, "member") + ", not to " + member
                                : null;
        if (mismatch != null) {
            store.closeImmediately();
            throw new IOException(file + " " + mismatch);
        }
        long previous = 0;
        try {
            previous = header.isEmpty() ? 0 : Long.parseLong(readText(header, "life"));
        } catch (NumberFormatException e) {
            LOG.error("{} has no valid incarnation: using the wall-clock time", file);
        }
        long incarnation = Math.max(previous + 1, (long) nowMs);
        writeHeader(header, fleet, member, incarnation);
        store.commit();
        store.sync();
        return new ReplicaDisk(file, fleet, member, store, incarnation);
    }

    private static void writeHeader(MVMap<String, byte[]> header, String fleet, String member, long incarnation) {
        header.put("schema", encodeText(Integer.toString(SCHEMA)));
        header.put("fleet", encodeText(fleet));
        header.put("member", encodeText(member));
        header.put("life", encodeText(Long.toString(incarnation)));
    }

    /**
     * The first incarnation of a process without a disk. After the wall clock was set back it may be earlier than one
     * that peers know; then both the links and the replica take a later one.
     */
    public static long incarnationWithoutDisk(double nowMs) {
        return (long) nowMs;
    }

    private static byte[] encodeText(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return withChecksum(bytes);
    }

    private static String readText(MVMap<String, byte[]> map, String key) {
        byte[] bytes = verifyChecksum(map.get(key));
        return bytes == null ? "unknown" : new String(bytes, StandardCharsets.UTF_8);
    }

    /** The incarnation of this process, as taken at the start or set later. */
    public long incarnation() {
        return incarnation;
    }

    /** Sets a newer incarnation, taken because peers knew a later one; the next write stores it. */
    void useIncarnation(long newer) {
        incarnation = newer;
    }

    /** Whether the next write must contain everything, after a failed write or after {@link #restore}. */
    boolean needsFullWrite() {
        return writeFailed;
    }

    /**
     * Restores all intact logs into a copy. A log with a malformed record is left out and fetched from peers. An
     * unreadable file is renamed and replaced by an empty one.
     *
     * @throws IOException if no file can be written there
     */
    public void restore(RecordStore target) throws IOException {
        List<Runnable> intactLogs = new ArrayList<>();
        try {
            read(target, intactLogs);
        } catch (RuntimeException e) {
            // Guards against an unreadable page of the file, on which the store may throw any exception.
            store.closeImmediately();
            useStore(replaceBroken(file, firstLine(e)));
            writeHeader(header, fleet, member, incarnation);
            store.commit();
            store.sync();
            return;
        }
        intactLogs.forEach(Runnable::run);
        // The previous process may have ended after a failed sync: what was read may be in the page cache only and not
        // on the disk.
        writeFailed = true;
    }

    private void read(RecordStore target, List<Runnable> intactLogs) {
        Map<String, List<ReplicatedRecord>> recordsByLog = new HashMap<>();
        Map<String, Integer> malformed = new HashMap<>();
        for (Map.Entry<String, byte[]> stored : records.entrySet()) {
            String logKey = stored.getKey().substring(0, secondSeparator(stored.getKey()));
            byte[] bytes = verifyChecksum(stored.getValue());
            try {
                ReplicatedRecord record = bytes == null ? null : ReplicationCodec.readRecord(bytes);
                if (record == null || !record.hasValidChecksum(logKey.substring(0, logKey.indexOf('\0')))) {
                    malformed.merge(logKey, 1, Integer::sum);
                } else {
                    recordsByLog
                            .computeIfAbsent(logKey, logName -> new ArrayList<>())
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
            List<ReplicatedRecord> logRecords = recordsByLog.getOrDefault(stored.getKey(), List.of());
            if (bytes == null
                    || bytes.length != 20
                    || malformed.containsKey(stored.getKey())
                    || ByteBuffer.wrap(bytes).getInt(16) != logRecords.size()) {
                LOG.error(
                        "{}: the log of {} incarnation {} is incomplete ({} malformed records): fetched from peers",
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
     * Writes changes atomically. If {@link #needsFullWrite}, the batches must contain all records.
     *
     * @param batches the changes, one batch for each log
     * @param sizes the number of records of each log
     * @throws IOException if the write fails
     */
    void write(List<Batch> batches, Map<CatchUp.LogId, Integer> sizes) throws IOException {
        try {
            if (writeFailed || store == null || store.isClosed()) {
                writeNewFile(batches, sizes);
            } else {
                putBatches(batches, sizes);
            }
        } catch (RuntimeException e) {
            // A store does not write again after a failure.
            writeFailed = true;
            store.closeImmediately();
            throw new IOException(file + ": " + firstLine(e), e);
        }
    }

    private void writeNewFile(List<Batch> batches, Map<CatchUp.LogId, Integer> sizes) throws IOException {
        writeFailed = true;
        store.closeImmediately();
        StoreFile newFile = file.sibling(NEW_FILE);
        if (newFile.filePath().exists()) {
            newFile.filePath().delete();
        }
        try {
            useStore(open(newFile));
            putBatches(batches, sizes);
        } finally {
            store.closeImmediately();
        }
        newFile.filePath().moveTo(file.filePath(), true);
        syncDirectory(file.path().getParent());
        useStore(open(file));
        writeFailed = false;
    }

    /** Syncs a directory, which makes the renaming of a file durable. */
    private static void syncDirectory(Path directory) throws IOException {
        try (FileChannel channel = FileChannel.open(directory)) {
            channel.force(true);
        }
    }

    private void putBatches(List<Batch> batches, Map<CatchUp.LogId, Integer> sizes) {
        if (!readText(header, "life").equals(Long.toString(incarnation))) {
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

    /** Closes the file as a failure would, without writing uncommitted changes. */
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
