package brackenbridge.core.connection;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The life of a node's connections to servers. A connection is opening, idle, lent to one forward, or closed and
 * forgotten; a forward asks for one and waits. The oldest wait for a server gets the first connection to it that can
 * be used, whether that one was opened for it, came up late for another or has come free. A connection that is not up
 * soon is joined by another, within a budget; it stays, and is a spare for the next forward when it comes up after all.
 *
 * <p>Nothing here sends or reads: time and values go in, steps come out, to be run in order. Times are milliseconds of
 * one clock. Unknown numbers are passed over, since what they name may have ended meanwhile.
 */
public final class ConnectionPool {
    /** Connections that one wait may have opened at most. */
    private static final int MOST = 3;
    /** A connection is late when it takes so many times the median. */
    private static final double LATE = 4;
    /** And no sooner than this: guards servers against a second handshake for a loop's hiccup. */
    private static final double LEAST_PATIENCE_MS = 5;
    /** Part of the time that a connection may take, after which it is late whatever is usual. */
    private static final double MOST_PATIENCE = 0.25;
    /** A connection that nobody waits for any more may still come up within so many times that time. */
    private static final double LINGER = 4;
    /** Openings for one wait that may fail on this machine and are tried again. */
    private static final int LOCAL_RETRIES = 1;
    /** The pause before such an opening is tried again. */
    private static final double LOCAL_RETRY_MS = 4;
    /** What an opening moves the estimate of the median by. */
    private static final double MOVE = 1.15;
    /** Further openings for each first one, over time: guards servers against handshakes of those that wait. */
    private static final double FURTHER = 0.5;
    /** Further openings that may come at once. */
    private static final double FURTHER_AT_ONCE = 10;
    /** What is known of breaks fades with each lending. */
    private static final double FADE = 0.995;
    /** How many times as often kept connections must break at once as new ones do, to be distrusted. */
    private static final double BLAME = 2;

    private enum State {
        OPENING,
        IDLE,
        LENT
    }

    private static final class Connection {
        final long id;
        final EndpointIdentity peer;
        State state = State.OPENING;
        /** Since when it is in this state. */
        double since;
        /** How long it had been idle when it was lent; negative if it was new. */
        double rested = -1;

        Connection(long id, EndpointIdentity peer, double since) {
            this.id = id;
            this.peer = peer;
            this.since = since;
        }
    }

    private static final class Wait {
        final long id;
        final EndpointIdentity peer;
        final double until;
        double nextAt;
        int opened;
        int failedLocally;

        Wait(long id, EndpointIdentity peer, double until) {
            this.id = id;
            this.peer = peer;
            this.until = until;
        }
    }

    /** All to one server that are not lent, and the forwards that wait there. */
    private static final class Group {
        final ArrayDeque<Connection> opening = new ArrayDeque<>();
        final ArrayDeque<Connection> idle = new ArrayDeque<>();
        final ArrayDeque<Wait> waits = new ArrayDeque<>();
    }

    private final Map<EndpointIdentity, Group> groups = new HashMap<>();
    private final Map<Long, Connection> all = new HashMap<>();
    private final Map<Long, Wait> waits = new HashMap<>();
    private List<ConnectionCommand> steps = new ArrayList<>();
    private long opened;
    private double connectMs;
    private double idleMs;
    /** Kept connections idle for longer are not used, while they break more often than new ones. */
    private double limitMs = Double.POSITIVE_INFINITY;

    private double median;
    private double further = FURTHER_AT_ONCE;
    private double keptLent;
    private double keptBroke;
    private double newLent;
    private double newBroke;

    /**
     * Starts with none.
     *
     * @param connectMs how long a forward waits for a connection
     * @param idleMs for how long one that carries nothing is kept
     */
    public ConnectionPool(double connectMs, double idleMs) {
        applySettings(connectMs, idleMs);
        median = connectMs * MOST_PATIENCE / LATE;
    }

    /** Forwards that ask from now on go by these times. */
    public void applySettings(double connect, double idle) {
        connectMs = connect;
        idleMs = idle;
    }

    /** A forward asks for a connection, under a number never used before. */
    public List<ConnectionCommand> acquire(double now, long wait, EndpointIdentity peer) {
        Group g = groups.computeIfAbsent(peer, p -> new Group());
        while (!g.idle.isEmpty()) {
            Connection c = g.idle.pollLast();
            if (now - c.since < trustMs()) {
                c.rested = now - c.since;
                lend(now, c, wait);
                return taken();
            }
            close(c);
        }
        Wait w = new Wait(wait, peer, now + connectMs);
        waits.put(wait, w);
        g.waits.add(w);
        if (young(now, g) < g.waits.size()) {
            further = Math.min(FURTHER_AT_ONCE, further + FURTHER);
            open(now, g, w);
        }
        wake(w, now);
        return taken();
    }

