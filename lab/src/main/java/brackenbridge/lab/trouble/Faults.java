package brackenbridge.lab.trouble;

import brackenbridge.core.balancing.EndpointState;
import brackenbridge.lab.model.Scheduler;
import brackenbridge.lab.world.Trouble;
import brackenbridge.lab.world.Trouble.Kind;
import java.util.List;

/** Brings the world's troubles about, each at its time, and ends them. */
public final class Faults {
    /** A drained server is given this long to finish before its process ends. */
    private static final double DRAINED_MS = 5000;
    /** A neighbour takes and gives back by turns of this length. */
    private static final double NEIGHBOUR_MS = 400;
    /** A node that is struck for good comes back after this time all the same. */
    private static final double BACK_MS = 5000;

    private final Stage world;
    private final Scheduler queue;

    /** Troubles of this stage. */
    public Faults(Stage world) {
        this.world = world;
        this.queue = world.scheduler();
    }

    /** Schedules them all, in a run that starts at this time. */
    public void schedule(List<Trouble> troubles, double startMs) {
        for (Trouble t : troubles) {
            if (t.kind() == Kind.BURST) {
                continue;
            }
            if (t.kind().ofNodes()) {
                for (int i = 0; i < Math.min(t.count(), world.nodes().size()); i++) {
                    int which = i;
                    queue.at(
                            startMs + t.atMs() + i * t.everyMs(),
                            () -> node(t, world.nodes().get(which)));
                }
            } else if (t.kind().ofServers()) {
                for (int i = 0; i < t.count(); i++) {
                    queue.at(startMs + t.atMs() + i * t.everyMs(), () -> strike(t));
                }
            } else {
                queue.at(startMs + t.atMs(), () -> discovery(t));
            }
        }
    }

    private void after(Trouble t, Runnable end) {
        if (Double.isFinite(t.forMs())) {
            queue.at(queue.nowMs() + t.forMs(), end);
        }
    }

    private void strike(Trouble t) {
        for (Stage.Server s : world.servers(t.tier())) {
            if (!s.struck() && s.model().alive()) {
                s.strike(true);
                strike(t, s);
                return;
            }
        }
    }

    private void strike(Trouble t, Stage.Server it) {
        switch (t.kind()) {
            case SLOW -> {
                it.model().slow(1 / t.amount());
                after(t, () -> it.model().slow(1));
            }
            case HANG -> {
                it.model().hang(true);
                after(t, () -> it.model().hang(false));
            }
            case NEIGHBOUR -> neighbour(it, t, queue.nowMs() + t.forMs(), true);
            case RESET -> {
                it.model().reset(t.amount());
                after(t, () -> it.model().reset(0));
            }
            case SPOILT -> {
                it.model().spoil(t.amount());
                after(t, () -> it.model().spoil(0));
            }
            case NO_LENGTH -> {
                it.withoutLength(t.amount());
                after(t, () -> it.withoutLength(0));
            }
            case CLASS_FAILS -> {
                it.model().failClass(t.className(), t.amount());
                after(t, () -> it.model().failClass(t.className(), 0));
            }
            case STALE -> {
                it.stale(t.amount());
                after(t, () -> it.stale(Double.POSITIVE_INFINITY));
            }
            case CUT_OFF -> cutOff(t, it);
            case DRAIN -> drain(it, t);
            case LEAVE -> {
                it.list(EndpointState.REMOVED, false);
                queue.at(queue.nowMs() + DRAINED_MS, it::die);
                after(t, () -> restart(it));
            }
            case CRASH -> {
                it.die();
                it.list(EndpointState.REMOVED, true);
                after(t, () -> restart(it));
            }
            case REPLACE -> {
                it.die();
                it.list(EndpointState.REMOVED, true);
                it.start(true);
            }
            default -> throw new IllegalStateException("not of servers: " + t.kind());
        }
        if (Double.isFinite(t.forMs())) {
            queue.at(queue.nowMs() + t.forMs(), () -> it.strike(false));
        }
    }

    private void cutOff(Trouble t, Stage.Server it) {
        it.cutOff(true);
        it.list(EndpointState.REMOVED, true);
        after(t, () -> {
            it.cutOff(false);
            it.list(EndpointState.UP, false);
        });
    }

    private void drain(Stage.Server s, Trouble t) {
        s.list(EndpointState.DRAINING, false);
        // It turns work away only once all may know.
        queue.at(queue.nowMs() + DRAINED_MS, () -> {
            s.model().drain(true);
            queue.at(queue.nowMs() + 1000, () -> {
                s.die();
                s.list(EndpointState.REMOVED, false);
            });
        });
        if (Double.isFinite(t.forMs())) {
            queue.at(queue.nowMs() + Math.max(t.forMs(), DRAINED_MS + 2000), () -> restart(s));
        }
    }

    private static void restart(Stage.Server s) {
        if (!s.model().alive()) {
            s.start(false);
        }
    }

    private void neighbour(Stage.Server s, Trouble t, double until, boolean takes) {
        if (queue.nowMs() >= until) {
            s.model().steal(0);
            return;
        }
        s.model().steal(takes ? t.amount() : 0);
        queue.at(queue.nowMs() + NEIGHBOUR_MS, () -> neighbour(s, t, until, !takes));
    }

    private void node(Trouble t, Stage.Instance n) {
        if (!n.up()) {
            return;
        }
        double back = Double.isFinite(t.forMs()) ? t.forMs() : BACK_MS;
        if (t.kind() == Kind.NODE_KILLED) {
            n.kill();
            queue.at(queue.nowMs() + back, n::start);
        } else {
            n.stop(() -> queue.at(queue.nowMs() + back, n::start));
        }
    }

    private void discovery(Trouble t) {
        Stage.Discovery d = world.discovery(t.tier());
        switch (t.kind()) {
            case DISCOVERY_LATE -> {
                d.late(t.amount());
                after(t, () -> d.late(0));
            }
            case DISCOVERY_SILENT -> {
                d.silent(true);
                after(t, () -> d.silent(false));
            }
            case DISCOVERY_OVERLOADED -> {
                d.overloaded(t.amount());
                after(t, () -> d.overloaded(0));
            }
            case DISCOVERY_ENDS_WATCH -> d.endNextWatchUntold();
            case DISCOVERY_MOVED -> d.moved();
            default -> throw new IllegalStateException("not of discovery: " + t.kind());
        }
    }
}
