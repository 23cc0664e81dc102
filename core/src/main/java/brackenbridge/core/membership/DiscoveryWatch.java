package brackenbridge.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Keeps one watch open at discovery: opens it, detects when it is silent, opens it again, and decides which endpoint
 * list is accepted.
 *
 * <p>Guarantee: once started, the node either has a watch open or has scheduled the next one; after the first call
 * that is at an agent never later than 150 ms, at a service 2.4 s, and at most one call is open at a time. Assumes that
 * {@link #onTimer} is called as commanded. Times are milliseconds of the one clock.
 *
 * <p>A watch without a message for {@code silenceMs} ends: discovery sends one every 2 s. At an agent no delay
 * follows: it is silent while the discovery behind it is down, and the node counts as notified of what it has, so the
 * next watch opens at once. At a service the next one follows soon as well, since the node counts as notified of what
 * a silent watch misses 6 s after its last message.
 */
public final class DiscoveryWatch {
    /** A watch that ended sooner counts as failed, whatever it sent: guards against an end that follows each list. */
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
    private int failures;
    private double nextOpenMs = Double.POSITIVE_INFINITY;
    /** The one timer that is pending; guards against superseded timers that would each schedule another. */
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

    /** The node starts with a list of this version, -1 if it has none. */
    public List<DiscoveryCommand> start(double nowMs, long heldVersion) {
        version = heldVersion;
        nextOpenMs = nowMs + source.firstCallDelayMs(random);
        return advance(nowMs);
    }

    /** The version of the list that is held. */
    public long version() {
        return version;
    }

    /**
     * Offers a list from the configuration or another process; returns whether it is newer than the one that is held.
     */
    public boolean acceptVersion(long otherVersion, boolean orEqual) {
        boolean newer = otherVersion > version || orEqual && otherVersion == version;
        version = newer ? otherVersion : version;
        return newer;
    }

    /** Lists come from this source from now on; a delayed next call uses its delays. */
    public List<DiscoveryCommand> changeSource(double nowMs, DiscoverySource newSource) {
        if (currentCall < 0 && nextOpenMs < Double.POSITIVE_INFINITY && !newSource.equals(source)) {
            nextOpenMs = Math.min(nextOpenMs, nowMs + newSource.retryDelayMs(Math.max(1, failures), random));
        }
        source = newSource;
        return advance(nowMs);
    }

    /**
     * Opens a watch now in place of the current one.
     *
     * @param elsewhere whether discovery has moved: its versions can't be compared with the old ones
     */
    public List<DiscoveryCommand> reopen(double nowMs, boolean elsewhere) {
        discoveryMoved |= elsewhere;
        // Guards the new address against the back-off of the old one: it has rejected no call.
        failures = elsewhere ? 0 : failures;
        nextOpenMs = nowMs;
        List<DiscoveryCommand> commands = new ArrayList<>();
        if (currentCall >= 0) {
            commands.add(new DiscoveryCommand.EndCall(currentCall, false));
            currentCall = -1;
        }
        commands.addAll(advance(nowMs));
        return commands;
    }

    /** Discovery has sent a list or a change on this call; returns whether it is accepted. */
    public boolean onEndpointList(double nowMs, long call, long newVersion, boolean complete) {
        if (!isOpen(call)) {
            return false;
        }
        boolean first = !listReceivedOnCall;
        listReceivedOnCall = true;
        lastMessageMs = nowMs;
        // Guards against a message that a newer list has superseded: an old version must not restore servers. The first
        // message of a watch may repeat the version that is held. Versions of a discovery that has moved can't be
        // compared with the old ones.
        if ((newVersion < version || newVersion == version && !first) && !(discoveryMoved && complete)) {
            return false;
        }
        discoveryMoved = false;
        version = newVersion;
        return true;
    }

    /** Discovery has reported on this call that nothing has changed. */
    public void onHeartbeat(double nowMs, long call) {
        lastMessageMs = isOpen(call) ? nowMs : lastMessageMs;
    }

    /** Whether this is the current call. */
    public boolean isOpen(long call) {
        return call >= 0 && call == currentCall;
    }

    /** This call has ended or failed; ignored if it is not the current one. */
    public List<DiscoveryCommand> onCallEnded(double nowMs, long call) {
        if (!isOpen(call)) {
            return List.of();
        }
        currentCall = -1;
        failures = messageReceivedOnCall() && nowMs - openedAtMs >= MIN_STABLE_WATCH_MS ? 1 : failures + 1;
        nextOpenMs = nowMs + source.retryDelayMs(failures, random);
        return advance(nowMs);
    }

    /** Whether the current call, or the last one, has brought any message. */
    private boolean messageReceivedOnCall() {
        return listReceivedOnCall || lastMessageMs >= openedAtMs;
    }

    /** The time since the last message of discovery, in milliseconds; infinite if there was none. */
    public double silentMs(double nowMs) {
        return nowMs - lastMessageMs;
    }

    /** The time of a {@link DiscoveryCommand.Wake} has come; superseded timers are ignored. */
    public List<DiscoveryCommand> onTimer(double nowMs, long timer) {
        if (timer != currentTimer) {
            return List.of();
        }
        nextWakeMs = Double.POSITIVE_INFINITY;
        return advance(nowMs);
    }

    /** Does what is due, and schedules a timer for what is due next. */
    private List<DiscoveryCommand> advance(double nowMs) {
        List<DiscoveryCommand> commands = new ArrayList<>();
        if (currentCall >= 0 && nowMs >= lastActivityMs() + silenceMs) {
            commands.add(new DiscoveryCommand.EndCall(currentCall, true));
            currentCall = -1;
            // Silence does not mean that discovery rejects calls.
            failures = 0;
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
