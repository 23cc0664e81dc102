package brackenbridge.fleet.replica;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes changed records to disk asynchronously, on its own thread. Changes whose write failed are written again later;
 * the copy in memory stays in use meanwhile.
 */
final class DiskWriter implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(DiskWriter.class);
    /** Changes within this time are written in one batch, in milliseconds. */
    private static final double BATCH_MS = 50;
    /** The pause after a failed write, in milliseconds. */
    private static final double RETRY_MS = 2000;

    /**
     * The content of one write to disk.
     *
     * @param localIncarnation this member's incarnation
     * @param keys changed keys by log
     * @param batches the records of those keys
     * @param sizes the number of records of each log
     */
    private record Flush(
            long localIncarnation,
            Map<CatchUp.LogId, LinkedHashSet<RecordKey>> keys,
            List<ReplicaDisk.Batch> batches,
            Map<CatchUp.LogId, Integer> sizes) {}

    private final ReplicaMonitor monitor;
    private final RecordStore store;
    private final ReplicaDisk disk;
    /** The incarnation stored on disk; used only by the writing thread. */
    private long diskIncarnation;

    // Guarded by the monitor.
    private final Map<CatchUp.LogId, LinkedHashSet<RecordKey>> pending = new TreeMap<>();
    private boolean healthy = true;
    private boolean writing;

    DiskWriter(ReplicaMonitor monitor, RecordStore store, ReplicaDisk disk) {
        this.monitor = monitor;
        this.store = store;
        this.disk = disk;
        diskIncarnation = disk.incarnation();
    }

    /** Queues a change; with the lock held. */
    void enqueue(RecordTable.Change change) {
        LinkedHashSet<RecordKey> keys = pendingOf(new CatchUp.LogId(change.owner(), change.incarnation()));
        if (change.key() != null) {
            keys.add(change.key());
        }
    }

    /** Queues all records; with the lock held. */
    void enqueueAll() {
        for (String owner : store.owners()) {
            for (long incarnation : store.incarnations(owner)) {
                LinkedHashSet<RecordKey> keys = pendingOf(new CatchUp.LogId(owner, incarnation));
                store.records(owner, incarnation).forEach(record -> keys.add(record.recordKey()));
            }
        }
    }

    private LinkedHashSet<RecordKey> pendingOf(CatchUp.LogId log) {
        return pending.computeIfAbsent(log, id -> new LinkedHashSet<>());
    }

    /** Whether the last write succeeded; with the lock held. */
    boolean isHealthy() {
        return healthy;
    }

    /** Writes until the replica is closed. */
    @Override
    public void run() {
        try {
            while (!monitor.isClosed()) {
                awaitPending();
                if (!flush()) {
                    pause(RETRY_MS);
                }
            }
        } catch (InterruptedException e) {
            // The node is closing; close() writes pending changes.
        }
    }

    private void awaitPending() throws InterruptedException {
        monitor.lock();
        try {
            while (pending.isEmpty() && !monitor.isClosed()) {
                monitor.awaitChange();
            }
            monitor.pause(BATCH_MS);
        } finally {
            monitor.unlock();
        }
    }

    private void pause(double ms) throws InterruptedException {
        monitor.lock();
        try {
            monitor.pause(ms);
        } finally {
            monitor.unlock();
        }
    }

    /**
     * Writes all pending changes.
     *
     * @return false if the write failed
     */
    boolean flush() {
        Flush flush = monitor.locked(this::takePending);
        boolean succeeded = write(flush);
        monitor.lock();
        try {
            finish(flush, succeeded);
        } finally {
            monitor.unlock();
        }
        return succeeded;
    }

    private Flush takePending() {
        if (disk.needsFullWrite()) {
            // After a failed write, earlier content of the file may be lost as well.
            enqueueAll();
        }
        Flush flush = new Flush(store.incarnation(), new TreeMap<>(pending), new ArrayList<>(), new TreeMap<>());
        pending.clear();
        writing = true;
        flush.keys().forEach((log, keys) -> {
            flush.sizes().put(log, store.size(log.owner(), log.incarnation()));
            flush.batches().add(batch(log, keys));
        });
        return flush;
    }

    private ReplicaDisk.Batch batch(CatchUp.LogId log, Iterable<RecordKey> keys) {
        List<ReplicatedRecord> records = new ArrayList<>();
        List<RecordKey> removedKeys = new ArrayList<>();
        for (RecordKey key : keys) {
            ReplicatedRecord record = store.record(log.owner(), log.incarnation(), key);
            if (record == null) {
                removedKeys.add(key);
            } else {
                records.add(record);
            }
        }
        boolean exists = store.incarnations(log.owner()).contains(log.incarnation());
        return new ReplicaDisk.Batch(
                log.owner(),
                log.incarnation(),
                exists ? store.appliedSequence(log.owner(), log.incarnation()).orElse(0) : null,
                store.tombstoneFloor(log.owner(), log.incarnation()),
                records,
                removedKeys);
    }

    private boolean write(Flush flush) {
        try {
            if (flush.localIncarnation() > diskIncarnation) {
                disk.useIncarnation(flush.localIncarnation());
                diskIncarnation = flush.localIncarnation();
            }
            disk.write(flush.batches(), flush.sizes());
            return true;
        } catch (IOException | RuntimeException e) {
            if (monitor.locked(this::isHealthy)) {
                LOG.error("writing the replica to disk failed, continuing in memory: {}", e.getMessage());
            }
            return false;
        }
    }

    private void finish(Flush flush, boolean succeeded) {
        if (succeeded && !healthy) {
            LOG.warn("writing the replica to disk succeeds again");
        }
        healthy = succeeded;
        writing = false;
        if (!succeeded) {
            flush.keys().forEach((log, keys) -> pendingOf(log).addAll(keys));
        }
        monitor.signalChange();
    }

    /**
     * Waits until all changes until now are on disk.
     *
     * @return false if the time ran out, or the last write failed
     */
    boolean awaitFlushed(double withinMs) throws InterruptedException {
        monitor.lock();
        try {
            long remainingNanos = (long) (withinMs * 1e6);
            while ((!pending.isEmpty() || writing) && remainingNanos > 0) {
                remainingNanos = monitor.awaitChange(remainingNanos);
            }
            return pending.isEmpty() && !writing && healthy;
        } finally {
            monitor.unlock();
        }
    }
}
