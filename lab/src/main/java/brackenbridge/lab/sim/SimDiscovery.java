package brackenbridge.lab.sim;

import brackenbridge.core.EndpointList;
import brackenbridge.core.Event;
import brackenbridge.core.ServerEndpoint;
import brackenbridge.lab.trouble.Stage;
import brackenbridge.lab.world.ServiceList;
import brackenbridge.lab.world.World;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Discovery of one tier: lists what has changed some time after it has, and tells nodes by watches. Where lists are
 * pushed, the watch is at an agent beside the node: what the agent was sent counts as told, listened to or not, and
 * while discovery is down watches stay open and silent.
 */
final class SimDiscovery implements Stage.Discovery {
    private static final double BEAT_MS = 2000;
    /** An address that is given up closes its watches after this time. */
    private static final double MOVED_MS = 1500;

    private static final class Watch {
        final SimNode node;
        final int life;
        final long call;
        long told;
        boolean over;

        Watch(SimNode node, long call, long told) {
            this.node = node;
            this.life = node.life();
            this.call = call;
            this.told = told;
        }
    }

    private final EventQueue queue;
    private final World.DiscoverySpec spec;
    private final UniformRandomProvider random;
    private final ServiceList list = new ServiceList();
    private final List<Watch> watches = new ArrayList<>();
    private final Supplier<List<SimNode>> nodes;
    private double extraMs;
    private boolean down;
    private double callMs;
    private double busyUntilMs;
    private final List<ServerEndpoint> held = new ArrayList<>();

    /** Discovery whose list is still empty, for these nodes. */
    SimDiscovery(
            EventQueue queue, World.DiscoverySpec spec, UniformRandomProvider random, Supplier<List<SimNode>> nodes) {
        this.nodes = nodes;
        this.queue = queue;
        this.spec = spec;
        this.random = random;
    }

    /** The list as the first nodes know it. */
    EndpointList whole() {
        return list.whole();
    }

    /** Lists a server at once, before the run begins. */
    void begin(ServerEndpoint t) {
        list.begin(t);
    }

    /** A server has changed; it is listed so after the notice. */
    void changed(ServerEndpoint t, boolean silent) {
        double wait = (silent ? spec.silentNoticeMs() : spec.noticeMs()) + extraMs;
        queue.at(queue.nowMs() + wait, () -> {
            if (down && spec.pushed()) {
                held.add(t);
            } else {
                list(t);
            }
        });
    }

    private void list(ServerEndpoint t) {
        list.change(t);
        if (down) {
            return;
        }
        if (spec.pushed()) {
            double at = queue.nowMs() + 1 + spec.spreadMs();
            queue.at(at, () -> nodes.get().stream().filter(SimNode::up).forEach(n -> n.owes(t)));
        }
        List.copyOf(watches).forEach(this::tell);
    }

    private double spread() {
        return 1 + spec.spreadMs() * random.nextDouble();
    }

    private void tell(Watch w) {
        double at = queue.nowMs() + spread();
        queue.at(at, () -> {
            if (w.over || down || w.told >= list.seq() || w.life != w.node.life()) {
                return;
            }
            EndpointList changes = list.since(w.told);
            w.told = list.seq();
            w.node.told(w.call, changes);
        });
    }

    void watch(SimNode node, long call, long after) {
        Watch w = new Watch(node, call, after);
        if (down && !spec.pushed()) {
            queue.at(queue.nowMs() + 2, () -> end(w));
            return;
        }
        watches.add(w);
        first(w);
        beat(w);
    }

    /** The first word of a watch may say that nothing is new. */
    private void first(Watch w) {
        queue.at(queue.nowMs() + spread(), () -> {
            if (!w.over && !down && w.life == w.node.life()) {
                long after = w.told;
                w.told = list.seq();
                w.node.told(w.call, list.since(after));
            }
        });
    }

    private void beat(Watch w) {
        queue.at(queue.nowMs() + BEAT_MS, () -> {
            if (!w.over && w.life == w.node.life()) {
                if (!down) {
                    w.node.raise(new Event.DiscoveryHeartbeat(w.call));
                }
                beat(w);
            }
        });
    }

    private void end(Watch w) {
        if (!w.over) {
            w.over = true;
            watches.remove(w);
            if (w.life == w.node.life()) {
                w.node.raise(new Event.DiscoveryCallEnded(w.call));
            }
        }
    }

    void endCall(SimNode node, long call) {
        for (Watch w : List.copyOf(watches)) {
            if (w.node == node && w.call == call) {
                w.over = true;
                watches.remove(w);
            }
        }
    }

    @Override
    public void late(double ms) {
        extraMs = ms;
    }

    @Override
    public void overloaded(double msForEach) {
        callMs = msForEach;
    }

    @Override
    public void silent(boolean on) {
        down = on;
        if (spec.pushed()) {
            if (!on) {
                held.forEach(this::list);
                held.clear();
                watches.forEach(this::first);
            }
        } else if (on) {
            for (Watch w : List.copyOf(watches)) {
                queue.at(queue.nowMs() + 1, () -> end(w));
            }
        }
    }

    /** Another address: watches at the old one end some time later. */
    @Override
    public void moved() {
        for (Watch w : List.copyOf(watches)) {
            queue.at(queue.nowMs() + MOVED_MS, () -> end(w));
        }
        nodes.get().stream().filter(SimNode::up).forEach(SimNode::discoveryMoved);
    }
}
