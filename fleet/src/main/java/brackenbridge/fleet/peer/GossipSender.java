package brackenbridge.fleet.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Builds the messages to peers. Membership state is piggybacked on heartbeats (SWIM, section 4.1); a message to a
 * suspected member notifies it of the suspicion first (Lifeguard's buddy system).
 */
final class GossipSender {
    /** Number of heartbeat intervals for which a change is gossiped. */
    private static final int CHANGE_INTERVALS = 6;
    /** Number of heartbeat intervals for which a conflict is gossiped. */
    private static final int CONFLICT_INTERVALS = 4 * CHANGE_INTERVALS;

    private static final int MAX_SUSPECTS = GossipReceiver.MAX_SUSPECTS;
    private static final int MAX_CHANGES = 16;
    /** Number of members included in rotation, changed or not. */
    private static final int ROTATED_MEMBERS = 2;

    private final double intervalMs;
    private final MemberTable members;
    private final SelfRefutation refutation;
    private final Random random;

    GossipSender(double intervalMs, MemberTable members, SelfRefutation refutation, Random random) {
        this.intervalMs = intervalMs;
        this.members = members;
        this.refutation = refutation;
        this.random = random;
    }

    /** Builds a message to this member with the entries selected for gossip. */
    FailureDetector.OutgoingMessage newMessage(double now, MemberState to, int flags, List<String> probeRequests) {
        return newMessage(now, to, flags, probeRequests, selectEntries(now, to));
    }

    private List<SwimMessage.Entry> selectEntries(double now, MemberState to) {
        List<MemberState> order = members.all();
        List<SwimMessage.Entry> entries = new ArrayList<>();
        int suspects = 0;
        int changes = 0;
        int start = order.isEmpty() ? 0 : random.nextInt(order.size());
        for (int i = 0; i < order.size(); i++) {
            MemberState member = order.get((start + i) % order.size());
            if (member == to || !member.known) {
                continue;
            }
            if (member.status == MemberStatus.SUSPECT && suspects < MAX_SUSPECTS) {
                suspects++;
                entries.add(member.toEntry(now));
            } else if (now - member.changedMs < CHANGE_INTERVALS * intervalMs && changes < MAX_CHANGES) {
                changes++;
                entries.add(member.toEntry(now));
            } else if (i < ROTATED_MEMBERS) {
                entries.add(member.toEntry(now));
            }
        }
        return entries;
    }

    /** Builds a message to this member with these entries, preceded by the entry about the member itself. */
    FailureDetector.OutgoingMessage newMessage(
            double now, MemberState to, int flags, List<String> probeRequests, List<SwimMessage.Entry> selected) {
        List<SwimMessage.Entry> entries = new ArrayList<>();
        if (now - to.conflictMs < CONFLICT_INTERVALS * intervalMs) {
            entries.add(otherProcessEntry(to));
        } else if (to.known && (to.status == MemberStatus.SUSPECT || to.status == MemberStatus.DEAD)) {
            // Notifies the member of the suspicion, so that it can refute it.
            entries.add(to.toEntry(now));
        }
        for (SwimMessage.Entry entry : selected) {
            if (entries.size() < SwimMessage.MAX_ENTRIES) {
                entries.add(entry);
            }
        }
        int sequence = to.nextSequence(now);
        double ackDelayMs = Math.max(0, now - to.receivedAtMs);
        SwimMessage message = new SwimMessage(
                flags,
                sequence,
                to.receivedSequence,
                ackDelayMs,
                refutation.refutationNumber(),
                entries,
                probeRequests);
        return new FailureDetector.OutgoingMessage(to.name, message);
    }

    /** The entry of the conflicting process that is not at the other end of the connection. */
    private static SwimMessage.Entry otherProcessEntry(MemberState to) {
        FailureDetector.Conflict conflict = to.conflict;
        boolean first = to.connectionInstance == conflict.instance();
        long incarnation = first ? conflict.otherIncarnation() : conflict.incarnation();
        long instance = first ? conflict.otherInstance() : conflict.instance();
        return new SwimMessage.Entry(to.name, incarnation, instance, 0, MemberStatus.ALIVE, false, -1);
    }
}
