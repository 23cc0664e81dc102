package brackenbridge.fleet.peer;

/**
 * Lifeguard's local health multiplier (Dadgar, Phillips and Currey, "Lifeguard: local health awareness for more
 * accurate
 * failure detection", 2018): a member that was paused, or whose probes nobody answers, is more likely slow itself, so
 * it suspects others later.
 */
final class LocalHealth {
    /** Greatest score: timeouts of suspicion are multiplied by one more than it at most. */
    static final int MAX_SCORE = 4;
    /** The score falls by one after so many ticks in a row that were in time. */
    private static final int HEALTHY_TICKS = 4;
    /** A gap of more intervals than this is a pause of this process. */
    private static final double PAUSE_INTERVALS = 2;
    /** A tick is in time if it comes within so many intervals. */
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

    /** A heartbeat interval has passed. */
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
     * Notes that this process runs. After a pause the time of it is excused to every member.
     *
     * @return whether there was a pause
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

    /** Others were asked at this tick to probe a silent member. */
    void onProbesSent() {
        if (!probing) {
            probing = true;
            answered = false;
            probesSentAtMs = lastTickMs;
        }
    }

    /** One of those that were asked has answered. */
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

    /** From 0, healthy, to {@link #MAX_SCORE}. */
    int score() {
        return score;
    }

    /** By how much timeouts of suspicion are multiplied. */
    int multiplier() {
        return 1 + score;
    }

    /** How often this process was paused. */
    long pauses() {
        return pauses;
    }
}
