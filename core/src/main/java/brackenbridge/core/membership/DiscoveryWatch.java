package brackenbridge.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Keeps one watch at discovery: opens it, hears whether it still speaks, opens it again, and says which word holds.
 *
 * <p>Promise: once started, the node either has a watch open or knows when it opens the next one; after the first call
 * that is at an agent never later than 150 ms, at a service 2.4 s, and no more than one call is open at a time. Assumes
 * that {@link #wake} is called when asked for. Times are milliseconds of the one clock.
 *
 * <p>Silence of {@code silenceMs} ends a watch: discovery says something every 2 s. At an agent that is no fault to
 * wait for: it is silent while the discovery behind it is down, and what it has counts as told, so the next watch opens
 * in the same moment. At a service the next one is soon out as well, since what a silent watch misses counts as told
 * 6 s after its last word.
 */
public final class DiscoveryWatch {
    /** A watch that ended sooner has failed, whatever it had said: guards against an end that follows each list. */
    private static final double STOOD_MS = 1000;

    private DiscoverySource source;
    private final double silenceMs;
    private final RandomGenerator random;
    private long version = -1;
    private long calls;
    private long call = -1;
    private boolean toldOnCall;
    private double openedAt;
    private double lastWord = Double.NEGATIVE_INFINITY;
    private boolean moved;
    private int failures;
    private double openAt = Double.POSITIVE_INFINITY;
    /** The one turn that is waited for; guards against timers that were overtaken and would each ask for another. */
    private long turn;

    private double turnAt = Double.POSITIVE_INFINITY;

    /**
     * Makes a node's membership, not yet started.
     *
     * @param silenceMs how long a watch may say nothing, in milliseconds; infinite where each call's end is told
     */
    public DiscoveryWatch(DiscoverySource source, double silenceMs, RandomGenerator random) {
        this.source = source;
        this.silenceMs = silenceMs;
        this.random = random;
    }

    /** The node starts with a list of this version, -1 if it has none. */
    public List<DiscoveryCommand> start(double now, long heldSeq) {
        version = heldSeq;
        openAt = now + source.firstCallDelayMs(random);
        return advance(now);
    }

    /** The version of the list that is held. */
    public long version() {
        return version;
    }

    /** A list of the configuration or of another process: whether it is newer than the one that is held. */
    public boolean acceptVersion(long otherSeq, boolean orEqual) {
        boolean newer = otherSeq > version || orEqual && otherSeq == version;
        version = newer ? otherSeq : version;
        return newer;
    }

    /** Lists come this way from now on; a next call that was put off goes by what it costs here. */
    public List<DiscoveryCommand> changeSource(double now, DiscoverySource next) {
        if (call < 0 && openAt < Double.POSITIVE_INFINITY && !next.equals(source)) {
            openAt = Math.min(openAt, now + next.retryDelayMs(Math.max(1, failures), random));
        }
        source = next;
        return advance(now);
    }

    /**
     * A watch opens now in place of the one there is.
     *
     * @param elsewhere discovery has moved: its versions say nothing beside the old one's
     */
    public List<DiscoveryCommand> reopen(double now, boolean elsewhere) {
        moved |= elsewhere;
        // Guards the new address against what the old one did: its callers were never turned away.
        failures = elsewhere ? 0 : failures;
        openAt = now;
        List<DiscoveryCommand> steps = new ArrayList<>();
        if (call >= 0) {
            steps.add(new DiscoveryCommand.EndCall(call, false));
            call = -1;
        }
        steps.addAll(advance(now));
        return steps;
    }

    /** Discovery has told a list or a change on this call: whether it holds. */
    public boolean onEndpointList(double now, long on, long newSeq, boolean whole) {
        if (!isOpen(on)) {
            return false;
        }
        boolean first = !toldOnCall;
        toldOnCall = true;
        lastWord = now;
        // Guards against word that was overtaken by a newer list: an old version must not bring servers back. The
        // first word of a watch may repeat the version that is held. Versions of a discovery that has moved say
        // nothing beside the old one's.
        if ((newSeq < version || newSeq == version && !first) && !(moved && whole)) {
            return false;
        }
        moved = false;
        version = newSeq;
        return true;
    }

    /** Discovery has said on this call that nothing has changed. */
    public void onHeartbeat(double now, long on) {
        lastWord = isOpen(on) ? now : lastWord;
    }

    /** Whether this is the call that the node goes by. */
    public boolean isOpen(long asked) {
        return asked >= 0 && asked == call;
    }

    /** This call has ended or failed; nothing if it was over already. */
    public List<DiscoveryCommand> onCallEnded(double now, long on) {
        if (!isOpen(on)) {
            return List.of();
        }
        call = -1;
        failures = heardOnCall() && now - openedAt >= STOOD_MS ? 1 : failures + 1;
        openAt = now + source.retryDelayMs(failures, random);
        return advance(now);
    }

    /** Whether this call, or the last one, has said anything. */
    private boolean heardOnCall() {
        return toldOnCall || lastWord >= openedAt;
    }

    /** How long discovery has said nothing, in milliseconds; infinite if it never has. */
    public double silentMs(double now) {
        return now - lastWord;
    }

    /** The turn that was asked for has come; one that was overtaken does nothing. */
    public List<DiscoveryCommand> wake(double now, long ofTurn) {
        if (ofTurn != turn) {
            return List.of();
        }
        turnAt = Double.POSITIVE_INFINITY;
        return advance(now);
    }

    /** Does what is due, and asks to be woken when the next thing is. */
    private List<DiscoveryCommand> advance(double now) {
        List<DiscoveryCommand> steps = new ArrayList<>();
        if (call >= 0 && now >= lastHeardMs() + silenceMs) {
            steps.add(new DiscoveryCommand.EndCall(call, true));
            call = -1;
            // Silence is no word of a caller too many.
            failures = 0;
            openAt = now + source.delayAfterSilenceMs(random);
        }
        if (call < 0 && now >= openAt) {
            call = calls++;
            toldOnCall = false;
            openedAt = now;
            openAt = Double.POSITIVE_INFINITY;
            steps.add(new DiscoveryCommand.OpenWatch(call, version));
        }
        double due = call >= 0 ? lastHeardMs() + silenceMs : openAt;
        if (due < turnAt) {
            turnAt = due;
            steps.add(new DiscoveryCommand.Wake(due, ++turn));
        }
        return steps;
    }

    private double lastHeardMs() {
        return Math.max(openedAt, lastWord);
    }
}
