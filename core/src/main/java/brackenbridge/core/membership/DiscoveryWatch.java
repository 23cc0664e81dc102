package brackenbridge.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Keeps one watch open at discovery: opens it, detects when it is silent, reopens it, and decides which endpoint lists
 * are accepted.
 *
 * <p>Guarantee: once started, the node either has a watch open or has scheduled the next one, and at most one call is
 * open at a time. After the first call the next one is scheduled within 150 ms at an agent and within 2.4 s at a
 * service. Assumes that {@link #onTimer} is called as commanded. Times are milliseconds of one clock.
 *
 * <p>A watch without a message for {@code silenceMs} ends; discovery sends a message every 2 s. An agent is silent
 * while the discovery behind it is down, and the node counts as notified of what the agent has, so the next watch opens
 * at once. At a service the next watch opens after a short delay, since the node counts as notified of a change that a
 * silent watch misses 6 s after its last message.
 */
public final class DiscoveryWatch {
    /** A watch that ended sooner is a short one, whatever it sent. */
    private static final double MIN_STABLE_WATCH_MS = 1000;

    private DiscoverySource source;
    private final double silenceMs;
    private final RandomGenerator random;
    private long version = -1;
    private long nextCall;
    private long currentCall = -1;
    private boolean listReceivedOnCall;
    private double openedAtMs;
    private double lastMessageMs = Double.NEGATIVE_INFINITY;
    private boolean discoveryMoved;
    /** Consecutive calls that ended without a message: discovery is down or overloaded. */
    private int failedCalls;
    /** Watches that sent a message and ended soon, since the last stable one. */
    private int shortWatches;
    /** The failures by which the next delay is chosen. */
    private int failures;

    private double nextOpenMs = Double.POSITIVE_INFINITY;
    /** The only valid timer. Guards against superseded timers, each of which would schedule another one. */
    private long currentTimer;

    private double nextWakeMs = Double.POSITIVE_INFINITY;

    /**
     * Creates a watch that is not started yet.
     *
     * @param silenceMs how long a watch may be silent, in milliseconds; infinite where the end of each call is reported
     */
    public DiscoveryWatch(DiscoverySource source, double silenceMs, RandomGenerator random) {
        this.source = source;
        this.silenceMs = silenceMs;
        this.random = random;
    }

    /** Starts the watch, with the version of the list that the node has, -1 if none. */
    public List<DiscoveryCommand> start(double nowMs, long currentVersion) {
        version = currentVersion;
        nextOpenMs = nowMs + source.firstCallDelayMs(random);
        return advance(nowMs);
    }

    /** The version of the current list. */
    public long version() {
        return version;
    }

    /**
     * Offers a list from the configuration or another process; returns whether it is accepted as newer than the current
     * one.
     */
    public boolean acceptVersion(long otherVersion, boolean acceptEqual) {
        boolean accepted = otherVersion > version || acceptEqual && otherVersion == version;
        version = accepted ? otherVersion : version;
        return accepted;
    }

    /** Changes the source of lists; a scheduled call is rescheduled by the delays of the new source. */
    public List<DiscoveryCommand> changeSource(double nowMs, DiscoverySource newSource) {
        if (currentCall < 0 && nextOpenMs < Double.POSITIVE_INFINITY && !newSource.equals(source)) {
            nextOpenMs = Math.min(nextOpenMs, nowMs + newSource.retryDelayMs(Math.max(1, failures), random));
        }
        source = newSource;
        return advance(nowMs);
    }

    /**
     * Opens a new watch now in place of the current one.
     *
     * @param moved whether discovery has moved, so that its versions can't be compared with the old ones
     */
    public List<DiscoveryCommand> reopen(double nowMs, boolean moved) {
        discoveryMoved |= moved;
        if (moved) {
            // Guards against applying the back-off of the old address to the new one, which has rejected no call.
            resetFailures();
        }
        nextOpenMs = nowMs;
        List<DiscoveryCommand> commands = new ArrayList<>();
        if (currentCall >= 0) {
            commands.add(new DiscoveryCommand.EndCall(currentCall, false));
            currentCall = -1;
        }
        commands.addAll(advance(nowMs));
        return commands;
    }

    /** Handles a list or a change that discovery has sent on this call; returns whether it is accepted. */
    public boolean onEndpointList(double nowMs, long call, long newVersion, boolean complete) {
        if (!isOpen(call)) {
            return false;
        }
        boolean first = !listReceivedOnCall;
        listReceivedOnCall = true;
        lastMessageMs = nowMs;
        // Guards against superseded messages, since an old version must not restore removed servers. The first message
        // of a watch may repeat the current version. Versions of a discovery that has moved can't be compared with the
        // old ones.
        if ((newVersion < version || newVersion == version && !first) && !(discoveryMoved && complete)) {
            return false;
        }
        discoveryMoved = false;
        version = newVersion;
        return true;
    }

    /** Handles a heartbeat on this call, by which discovery reports that nothing has changed. */
    public void onHeartbeat(double nowMs, long call) {
        lastMessageMs = isOpen(call) ? nowMs : lastMessageMs;
    }

    /** Returns whether this call is open. */
    public boolean isOpen(long call) {
        return call >= 0 && call == currentCall;
    }

    /** Handles the end or failure of this call; ignored if it isn't the current one. */
    public List<DiscoveryCommand> onCallEnded(double nowMs, long call) {
        if (!isOpen(call)) {
            return List.of();
        }
        currentCall = -1;
        failures = countFailure(nowMs);
        nextOpenMs = nowMs + source.retryDelayMs(failures, random);
        return advance(nowMs);
    }

    /** Counts the end of the current call; returns the failures by which the next delay is chosen, at least one. */
    private int countFailure(double nowMs) {
        if (!messageReceivedOnCall()) {
            return ++failedCalls;
        }
        // Guards the drain grace against the back-off of an earlier outage: a service that sends messages accepts calls
        // again, and a watch may end in place of telling a change.
        failedCalls = 0;
        if (nowMs - openedAtMs >= MIN_STABLE_WATCH_MS) {
            shortWatches = 0;
            return 1;
        }
        // Guards against a busy loop at a discovery that ends each watch right after its list.
        return ++shortWatches;
    }

    private void resetFailures() {
        failedCalls = 0;
        shortWatches = 0;
        failures = 0;
    }

    /** Whether any message has been received on the current or the last call. */
    private boolean messageReceivedOnCall() {
        return listReceivedOnCall || lastMessageMs >= openedAtMs;
    }

    /** The time since the last message from discovery, in milliseconds; infinite if there was none. */
    public double silentMs(double nowMs) {
        return nowMs - lastMessageMs;
    }

    /** Handles a timer of {@link DiscoveryCommand.Wake}; superseded timers are ignored. */
    public List<DiscoveryCommand> onTimer(double nowMs, long timer) {
        if (timer != currentTimer) {
            return List.of();
        }
        nextWakeMs = Double.POSITIVE_INFINITY;
        return advance(nowMs);
    }

    /** Carries out what is due, and schedules a timer for what is due next. */
    private List<DiscoveryCommand> advance(double nowMs) {
        List<DiscoveryCommand> commands = new ArrayList<>();
        if (currentCall >= 0 && nowMs >= lastActivityMs() + silenceMs) {
            commands.add(new DiscoveryCommand.EndCall(currentCall, true));
            currentCall = -1;
            // Silence does not mean that discovery rejects calls.
            resetFailures();
            nextOpenMs = nowMs + source.delayAfterSilenceMs(random);
        }
        if (currentCall < 0 && nowMs >= nextOpenMs) {
            currentCall = nextCall++;
            listReceivedOnCall = false;
            openedAtMs = nowMs;
            nextOpenMs = Double.POSITIVE_INFINITY;
            commands.add(new DiscoveryCommand.OpenWatch(currentCall, version));
        }
        double dueMs = currentCall >= 0 ? lastActivityMs() + silenceMs : nextOpenMs;
        if (dueMs < nextWakeMs) {
            nextWakeMs = dueMs;
            commands.add(new DiscoveryCommand.Wake(dueMs, ++currentTimer));
        }
        return commands;
    }

    private double lastActivityMs() {
        return Math.max(openedAtMs, lastMessageMs);
    }
}
