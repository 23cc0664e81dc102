package brackenbridge.lab.sim;

import brackenbridge.BalancerApi.EndpointState;
import brackenbridge.lab.world.Trouble;
import brackenbridge.lab.world.Trouble.Kind;
import java.util.ArrayList;
import java.util.List;

/** Brings the world's troubles about, each at its time, and ends them. */
final class SimTroubles {
    /** A drained server is given this long to finish before its process ends. */
    private static final double DRAINED_MS = 5000;
    /** A neighbour takes and gives back by turns of this length. */
    private static final double NEIGHBOUR_MS = 400;
    /** The front takes a node that says that it stops out of turn this long after. */
    private static final double STOP_NOTICED_MS = 300;
    private static final double FRONT_MS = 2000;

    private final Simulation world;
    private final EventQueue queue;

    SimTroubles(Simulation world) {
        this.world = world;
        this.queue = world.queue();
    }

    void schedule(double startMs) {
        for (Trouble t : world.spec().troubles()) {
            if (t.kind() == Kind.BURST) {
                continue;
            }
            if (t.kind().ofNodes()) {
                for (int i = 0; i < Math.min(t.count(), world.nodes().size()); i++) {
                    int which = i;
                    queue.at(startMs + t.atMs() + i * t.everyMs(), () -> node(t, world.nodes().get(which)));
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
        SimServer s = null;
        List<SimServer> candidates = new ArrayList<>(world.tier(t.tier()));
        for (SimServer c : candidates) {
            if (!c.struck && c.model.alive()) {
                s = c;
                break;
            }
        }
        if (s == null) {
            return;
        }
        s.struck = true;
        SimServer it = s;
        switch (t.kind()) {
            case SLOW -> {
                it.model.slow(1 / t.amount());
                after(t, () -> it.model.slow(1));
            }
            case HANG -> {
                it.model.hang(true);
                after(t, () -> it.model.hang(false));
            }
            case NEIGHBOUR -> neighbour(it, t, queue.nowMs() + t.forMs(), true);
            case RESET -> {
                it.model.reset(t.amount());
                after(t, () -> it.model.reset(0));
            }
            case SPOILT -> {
                it.model.spoil(t.amount());
                after(t, () -> it.model.spoil(0));
            }
            case CLASS_FAILS -> {
                it.model.failClass(t.className(), t.amount());
                after(t, () -> it.model.failClass(t.className(), 0));
            }
            case STALE -> {
                it.staleMs = t.amount();
                after(t, () -> it.staleMs = Double.POSITIVE_INFINITY);
            }
            case CUT_OFF -> {
                it.cutOff = true;
                world.discovery(it.tier).changed(world.target(it, EndpointState.REMOVED), true);
                after(t, () -> {
                    it.cutOff = false;
                    world.breakConnections(it);
                    world.discovery(it.tier).changed(world.target(it, EndpointState.UP), false);
                });
            }
            case DRAIN -> drain(it, t);
            case LEAVE -> {
                world.discovery(it.tier).changed(world.target(it, EndpointState.REMOVED), false);
                queue.at(queue.nowMs() + DRAINED_MS, () -> die(it));
                after(t, () -> restart(it));
            }
            case CRASH -> {
                die(it);
                world.discovery(it.tier).changed(world.target(it, EndpointState.REMOVED), true);
                after(t, () -> restart(it));
            }
            case REPLACE -> {
                die(it);
                world.discovery(it.tier).changed(world.target(it, EndpointState.REMOVED), true);
                world.startServer(it, true);
            }
            default -> throw new IllegalStateException("not of servers: " + t.kind());
        }
        if (Double.isFinite(t.forMs())) {
            queue.at(queue.nowMs() + t.forMs(), () -> it.struck = false);
        }
    }

    private void drain(SimServer s, Trouble t) {
        world.discovery(s.tier).changed(world.target(s, EndpointState.DRAINING), false);
        // It turns work away only once all may know.
        queue.at(queue.nowMs() + DRAINED_MS, () -> {
            s.model.drain(true);
            queue.at(queue.nowMs() + 1000, () -> {
                die(s);
                world.discovery(s.tier).changed(world.target(s, EndpointState.REMOVED), false);
            });
        });
        if (Double.isFinite(t.forMs())) {
            queue.at(queue.nowMs() + Math.max(t.forMs(), DRAINED_MS + 2000), () -> restart(s));
        }
    }

    private void die(SimServer s) {
        s.model.die();
        world.breakConnections(s);
        if (s.own != null && s.own.up()) {
            s.own.kill();
        }
    }

    private void restart(SimServer s) {
        if (!s.model.alive()) {
            world.startServer(s, false);
        }
    }

    private void neighbour(SimServer s, Trouble t, double until, boolean takes) {
        if (queue.nowMs() >= until) {
            s.model.steal(0);
            return;
        }
        s.model.steal(takes ? t.amount() : 0);
        queue.at(queue.nowMs() + NEIGHBOUR_MS, () -> neighbour(s, t, until, !takes));
    }

    private void node(Trouble t, SimNode n) {
        if (!n.up()) {
            return;
        }
        double back = Double.isFinite(t.forMs()) ? t.forMs() : 5000;
        if (t.kind() == Kind.NODE_KILLED) {
            n.kill();
            world.nodeDown(n, 0);
            queue.at(queue.nowMs() + back, () -> world.nodeUp(n));
        } else {
            world.nodeDown(n, FRONT_MS - STOP_NOTICED_MS);
            n.stop(() -> queue.at(queue.nowMs() + back, () -> world.nodeUp(n)));
        }
    }

    private void discovery(Trouble t) {
        SimDiscovery d = world.discovery(t.tier());
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
            case DISCOVERY_MOVED -> {
                d.moved();
                world.nodes().stream().filter(SimNode::up).forEach(SimNode::discoveryMoved);
            }
            default -> throw new IllegalStateException("not of discovery: " + t.kind());
        }
    }
}
