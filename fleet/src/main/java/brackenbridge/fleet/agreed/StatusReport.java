package brackenbridge.fleet.agreed;

import brackenbridge.core.generation.DecidedVersion;
import java.util.Locale;

/** Renders the status of a member as text for operators; to be called on the member's thread. */
final class StatusReport {
    private final MemberContext context;
    private final RaftConsensus consensus;
    private final LeaderService leaderService;
    private final LeaseClient leaseClient;
    private final RequestClient requests;
    private final VoterRecovery recovery;

    StatusReport(
            MemberContext context,
            RaftConsensus consensus,
            LeaderService leaderService,
            LeaseClient leaseClient,
            RequestClient requests,
            VoterRecovery recovery) {
        this.context = context;
        this.consensus = consensus;
        this.leaderService = leaderService;
        this.leaseClient = leaseClient;
        this.requests = requests;
        this.recovery = recovery;
    }

    /** Renders the current status, one property per line. */
    String render() {
        double nowMs = context.nowMs();
        StringBuilder report = new StringBuilder();
        String leader = !consensus.leader().isEmpty() ? consensus.leader() : leaseClient.believedLeader();
        double leaseLeftMs = leaseClient.view().leaseUntilMs() - nowMs;
        appendLine(report, "member", context.name() + role());
        appendLine(report, "leader", leader.isEmpty() ? "none known" : leader);
        appendLine(report, "majority", majority(nowMs));
        appendLine(report, "lease", leaseLeftMs > 0 ? formatMs(leaseLeftMs) + " left" : "over: in doubt");
        if (consensus.isStarted()) {
            appendLine(
                    report,
                    "voters",
                    consensus.committedMembers().getVotingMembers() + ", term " + consensus.raftTerm() + ", reign "
                            + consensus.state().leaderTerm());
            appendLine(report, "disk", recovery.describeDisk());
        }
        for (String name : leaseClient.view().names()) {
            appendLine(report, name, value(name, nowMs));
        }
        requests.roleLeases()
                .forEach((role, lease) -> appendLine(
                        report,
                        "role " + role,
                        lease.holder() + ", token " + lease.token()
                                + (requests.heldLease(role).isPresent()
                                        ? ", " + formatMs(lease.untilMs() - nowMs) + " left"
                                        : "")));
        appendLine(report, "alarm", context.alarm().isRaised() ? context.alarm().text() : "none");
        return report.toString();
    }

    private String role() {
        if (consensus.isLeader()) {
            return ", leads";
        }
        if (!context.isVoter()) {
            return ", does not vote";
        }
        if (recovery.isJoining()) {
            return ", joins";
        }
        if (recovery.isDiskFailed()) {
            return ", does not vote: its disk can't be written";
        }
        return consensus.isStarted() ? ", votes" : ", waits for the other voters";
    }

    private String majority(double nowMs) {
        double answeredMs = consensus.isLeader() ? leaderService.majorityConfirmedMs() : leaseClient.lastResponseMs();
        if (answeredMs == Double.NEGATIVE_INFINITY) {
            return consensus.isLeader() ? "not yet" : "never answered";
        }
        return "answered " + formatMs(nowMs - answeredMs) + " ago";
    }

    private String value(String name, double nowMs) {
        DecidedVersion decided = leaseClient.view().decided(name);
        StringBuilder text = new StringBuilder("generation " + decided.inForce() + " in force");
        if (decided.staged() != 0) {
            text.append(", ").append(decided.staged()).append(" staged");
            if (consensus.isLeader()) {
                text.append(", waits for ").append(consensus.leases().pendingHolders(name, nowMs));
            }
        }
        long refused = leaseClient.view().rejectedGeneration(name);
        if (refused != 0) {
            text.append(", ").append(refused).append(" can't be used here");
        }
        return text.toString();
    }

    private static void appendLine(StringBuilder report, String key, String text) {
        report.append(String.format(Locale.ROOT, "%-12s %s%n", key, text));
    }

    private static String formatMs(double ms) {
        return String.format(Locale.ROOT, "%.0f ms", ms);
    }
}
