package brackenbridge.fleet.peer;

import java.util.List;

/** Applies gossip about members (SWIM, section 4.1), taking the age of its evidence into account. */
final class GossipReceiver {
    /** Maximum number of entries about suspected members in one message. */
    static final int MAX_SUSPECTS = 16;

    private final String self;
    private final PeerLimits limits;
    private final MemberTable members;
    private final Suspicion suspicion;
    private final SelfRefutation refutation;

    GossipReceiver(
            String self, PeerLimits limits, MemberTable members, Suspicion suspicion, SelfRefutation refutation) {
        this.self = self;
        this.limits = limits;
        this.members = members;
        this.suspicion = suspicion;
        this.refutation = refutation;
    }

    /**
     * Applies one entry of a message.
     *
     * @param sentMs a lower bound of the time at which the message was sent
     * @param replies receives the entries to send back at once
     */
    void apply(double now, MemberState from, double sentMs, SwimMessage.Entry entry, List<SwimMessage.Entry> replies) {
        if (entry.name().equals(self)) {
            refutation.onEntry(sentMs, entry);
            return;
        }
        MemberState member = members.get(entry.name());
        boolean useless = member == null || member == from || entry.status() == MemberStatus.UNKNOWN;
        if (useless || member.known && entry.incarnation() < member.incarnation) {
            return;
        }
        if (!member.known || entry.incarnation() > member.incarnation) {
            beginIncarnation(now, member, sentMs, entry);
        }
        if (entry.instance() != member.instance) {
            members.recordConflict(now, member, entry.incarnation(), entry.instance());
            return;
        }
        member.raiseRefutationNumber(now, entry.refutationNumber());
        if (entry.ageMs() >= 0 && sentMs - entry.ageMs() > member.lastAliveMs) {
            member.preferredHelper = from.name;
            member.recordAlive(sentMs - entry.ageMs());
        }
        applyStatus(now, from, member, entry, replies);
        suspicion.evaluate(now, member);
    }

    private void beginIncarnation(double now, MemberState member, double sentMs, SwimMessage.Entry entry) {
        // Starts with the reported status, so that a dead process is not first reported as alive.
        suspicion.beginIncarnation(now, member, entry.incarnation(), entry.instance(), entry.status());
        member.deadRefutationNumber = entry.status() == MemberStatus.DEAD ? entry.refutationNumber() : -1;
        if (entry.ageMs() < 0) {
            member.recordAlive(sentMs);
        }
    }

    private void applyStatus(
            double now,
            MemberState from,
            MemberState member,
            SwimMessage.Entry entry,
            List<SwimMessage.Entry> replies) {
        if (entry.left()) {
            suspicion.markLeft(now, member);
        } else if (entry.status() == MemberStatus.ALIVE) {
            member.suspectedBy.remove(from.name);
        } else if (entry.refutationNumber() >= member.refutationNumber) {
            member.suspectedBy.add(from.name);
            boolean heardHere = member.silenceMs(now) < FailureDetector.PROBE_AFTER_INTERVALS * limits.heartbeatMs();
            if (!member.left && heardHere && replies.size() < MAX_SUSPECTS) {
                replies.add(member.toEntry(now));
            }
        }
    }
}
