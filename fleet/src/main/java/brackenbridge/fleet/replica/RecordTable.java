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
 * All owners with their logs, and the rules for applying one record. It also collects changes and alarms for the
 * operator. Mutable; guarded by the lock that guards the {@link RecordStore}.
 */
final class RecordTable {
    /** The maximum number of alarms that are kept until they are drained. */
    private static final int MAX_ALARMS = 256;

    /**
     * A change of a record or of a log.
     *
     * @param owner the owner's name
     * @param incarnation the owner's incarnation
     * @param key the changed record; null if the position of the log changed or the log was dropped
     */
    record Change(String owner, long incarnation, RecordKey key) {}

    private final TreeMap<String, OwnerState> owners = new TreeMap<>();
    /** The same owners hashed by name: in a fleet of a thousand, each message looks up many names. */
    private final Map<String, OwnerState> ownersByHash = new HashMap<>();

    private final boolean tracksChanges;
    private final Set<Change> changes = new LinkedHashSet<>();
    private final List<String> alarms = new ArrayList<>();

    /**
     * Creates an empty table.
     *
     * @param tracksChanges whether changes are collected for {@link #drainChanges}
     */
    RecordTable(boolean tracksChanges) {
        this.tracksChanges = tracksChanges;
    }

    /** A deep copy, which does not track changes. */
    RecordTable copy() {
        RecordTable copy = new RecordTable(false);
        owners.forEach((name, owner) -> copy.owners.put(name, owner.copy()));
        copy.ownersByHash.putAll(copy.owners);
        return copy;
    }

    // ---- lookup ----

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

    /** An owner; null if it is unknown. */
    OwnerState find(String name) {
        return ownersByHash.get(name);
    }

    /** An owner, added if it is unknown; null if there are {@link RecordStore#MAX_OWNERS} already. */
    OwnerState findOrAdd(String name) {
        OwnerState owner = ownersByHash.get(name);
        if (owner == null && owners.size() < RecordStore.MAX_OWNERS) {
            owner = new OwnerState();
            owners.put(name, owner);
            ownersByHash.put(name, owner);
        }
        return owner;
    }

    /** The log of one incarnation; null if there is none here. */
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

    /** The changes since the last call. */
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

    /** The alarms since the last call. */
    List<String> drainAlarms() {
        List<String> drained = List.copyOf(alarms);
        alarms.clear();
        return drained;
    }

    // ---- incarnations ----

    /**
     * Advances an owner to a later incarnation, which ends all earlier ones.
     *
     * @return whether it is later than the newest known one
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

    /** Removes this log if its incarnation has ended and it is empty, and the oldest logs above the maximum number. */
    void removeObsoleteLogs(String name, OwnerState owner, OwnerLog log) {
        if (log.incarnation < owner.incarnation && log.size() == 0) {
            owner.logs.remove(log.incarnation);
            addChange(name, log.incarnation, null);
        }
        while (owner.logs.size() > RecordStore.MAX_ENDED_INCARNATIONS + 1) {
            OwnerLog oldest = owner.logs.pollFirstEntry().getValue();
            addAlarm(name + " has more than " + RecordStore.MAX_ENDED_INCARNATIONS
                    + " ended incarnations with counters that are not folded; dropped incarnation " + oldest.incarnation
                    + " with " + oldest.records());
            oldest.records().forEach(record -> addChange(name, oldest.incarnation, record.recordKey()));
            addChange(name, oldest.incarnation, null);
        }
    }

    /**
     * Quarantines an owner's newest incarnation, in which two processes wrote: its registers are not read until there
     * is a later incarnation.
     *
     * @return whether it was not quarantined before
     */
    boolean quarantine(String name, OwnerState owner, String reason) {
        if (owner.quarantineReason != null) {
            return false;
        }
        owner.quarantineReason = reason;
        addAlarm(reason + "; its records are quarantined until a later incarnation");
        OwnerLog log = owner.newestLog();
        if (log != null) {
            log.records().forEach(record -> addChange(name, owner.incarnation, record.recordKey()));
        }
        return true;
    }

    // ---- records ----

    /**
     * Applies one write. A counter that was folded into a later incarnation is ignored; counters that were folded into
     * this one are dropped from earlier incarnations in the same step.
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
        for (OwnerLog laterLog : owner.logs.tailMap(log.incarnation, false).values()) {
            ReplicatedRecord folded = laterLog.get(record.recordKey());
            if (folded != null && folded.foldedBelow() > log.incarnation) {
                return true;
            }
        }
        return false;
    }

    private void dropFolded(OwnerState owner, OwnerLog log, ReplicatedRecord record) {
        long endBefore = Math.min(record.foldedBelow(), log.incarnation);
        for (OwnerLog earlierLog : List.copyOf(owner.logs.headMap(endBefore).values())) {
            earlierLog.drop(record.recordKey());
            addChange(log.owner, earlierLog.incarnation, record.recordKey());
            removeObsoleteLogs(log.owner, owner, earlierLog);
        }
    }

    /**
     * Resolves a conflict of two contents of one write: the newest incarnation is quarantined; in an ended one the
     * greater count is kept.
     */
    void resolveConflict(OwnerState owner, OwnerLog log, ReplicatedRecord ours, ReplicatedRecord theirs) {
        String conflict =
                "conflicting contents of one write of " + log.owner + ": here " + ours + ", at a peer " + theirs;
        if (log.incarnation == owner.incarnation) {
            quarantine(log.owner, owner, conflict);
        } else if (theirs.count() > ours.count() && theirs.recordKey().equals(ours.recordKey())) {
            addAlarm(conflict + "; the greater count is kept");
            log.replace(theirs, 0);
            addChange(log.owner, log.incarnation, ours.recordKey());
        }
    }
}
