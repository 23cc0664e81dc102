package brackenbridge.fleet.replica;

import brackenbridge.clock.Clock;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Notifies listeners on its own thread, without the lock. Several changes of a record before a notification are
 * combined: the listener receives the latest record.
 */
final class ChangeNotifier implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(ChangeNotifier.class);

    private record ChangedRecord(RecordSpace space, String owner, String key) {}

    private final ReplicaMonitor monitor;
    private final RecordStore store;
    private final Clock clock;
    private final List<Replica.Listener> listeners = new CopyOnWriteArrayList<>();
    /** Guarded by the monitor. */
    private final LinkedHashSet<ChangedRecord> pending = new LinkedHashSet<>();

    ChangeNotifier(ReplicaMonitor monitor, RecordStore store, Clock clock) {
        this.monitor = monitor;
        this.store = store;
        this.clock = clock;
    }

    void addListener(Replica.Listener listener) {
        listeners.add(listener);
    }

    boolean hasListeners() {
        return !listeners.isEmpty();
    }

    /** Queues a change; with the lock held. */
    void enqueue(RecordTable.Change change) {
        pending.add(new ChangedRecord(
                change.key().space(), change.owner(), change.key().key()));
    }

    /** Notifies listeners until the replica is closed. */
    @Override
    public void run() {
        while (!monitor.isClosed()) {
            Map<ChangedRecord, Replica.ReadRecord> changes;
            try {
                changes = awaitChanges();
            } catch (InterruptedException e) {
                return;
            }
            changes.forEach(this::notifyListeners);
        }
    }

    private Map<ChangedRecord, Replica.ReadRecord> awaitChanges() throws InterruptedException {
        Map<ChangedRecord, Replica.ReadRecord> changes = new LinkedHashMap<>();
        monitor.lock();
        try {
            while (pending.isEmpty() && !monitor.isClosed()) {
                monitor.awaitChange();
            }
            double now = clock.nowMs();
            pending.forEach(
                    change -> changes.put(change, store.read(change.owner(), change.space(), change.key(), now)));
            pending.clear();
        } finally {
            monitor.unlock();
        }
        return changes;
    }

    private void notifyListeners(ChangedRecord change, Replica.ReadRecord now) {
        for (Replica.Listener listener : listeners) {
            try {
                listener.onChange(change.space(), change.owner(), change.key(), now);
            } catch (RuntimeException e) {
                LOG.error("listener failed for {}", change, e);
            }
        }
    }
}
