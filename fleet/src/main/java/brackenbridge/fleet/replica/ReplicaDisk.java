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
    private static final String FRESH = FILE + ".new";

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
            String owner, long life, Long have, long floor, List<ReplicatedRecord> entries, List<RecordKey> gone) {}

    private final StoreFile file;
    private final String fleet;
    private final String member;
    private long incarnation;
    private boolean failed;
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
        FilePath at() {
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

    private ReplicaDisk(StoreFile file, String fleet, String member, MVStore store, long life) {
        this.file = file;
        this.fleet = fleet;
        this.member = member;
        this.incarnation = life;
        useStore(store);
    }

    private void useStore(MVStore opened) {
        store = opened;
        header = map(opened, "header");
        logHeads = map(opened, "heads");
        records = map(opened, "records");
    }

    private static MVMap<String, byte[]> map(MVStore store, String name) {
        return store.openMap(
                name,
                new MVMap.Builder<String, byte[]>()
                        .keyType(StringDataType.INSTANCE)
                        .valueType(ByteArrayDataType.INSTANCE));
    }

    private static MVStore open(StoreFile file) {
        return new MVStore.Builder()
                .fileName(file.at().toString())
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

    private static MVStore replaceBroken(StoreFile file, String why) {
        StoreFile broken = file.sibling(FILE + ".broken");
        LOG.error("{} is broken ({}): kept as {}, begins empty and catches up from peers", file, why, broken);
        file.at().moveTo(broken.at(), true);
        return open(file);
    }

    private static ReplicaDisk initialize(StoreFile file, MVStore store, String fleet, String member, double nowMs)
            throws IOException {
        MVMap<String, byte[]> header = map(store, "header");
        String wrong = !header.isEmpty() && !text(header, "schema").equals(Integer.toString(SCHEMA))
                ? "is written in another way, " + text(header, "schema")
                : !header.isEmpty() && !text(header, "fleet").equals(fleet)
                        ? "belongs to the fleet " + text(header, "fleet") + ", not to " + fleet
                        : !header.isEmpty() && !text(header, "member").equals(member)
                                ? "belongs to the member " + text(header, "member") + ", not to " + member
                                : null;
        if (wrong != null) {
            store.closeImmediately();
            throw new IOException(file + " " + wrong);
        }
        long before = 0;
        try {
            before = header.isEmpty() ? 0 : Long.parseLong(text(header, "life"));
        } catch (NumberFormatException e) {
            LOG.error("{} does not say its life: takes the time of day", file);
        }
        long life = Math.max(before + 1, (long) nowMs);
        writeHeader(header, fleet, member, life);
        store.commit();
        store.sync();
        return new ReplicaDisk(file, fleet, member, store, life);
    }

    private static void writeHeader(MVMap<String, byte[]> header, String fleet, String member, long life) {
        header.put("schema", text(Integer.toString(SCHEMA)));
        header.put("fleet", text(fleet));
        header.put("member", text(member));
        header.put("life", text(Long.toString(life)));
    }

    /**
     * The incarnation with which a process begins that has no disk. After the time of day went back it may be earlier
     * than one that peers know, and is outlived then, by the links and the replica alike.
     */
    public static long incarnationWithoutDisk(double nowMs) {
        return (long) nowMs;
    }

    private static byte[] text(String s) {
        byte[] b = s.getBytes(StandardCharsets.UTF_8);
        return withChecksum(b);
    }

    private static String text(MVMap<String, byte[]> map, String key) {
        byte[] b = verifyChecksum(map.get(key));
        return b == null ? "unknown" : new String(b, StandardCharsets.UTF_8);
    }

    /** The incarnation that was taken at this start. */
    public long incarnation() {
        return incarnation;
    }

    /** An incarnation that was taken later, since peers knew a later one; the next write writes it. */
    void useIncarnation(long later) {
        incarnation = later;
    }

    /** Whether the next write must be of everything: one has failed, or what is there was read at a start. */
    boolean needsFullWrite() {
        return failed;
    }

    /**
     * Puts all that can be read into a copy; an incarnation with a record that can't is left out, and fetched from
     * peers. A file that can't be read through is put aside, and an empty one begun.
     *
     * @throws IOException if no file can be written there
     */
    public void restore(RecordStore to) throws IOException {
        List<Runnable> whole = new ArrayList<>();
        try {
            read(to, whole);
        } catch (RuntimeException e) {
            // Guards against a page of the file that can't be read, which shows as any kind of exception.
            store.closeImmediately();
            useStore(replaceBroken(file, firstLine(e)));
            writeHeader(header, fleet, member, incarnation);
            store.commit();
            store.sync();
            return;
        }
        whole.forEach(Runnable::run);
        // The process before may have ended after a sync that failed: what was read need not be on the disk.
        failed = true;
    }

    private void read(RecordStore to, List<Runnable> whole) {
        Map<String, List<ReplicatedRecord>> entries = new HashMap<>();
        Map<String, Integer> bad = new HashMap<>();
        for (Map.Entry<String, byte[]> e : records.entrySet()) {
            String of = e.getKey().substring(0, secondSeparator(e.getKey()));
            byte[] b = verifyChecksum(e.getValue());
            try {
                ReplicatedRecord entry = b == null ? null : ReplicationCodec.readEntry(b);
                if (entry == null || !entry.hasValidChecksum(of.substring(0, of.indexOf('\0')))) {
                    bad.merge(of, 1, Integer::sum);
                } else {
                    entries.computeIfAbsent(of, k -> new ArrayList<>()).add(entry);
                }
            } catch (IOException x) {
                bad.merge(of, 1, Integer::sum);
            }
        }
        for (Map.Entry<String, byte[]> e : logHeads.entrySet()) {
            byte[] b = verifyChecksum(e.getValue());
            int cut = e.getKey().indexOf('\0');
            String owner = e.getKey().substring(0, cut);
            long of = Long.parseLong(e.getKey().substring(cut + 1));
            List<ReplicatedRecord> logRecords = entries.getOrDefault(e.getKey(), List.of());
            if (b == null
                    || b.length != 20
                    || bad.containsKey(e.getKey())
                    || ByteBuffer.wrap(b).getInt(16) != logRecords.size()) {
                LOG.error(
                        "{}: {} life {} is not whole on disk ({} of its records can't be read): fetched from peers",
                        file,
                        owner,
                        of,
                        bad.getOrDefault(e.getKey(), 0));
                removeLog(e.getKey());
                continue;
            }
            ByteBuffer head = ByteBuffer.wrap(b);
            long have = head.getLong();
            long floor = head.getLong();
            whole.add(() -> to.restore(owner, of, have, floor, logRecords));
        }
    }

    private void removeLog(String of) {
        logHeads.remove(of);
        List<String> keys = new ArrayList<>();
        for (java.util.Iterator<String> i = records.keyIterator(of + '\0'); i.hasNext(); ) {
            String k = i.next();
            if (!k.startsWith(of + '\0')) {
                break;
            }
            keys.add(k);
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
            if (failed || store == null || store.isClosed()) {
                writeFreshFile(batches, sizes);
            } else {
                put(batches, sizes);
            }
        } catch (RuntimeException e) {
            // A store that failed once does not write again.
            failed = true;
            store.closeImmediately();
            throw new IOException(file + ": " + firstLine(e), e);
        }
    }

    private void writeFreshFile(List<Batch> batches, Map<CatchUp.LogId, Integer> sizes) throws IOException {
        failed = true;
        store.closeImmediately();
        StoreFile fresh = file.sibling(FRESH);
        if (fresh.at().exists()) {
            fresh.at().delete();
        }
        try {
            useStore(open(fresh));
            put(batches, sizes);
        } finally {
            store.closeImmediately();
        }
        fresh.at().moveTo(file.at(), true);
        syncDirectory(file.path().getParent());
        useStore(open(file));
        failed = false;
    }

    /** The new name of a file lasts once its directory is synced. */
    private static void syncDirectory(Path directory) throws IOException {
        try (FileChannel channel = FileChannel.open(directory)) {
            channel.force(true);
        }
    }

    private void put(List<Batch> batches, Map<CatchUp.LogId, Integer> sizes) {
        if (!text(header, "life").equals(Long.toString(incarnation))) {
            writeHeader(header, fleet, member, incarnation);
        }
        for (Batch b : batches) {
            String of = b.owner() + '\0' + b.life();
            if (b.have() == null) {
                removeLog(of);
                continue;
            }
            b.gone().forEach(i -> records.remove(key(of, i)));
            b.entries().forEach(e -> records.put(key(of, e.recordKey()), withChecksum(ReplicationCodec.write(e))));
            logHeads.put(
                    of,
                    withChecksum(ByteBuffer.allocate(20)
                            .putLong(b.have())
                            .putLong(b.floor())
                            .putInt(sizes.get(new CatchUp.LogId(b.owner(), b.life())))
                            .array()));
        }
        store.commit();
        store.sync();
    }

    /** Lets go of the file as a failure would, without writing what is open. */
    void abandon() {
        failed = true;
        store.closeImmediately();
    }

    private static String key(String of, RecordKey i) {
        return of + '\0' + i.space() + '\0' + i.key();
    }

    private static String firstLine(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }

    private static byte[] withChecksum(byte[] b) {
        CRC32C c = new CRC32C();
        c.update(b, 0, b.length);
        return ByteBuffer.allocate(b.length + 4)
                .put(b)
                .putInt((int) c.getValue())
                .array();
    }

    private static byte[] verifyChecksum(byte[] b) {
        if (b == null || b.length < 4) {
            return null;
        }
        CRC32C c = new CRC32C();
        c.update(b, 0, b.length - 4);
        return ByteBuffer.wrap(b).getInt(b.length - 4) == (int) c.getValue() ? Arrays.copyOf(b, b.length - 4) : null;
    }

    @Override
    public void close() {
        if (store != null && !store.isClosed()) {
            store.close();
        }
    }
}
