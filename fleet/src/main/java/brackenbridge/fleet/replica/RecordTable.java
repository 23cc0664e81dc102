package brackenbridge.fleet.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * All owners with their logs, and the rules by which one record enters them. It also collects what has changed and what
 * an operator should know. Mutable; guarded by whoever guards the {@link RecordStore}.
 */
final class RecordTable {
    /** Alarms that are kept until they are read. */
    private static final int MAX_ALARMS = 256;

    /**
     * Something that changed.
     *
     * @param owner whose record
     * @param incarnation of which incarnation
     * @param key which record; null for the log itself: its position, or that it was dropped
     */
    record Change(String owner, long incarnation, RecordKey key) {}

    private final TreeMap<String, OwnerState> owners = new TreeMap<>();
    /** The same by hash: with a thousand owners, names are looked up for each mark of each message. */
    private final Map<String, OwnerState> ownersByHash = new HashMap<>();

    private final boolean tracksChanges;
    private final Set<Change> changes = new LinkedHashSet<>();
    private final List<String> alarms = new ArrayList<>();

    /**
     * An empty table.
     *
     * @param tracksChanges whether changes are collected for {@link #drainChanges}
     */
    RecordTable(boolean tracksChanges) {
        this.tracksChanges = tracksChanges;
    }

    /** An independent copy, which tracks no changes. */
    RecordTable copy() {
        RecordTable copy = new RecordTable(false);
        owners.forEach((name, owner) -> copy.owners.put(name, owner.copy()));
        copy.ownersByHash.putAll(copy.owners);
        return copy;
    }

    // ---- look-up ----

    /** Names of all known owners, in order. */
    List<String> names() {
        return List.copyOf(owners.keySet());
    }

    /** All known owners by name, in order. */
    Map<String, OwnerState> ownersByName() {
        return owners;
    }

    Collection<OwnerState> states() {
        return owners.values();
    }

    /** An owner; null if it is not known. */
    OwnerState find(String name) {
        return ownersByHash.get(name);
    }

    /** An owner, added if it is not known; null if there are {@link RecordStore#MAX_OWNERS} already. */
    OwnerState findOrAdd(String name) {
        OwnerState owner = ownersByHash.get(name);
        if (owner == null && owners.size() < RecordStore.MAX_OWNERS) {
            owner = new OwnerState();
            owners.put(name, owner);
            ownersByHash.put(name, owner);
        }
        return owner;
    }

    /** The log of one incarnation; null if nothing of it is here. */
    OwnerLog log(String name, long incarnation) {
        OwnerState owner = ownersByHash.get(name);
        return owner == null ? null : owner.logs.get(incarnation);
    }

    // ---- changes and alarms ----

    void addChange(String owner, long incarnation, RecordKey key) {
        if (tracksChanges) {
            changes.add(new Change(owner, incarnation, key));
        }
    }

    /** What has changed since the last call. */
    List<Change> drainChanges() {
        List<Change> drained = List.copyOf(changes);
        changes.clear();
        return drained;
    }

    void addAlarm(String text) {
        if (alarms.size() < MAX_ALARMS) {
            alarms.add(text);
        }
    }

    /** Alarms since the last call. */
    List<String> drainAlarms() {
        List<String> drained = List.copyOf(alarms);
        alarms.clear();
        return drained;
    }

    // ---- incarnations ----

    /**
     * A later incarnation of an owner ends all before it.
     *
     * @return whether it is later than what was known
     */
    boolean advanceIncarnation(String name, OwnerState owner, long newest) {
        if (newest <= owner.incarnation) {
            return false;
        }
        owner.incarnation = newest;
        owner.nonce = 0;
        owner.heartbeat = 0;
        owner.announcedSequence = 0;
        owner.lastCompleteAtMs = Double.NEGATIVE_INFINITY;
        owner.quarantineReason = null;
        for (OwnerLog log : List.copyOf(owner.logs.headMap(newest).values())) {
            log.endIncarnation().forEach(key -> addChange(name, log.incarnation, key));
            removeObsoleteLogs(name, owner, log);
        }
        addChange(name, newest, null);
        return true;
    }