    /** The forward waits no longer; nothing was sent for it. What was opened for it is another's when it comes up. */
    public List<ConnectionCommand> cancelWait(long wait) {
        Wait w = waits.remove(wait);
        if (w != null) {
            Group g = groups.get(w.peer);
            g.waits.remove(w);
            tidy(w.peer, g);
        }
        return taken();
    }

    /** A moment has come at which something may be due for a wait. */
    public List<ConnectionCommand> onWake(double now, long wait) {
        Wait w = waits.get(wait);
        if (w == null || now < w.nextAt) {
            return taken();
        }
        Group g = groups.get(w.peer);
        if (now >= w.until) {
            boolean local = w.opened == 0 && w.failedLocally > 0;
            giveUp(
                    g,
                    w,
                    local
                            ? ConnectionCommand.FailureReason.FAILED_LOCALLY
                            : ConnectionCommand.FailureReason.UNCONNECTED);
            tidy(w.peer, g);
            return taken();
        }
        boolean first = w.opened == 0;
        if (young(now, g) < g.waits.size() && (first || w.opened < MOST && further >= 1)) {
            further -= first ? 0 : 1;
            open(now, g, w);
        }
        wake(w, now);
        return taken();
    }

    /** A connection is up. */
    public List<ConnectionCommand> onConnected(double now, long connection) {
        Connection c = all.get(connection);
        if (c != null && c.state == State.OPENING) {
            Group g = groups.get(c.peer);
            g.opening.remove(c);
            median = Math.min(connectMs, now - c.since > median ? median * MOVE : Math.max(0.1, median / MOVE));
            offer(now, g, c);
        }
        return taken();
    }

    /** The forward that had it is done with it, and it can carry another. */
    public List<ConnectionCommand> release(double now, long connection) {
        Connection c = all.get(connection);
        if (c != null && c.state == State.LENT) {
            offer(now, groups.computeIfAbsent(c.peer, p -> new Group()), c);
        }
        return taken();
    }

    /** A connection has failed or ended, or is about to be closed. */
    public List<ConnectionCommand> onConnectionEnded(double now, long connection) {
        return onConnectionEnded(now, connection, ConnectionCommand.FailureReason.UNCONNECTED);
    }

    /** A connection could not be begun: the node has no room for it. */
    public List<ConnectionCommand> onNoDescriptor(double now, long connection) {
        return onConnectionEnded(now, connection, ConnectionCommand.FailureReason.NO_ROOM);
    }

    /**
     * A connection could not be opened because a system call failed on this machine. The wait tries once more after a
     * short pause, as what was lacking may be there again, and then is over: another server may still be within reach.
     */
    public List<ConnectionCommand> onLocalFailure(double now, long connection) {
        Connection c = all.remove(connection);
        Group g = c == null ? null : groups.get(c.peer);
        if (g == null) {
            return taken();
        }
        g.idle.remove(c);
        if (g.opening.remove(c)) {
            int without = g.waits.size() - g.opening.size();
            for (Wait w : List.copyOf(g.waits)) {
                if (without-- <= 0) {
                    break;
                }
                // A wait that has none opened will have its own when it is due.
                if (w.opened > 0) {
                    openAgainLater(now, g, w);
                }
            }
        }
        tidy(c.peer, g);
        return taken();
    }

    private void openAgainLater(double now, Group g, Wait w) {
        if (w.failedLocally++ >= LOCAL_RETRIES) {
            giveUp(g, w, ConnectionCommand.FailureReason.FAILED_LOCALLY);
            return;
        }
        w.opened = 0;
        w.nextAt = Math.min(w.until, now + LOCAL_RETRY_MS);
        steps.add(new ConnectionCommand.Wake(w.nextAt, w.id));
    }

    private List<ConnectionCommand> onConnectionEnded(
            double now, long connection, ConnectionCommand.FailureReason why) {
        Connection c = all.remove(connection);
        Group g = c == null ? null : groups.get(c.peer);
        if (g == null) {
            return taken();
        }
        g.idle.remove(c);
        if (g.opening.remove(c)) {
            // Each wait has a connection under way, or none: then it opens its first, or has failed.
            int without = g.waits.size() - g.opening.size();
            for (Wait w : List.copyOf(g.waits)) {
                if (without > 0 && w.opened == 0 && why != ConnectionCommand.FailureReason.NO_ROOM) {
                    without--;
                    open(now, g, w);
                } else if (without > 0) {
                    without--;
                    giveUp(g, w, why);
                }
            }
        }
        tidy(c.peer, g);
        return taken();
    }

