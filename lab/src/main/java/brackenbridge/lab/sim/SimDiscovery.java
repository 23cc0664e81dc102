package brackenbridge.lab.sim;

import brackenbridge.BalancerApi.EndpointState;
import brackenbridge.core.Event;
import brackenbridge.core.Target;
import brackenbridge.core.TargetGroup;
import brackenbridge.lab.world.World;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/** Discovery of one tier: lists what has changed some time after it has, and tells nodes by watches and fetches. */
final class SimDiscovery {
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
    private final Map<String, Target> listed = new LinkedHashMap<>();
    private final Map<String, Long> changedAt = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private long seq = 1;
    private double extraMs;
    private boolean down;
    private double callMs;
    private double busyUntilMs;

    SimDiscovery(EventQueue queue, World.DiscoverySpec spec, UniformRandomProvider random) {
        this.queue = queue;
        this.spec = spec;
        this.random = random;
    }

    /** The list as the first nodes know it. */
    TargetGroup whole() {
        return new TargetGroup(seq, true, listed.values().stream()
                .filter(t -> t.state() != EndpointState.REMOVED).toList());
    }

    /** Lists a server at once, before the run begins. */
    void begin(Target t) {
        listed.put(t.host(), t);
        changedAt.put(t.host(), seq);
    }

    /** A server has changed; it is listed so after the notice. */
    void changed(Target t, boolean silent) {
        double wait = (silent ? spec.silentNoticeMs() : spec.noticeMs()) + extraMs;
        queue.at(queue.nowMs() + wait, () -> {
            seq++;
            listed.put(t.host(), t);
            changedAt.put(t.host(), seq);
            if (!down) {
                for (Watch w : List.copyOf(watches)) {
                    tell(w);
                }
            }
        });
    }

    private double spread() {
        return 1 + spec.spreadMs() * random.nextDouble();
    }

    private void tell(Watch w) {
        double at = queue.nowMs() + spread();
        queue.at(at, () -> {
            if (w.over || down || w.told >= seq || w.life != w.node.life()) {
                return;
            }
            List<Target> changes = new ArrayList<>();
            for (Map.Entry<String, Long> e : changedAt.entrySet()) {
                if (e.getValue() > w.told) {
                    changes.add(listed.get(e.getKey()));
                }
            }
            w.told = seq;
            w.node.told(w.call, new TargetGroup(seq, false, changes));
        });
    }

    void watch(SimNode node, long call, long after) {
        Watch w = new Watch(node, call, after);
        if (down) {
            queue.at(queue.nowMs() + 2, () -> end(w));
            return;
        }
        watches.add(w);
        queue.at(queue.nowMs() + spread(), () -> {
            if (!w.over && !down && w.life == node.life()) {
                boolean whole = after < 0;
                w.told = seq;
                List<Target> changes = new ArrayList<>();
                for (Map.Entry<String, Long> e : changedAt.entrySet()) {
                    if (whole ? listed.get(e.getKey()).state() != EndpointState.REMOVED : e.getValue() > after) {
                        changes.add(listed.get(e.getKey()));
                    }
                }
                node.told(call, new TargetGroup(seq, whole, changes));
            }
        });
        beat(w);
    }

    private void beat(Watch w) {
        queue.at(queue.nowMs() + BEAT_MS, () -> {
            if (!w.over && w.life == w.node.life()) {
                if (!down) {
                    w.node.raise(new Event.DiscoveryBeat(w.call));
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
                w.node.raise(new Event.DiscoveryEnded(w.call));
            }
        }
    }

    void fetch(SimNode node, long call) {
        int life = node.life();
        double starts = Math.max(queue.nowMs(), busyUntilMs);
        busyUntilMs = starts + callMs;
        // A call that would wait longer than a second fails, as the platform's discovery does it.
        boolean late = busyUntilMs - queue.nowMs() > 1000;
        double at = late ? queue.nowMs() + 1000 : busyUntilMs + 1;
        queue.at(at, () -> {
            if (life != node.life()) {
                return;
            }
            if (down || late) {
                node.raise(new Event.DiscoveryEnded(call));
            } else {
                node.told(call, whole());
            }
        });
    }

    void endCall(SimNode node, long call) {
        for (Watch w : List.copyOf(watches)) {
            if (w.node == node && w.call == call) {
                w.over = true;
                watches.remove(w);
            }
        }
    }

    void late(double ms) {
        extraMs = ms;
    }

    void overloaded(double msForEach) {
        callMs = msForEach;
    }

    void silent(boolean on) {
        down = on;
        if (on) {
            for (Watch w : List.copyOf(watches)) {
                queue.at(queue.nowMs() + 1, () -> end(w));
            }
        }
    }

    /** Another address: watches at the old one end some time later. */
    void moved() {
        for (Watch w : List.copyOf(watches)) {
            queue.at(queue.nowMs() + MOVED_MS, () -> end(w));
        }
    }
}
