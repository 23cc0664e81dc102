package brackenbridge.fleet.peer;

/**
 * Lifeguard's local health multiplier (Dadgar, Phillips and Currey, "Lifeguard: local health awareness for more
 * accurate failure detection", 2018). A member that was paused, or whose probe requests get no reply, is more likely
 * slow itself, so it suspects others later.
 */
final class LocalHealth {
    /** Greatest score; suspicion timeouts are multiplied by the score plus one. */
    static final int MAX_SCORE = 4;
    /** Number of consecutive ticks on time after which the score falls by one. */
    private static final int HEALTHY_TICKS = 4;
    /** A gap of more intervals than this counts as a pause of this process. */
    private static final double PAUSE_INTERVALS = 2;
    /** A tick is on time if it follows the last one within this number of intervals. */
    private static final double IN_TIME_INTERVALS = 1.5;

    private final double intervalMs;
    private final MemberTable members;
    private int score;
    private int healthyTicks;
    private long pauses;
    private double lastTickMs = MemberState.NEVER;
    private double lastActivityMs = MemberState.NEVER;
    private double probesSentAtMs = MemberState.NEVER;
    private boolean probing;
    private boolean answered;

    LocalHealth(double intervalMs, MemberTable members) {
        this.intervalMs = intervalMs;
        this.members = members;
    }

    /** Called once per heartbeat interval. */
    void onTick(double now) {
        boolean paused = onActivity(now);
        if (!paused && now - lastTickMs <= IN_TIME_INTERVALS * intervalMs && ++healthyTicks >= HEALTHY_TICKS) {
            healthyTicks = 0;
            score = Math.max(0, score - 1);
        }
        lastTickMs = now;
        checkProbeAnswers(now);
    }

    /**
     * Records that this process is running. A pause is subtracted from the silence of every member.
     *
     * @return whether the process was paused
     */
    boolean onActivity(double now) {
        double gapMs = lastActivityMs == MemberState.NEVER ? 0 : now - lastActivityMs;
        lastActivityMs = now;
        if (gapMs <= PAUSE_INTERVALS * intervalMs) {
            return false;
        }
        pauses++;
        raiseScore();
        for (MemberState member : members.all()) {
            member.discountSilence(gapMs - intervalMs, now);
        }
        return true;
    }

    /** Probe requests about a silent member were sent at this tick. */
    void onProbesSent() {
        if (!probing) {
            probing = true;
            answered = false;
            probesSentAtMs = lastTickMs;
        }
    }

    /** A helper replied to a probe request. */
    void onProbeAnswered() {
        answered = true;
    }

    private void checkProbeAnswers(double now) {
        if (probing && now - probesSentAtMs > FailureDetector.PROBE_AFTER_INTERVALS * intervalMs) {
            if (!answered) {
                raiseScore();
            }
            probing = false;
        }
    }

    private void raiseScore() {
        score = Math.min(MAX_SCORE, score + 1);
        healthyTicks = 0;
    }

    /** The score, from 0 (healthy) to {@link #MAX_SCORE}. */
    int score() {
        return score;
    }

    /** The factor by which suspicion timeouts are multiplied. */
    int multiplier() {
        return 1 + score;
    }

    /** The number of pauses of this process. */
    long pauses() {
        return pauses;
    }
}