    /**
     * The forward that has this connection met its end at once. Guards requests that may not be repeated: servers and
     * what lies between end idle connections sooner than they say, or say nothing. But where new ones break as often,
     * idleness is not the cause, and to throw kept ones away would only cost handshakes and waits.
     *
     * @return whether it counts as one that was dead when it was lent
     */
    public boolean onBrokenAtOnce(long connection) {
        Connection c = all.get(connection);
        if (c == null || c.state != State.LENT) {
            return false;
        }
        if (c.rested < 0) {
            newBroke++;
            return false;
        }
        keptBroke++;
        if (!blamed()) {
            return false;
        }
        limitMs = Math.min(limitMs, c.rested / 4);
        return true;
    }

    /** Closes what has been idle for long; trust comes back. */
    public List<ConnectionCommand> sweep(double now) {
        limitMs = limitMs < idleMs ? limitMs * 1.01 + 0.1 : Double.POSITIVE_INFINITY;
        for (Iterator<Map.Entry<EndpointIdentity, Group>> i = groups.entrySet().iterator(); i.hasNext(); ) {
            Group g = i.next().getValue();
            while (!g.idle.isEmpty() && now - g.idle.peekFirst().since >= idleMs) {
                close(g.idle.pollFirst());
            }
            if (isEmpty(g)) {
                i.remove();
            }
        }
        return taken();
    }

    /** Closes all to this server that carry nothing. */
    public List<ConnectionCommand> closeIdle(EndpointIdentity peer) {
        Group g = groups.get(peer);
        if (g != null) {
            while (!g.idle.isEmpty()) {
                close(g.idle.pollFirst());
            }
            tidy(peer, g);
        }
        return taken();
    }

    /** Closes one idle connection; no step if there is none. */
    public List<ConnectionCommand> closeOneIdle() {
        for (Group g : groups.values()) {
            if (!g.idle.isEmpty()) {
                close(g.idle.pollFirst());
                break;
            }
        }
        return taken();
    }

    /** How many there are, those under way included. */
    public int size() {
        return all.size();
    }

    /** How many forwards wait for one. */
    public int waiting() {
        return waits.size();
    }

    /** A connection that is not up after so long is late, in milliseconds. */
    double patienceMs() {
        return Math.min(connectMs * MOST_PATIENCE, Math.max(LEAST_PATIENCE_MS, median * LATE));
    }

    /** Kept connections are believed alive when they have been idle for less than this, in milliseconds. */
    double trustMs() {
        return blamed() ? Math.min(limitMs, idleMs) : idleMs;
    }

    private boolean blamed() {
        return keptBroke * Math.max(1, newLent) > BLAME * keptLent * newBroke;
    }

    private void lend(double now, Connection c, long wait) {
        keptLent *= FADE;
        keptBroke *= FADE;
        newLent *= FADE;
        newBroke *= FADE;
        if (c.rested < 0) {
            newLent++;
        } else {
            keptLent++;
        }
        c.state = State.LENT;
        c.since = now;
        steps.add(new ConnectionCommand.Assign(c.id, wait));
    }

    /** To the oldest wait, or kept. */
    private void offer(double now, Group g, Connection c) {
        c.rested = c.state == State.OPENING ? -1 : 0;
        Wait w = g.waits.poll();
        if (w != null) {
            waits.remove(w.id);
            lend(now, c, w.id);
            tidy(c.peer, g);
            return;
        }
        c.state = State.IDLE;
        c.since = now;
        g.idle.addLast(c);
    }

    private void open(double now, Group g, Wait w) {
        Connection c = new Connection(opened++, w.peer, now);
        all.put(c.id, c);
        g.opening.add(c);
        w.opened++;
        steps.add(new ConnectionCommand.Open(c.id, c.peer, connectMs * LINGER, w.opened > 1));
    }

    /** Connections under way that may well be up soon. */
    private int young(double now, Group g) {
        int young = 0;
        for (Connection c : g.opening) {
            young += now - c.since < patienceMs() ? 1 : 0;
        }
        return young;
    }

    private void wake(Wait w, double now) {
        w.nextAt = w.opened < MOST ? Math.min(w.until, now + patienceMs()) : w.until;
        steps.add(new ConnectionCommand.Wake(w.nextAt, w.id));
    }

    private void giveUp(Group g, Wait w, ConnectionCommand.FailureReason why) {
        waits.remove(w.id);
        g.waits.remove(w);
        steps.add(new ConnectionCommand.GiveUp(w.id, why));
    }

    private void close(Connection c) {
        all.remove(c.id);
        steps.add(new ConnectionCommand.Close(c.id));
    }

    private static boolean isEmpty(Group g) {
        return g.opening.isEmpty() && g.idle.isEmpty() && g.waits.isEmpty();
    }

    /** Guards memory: servers come and go under ever new names. */
    private void tidy(EndpointIdentity peer, Group g) {
        if (isEmpty(g)) {
            groups.remove(peer);
        }
    }

    private List<ConnectionCommand> taken() {
        List<ConnectionCommand> taken = steps;
        steps = new ArrayList<>();
        return taken;
    }
}