    /** Removes this log if it has ended and is empty, and the oldest logs above the bound. */
    void removeObsoleteLogs(String name, OwnerState owner, OwnerLog log) {
        if (log.incarnation < owner.incarnation && log.size() == 0) {
            owner.logs.remove(log.incarnation);
            addChange(name, log.incarnation, null);
        }
        while (owner.logs.size() > RecordStore.MAX_ENDED_INCARNATIONS + 1) {
            OwnerLog oldest = owner.logs.pollFirstEntry().getValue();
            addAlarm(name + " has more than " + RecordStore.MAX_ENDED_INCARNATIONS
                    + " incarnations whose counters are not folded: incarnation " + oldest.incarnation
                    + " is dropped with " + oldest.records());
            oldest.records().forEach(record -> addChange(name, oldest.incarnation, record.recordKey()));
            addChange(name, oldest.incarnation, null);
        }
    }

    /**
     * Two processes wrote in this owner's newest incarnation: its records are not read until a later one.
     *
     * @return whether this is new
     */
    boolean quarantine(String name, OwnerState owner, String reason) {
        if (owner.quarantineReason != null) {
            return false;
        }
        owner.quarantineReason = reason;
        addAlarm(reason + ": its records are quarantined until a later incarnation");
        OwnerLog log = owner.newestLog();
        if (log != null) {
            log.records().forEach(record -> addChange(name, owner.incarnation, record.recordKey()));
        }
        return true;
    }

    // ---- records ----

    /**
     * Applies one write. A counter that is folded into a later incarnation stays out, and those that are folded into
     * this one are dropped in the same step.
     */
    void apply(OwnerState owner, OwnerLog log, ReplicatedRecord record, double nowMs) {
        if (record.space().kind() == RecordSpace.Kind.REGISTER) {
            if (log.incarnation == owner.incarnation && log.apply(record, nowMs)) {
                addChange(log.owner, log.incarnation, record.recordKey());
            }
            return;
        }
        if (isFoldedIntoLater(owner, log, record)) {
            return;
        }
        if (log.apply(record, nowMs)) {
            addChange(log.owner, log.incarnation, record.recordKey());
            dropFolded(owner, log, record);
        }
    }

    private static boolean isFoldedIntoLater(OwnerState owner, OwnerLog log, ReplicatedRecord record) {
        for (OwnerLog later : owner.logs.tailMap(log.incarnation, false).values()) {
            ReplicatedRecord folded = later.get(record.recordKey());
            if (folded != null && folded.foldedBelow() > log.incarnation) {
                return true;
            }
        }
        return false;
    }

    private void dropFolded(OwnerState owner, OwnerLog log, ReplicatedRecord record) {
        long below = Math.min(record.foldedBelow(), log.incarnation);
        for (OwnerLog earlier : List.copyOf(owner.logs.headMap(below).values())) {
            earlier.drop(record.recordKey());
            addChange(log.owner, earlier.incarnation, record.recordKey());
            removeObsoleteLogs(log.owner, owner, earlier);
        }
    }

    /** One write was found with two contents: the newest incarnation is quarantined, of counters the greater stays. */
    void resolveConflict(OwnerState owner, OwnerLog log, ReplicatedRecord ours, ReplicatedRecord theirs) {
        String conflict = "one write of " + log.owner + " with two contents: here " + ours + ", there " + theirs;
        if (log.incarnation == owner.incarnation) {
            quarantine(log.owner, owner, conflict);
        } else if (theirs.count() > ours.count() && theirs.recordKey().equals(ours.recordKey())) {
            addAlarm(conflict + ": the greater count stays");
            log.replace(theirs, 0);
            addChange(log.owner, log.incarnation, ours.recordKey());
        }
    }
}
