package brackenbridge.fleet.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The other members by name, and the pending status changes and name conflicts. */
final class MemberTable {
    private final String self;
    private final Random random;
    private final Map<String, MemberState> byName = new HashMap<>();
    private final List<MemberState> order = new ArrayList<>();
    private final List<FailureDetector.Change> changes = new ArrayList<>();
    private final List<FailureDetector.Conflict> conflicts = new ArrayList<>();

    MemberTable(String self, Random random) {
        this.self = self;
        this.random = random;
    }

    /** The member with this name; null if there is none. */
    MemberState get(String name) {
        return byName.get(name);
    }

    /** All members, in a random order. */
    List<MemberState> all() {
        return order;
    }

    /** Replaces the set of members; one that is no longer in it is reported dead and forgotten. */
    void update(Collection<String> names) {
        for (Iterator<MemberState> i = order.iterator(); i.hasNext(); ) {
            MemberState member = i.next();
            if (!names.contains(member.name)) {
                if (member.status != MemberStatus.DEAD && member.status != MemberStatus.UNKNOWN) {
                    changes.add(new FailureDetector.Change(member.name, MemberStatus.DEAD, member.incarnation));
                }
                byName.remove(member.name);
                i.remove();
            }
        }
        for (String name : names) {
            if (!name.equals(self) && !byName.containsKey(name)) {
                MemberState member = new MemberState(name);
                byName.put(name, member);
                order.add(member);
            }
        }
        // The order of probes and gossip differs from member to member (SWIM, section 4.3).
        Collections.shuffle(order, random);
    }

    /** The number of members with this status. */
    int count(MemberStatus status) {
        int count = 0;
        for (MemberState member : order) {
            count += member.status == status ? 1 : 0;
        }
        return count;
    }

    /** The number of live members that have not acknowledged this member's messages for longer than this. */
    int countOneWay(double unheardMs) {
        int count = 0;
        for (MemberState member : order) {
            boolean oneWay =
                    member.connected && member.status == MemberStatus.ALIVE && member.unacknowledgedForMs > unheardMs;
            count += oneWay ? 1 : 0;
        }
        return count;
    }

    void addChange(MemberState member) {
        changes.add(new FailureDetector.Change(member.name, member.status, member.incarnation));
    }

    /** Records another process of a known member; it is gossiped, and reported once per process. */
    void recordConflict(double now, MemberState member, long otherIncarnation, long otherInstance) {
        member.conflict = new FailureDetector.Conflict(
                member.name, member.incarnation, member.instance, otherIncarnation, otherInstance);
        member.conflictMs = now;
        if (member.reportedInstance != otherInstance) {
            member.reportedInstance = otherInstance;
            conflicts.add(member.conflict);
        }
    }

    void addConflict(FailureDetector.Conflict conflict) {
        conflicts.add(conflict);
    }

    /** Returns the changes since the last call. */
    List<FailureDetector.Change> drainChanges() {
        List<FailureDetector.Change> taken = List.copyOf(changes);
        changes.clear();
        return taken;
    }

    /** Returns the conflicts since the last call. */
    List<FailureDetector.Conflict> drainConflicts() {
        List<FailureDetector.Conflict> taken = List.copyOf(conflicts);
        conflicts.clear();
        return taken;
    }
}
