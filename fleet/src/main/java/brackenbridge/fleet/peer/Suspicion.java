package brackenbridge.fleet.peer;

/**
 * Derives a member's status from its silence. A member is suspected before it is declared dead and can refute the
 * suspicion (SWIM, section 4.2). The timeout of a suspicion shrinks as other members confirm it and grows with the
 * local health multiplier (Lifeguard's LHA-Suspicion).
 */
final class Suspicion {
    /** Number of confirmations at which the timeout reaches its minimum; Lifeguard's K. */
    private static final int MAX_CONFIRMATIONS = 3;
    /** The timeout without any confirmation, as a multiple of the minimum. */
    private static final double UNCONFIRMED_FACTOR = 2;

    private final PeerLimits limits;
    private final MemberTable members;
    private final LocalHealth localHealth;
    private long suspicions;
    private long falseSuspicions;
    private long deaths;

    Suspicion(PeerLimits limits, MemberTable members, LocalHealth localHealth) {
        this.limits = limits;
        this.members = members;
        this.localHealth = localHealth;
    }

    /** Updates the member's status from its silence. */
    void evaluate(double now, MemberState member) {
        if (!member.known || member.left) {
            return;
        }
        double silenceMs = member.silenceMs(now);
        double suspectMs = limits.suspectAfterMs() * localHealth.multiplier();
        if (member.status == MemberStatus.DEAD) {
            if (member.refutationNumber > member.deadRefutationNumber && silenceMs < suspectMs) {
                setStatus(now, member, MemberStatus.ALIVE, false);
            }
        } else if (silenceMs < suspectMs) {
            setStatus(now, member, MemberStatus.ALIVE, false);
        } else if (silenceMs < deadAfterMs(member)) {
            setStatus(now, member, MemberStatus.SUSPECT, false);
        } else {
            member.deadRefutationNumber = member.refutationNumber;
            setStatus(now, member, MemberStatus.DEAD, false);
        }
    }

    /**
     * Lifeguard's suspicion timeout: falls with the logarithm of the number of members that suspect the same one, from
     * twice the configured time to the configured time.
     */
    private double deadAfterMs(MemberState suspect) {
        int others = 0;
        int confirmations = 0;
        for (MemberState other : members.all()) {
            if (other != suspect && other.connected && other.status == MemberStatus.ALIVE) {
                others++;
                confirmations += suspect.suspectedBy.contains(other.name) ? 1 : 0;
            }
        }
        int expected = Math.min(MAX_CONFIRMATIONS, others);
        double confirmed = expected == 0 ? 1 : Math.log(1 + Math.min(confirmations, expected)) / Math.log(1 + expected);
        return limits.deadAfterMs() * (UNCONFIRMED_FACTOR - confirmed) * localHealth.multiplier();
    }

    /** Starts tracking another process of the member, with this status. */
    void beginIncarnation(double now, MemberState member, long incarnation, long instance, MemberStatus status) {
        member.beginIncarnation(now, incarnation, instance);
        setStatus(now, member, status, true);
    }

    /** The member announced its shutdown. */
    void markLeft(double now, MemberState member) {
        if (!member.left) {
            member.left = true;
            member.changedMs = now;
            setStatus(now, member, MemberStatus.DEAD, false);
        }
    }

    private void setStatus(double now, MemberState member, MemberStatus status, boolean newIncarnation) {
        if (member.status == status && !newIncarnation) {
            return;
        }
        if (status == MemberStatus.SUSPECT) {
            suspicions++;
        } else if (status == MemberStatus.DEAD && !member.left) {
            deaths++;
        } else if (member.status == MemberStatus.SUSPECT && !newIncarnation) {
            falseSuspicions++;
        }
        if (status == MemberStatus.ALIVE) {
            member.suspectedBy.clear();
        }
        member.status = status;
        member.changedMs = now;
        members.addChange(member);
    }

    long suspicions() {
        return suspicions;
    }

    /** Suspicions that ended with the member alive in the same incarnation. */
    long falseSuspicions() {
        return falseSuspicions;
    }

    long deaths() {
        return deaths;
    }
}
