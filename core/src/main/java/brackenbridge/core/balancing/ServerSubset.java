package brackenbridge.core.balancing;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The subset of the servers that this instance uses: the first of its {@link ServerOrder}, as many as its load needs.
 * It also bounds the requests in flight to each of them.
 */
final class ServerSubset {
    private static final int MIN_SIZE = 8;
    /** Requests in flight at a server, from all instances, that the window allows. */
    private static final double IN_FLIGHT_PER_SERVER = 6;
    /** The part of the subset by which it grows in a tick is one in this many. */
    private static final int GROWTH_DIVISOR = 4;
    /** The window is widened only while fewer than one server in this many is ejected. */
    private static final int EJECTED_DIVISOR = 3;
    /** The part of the peak of requests in flight or queued that remains after each tick. */
    private static final double PEAK_DECAY_PER_TICK = 0.97;
    /** The ratio of the golden section: spreads the instances' starting points evenly. */
    private static final double GOLDEN_RATIO = 0.6180339887498949;

    private final ServerOrder order = new ServerOrder();
    /** The servers of the subset when the order was last laid out, and those that joined it since. */
    private final Set<ServerState> members = new LinkedHashSet<>();

    private BalancerSettings settings;
    private int size = MIN_SIZE;
    private int extraWindow;
    private double peakOutstanding;

    /** Applies other settings from now on. */
    void applySettings(BalancerSettings next) {
        settings = next;
    }

    /** All servers that are up. */
    ServerOrder order() {
        return order;
    }

    /** How many servers the subset may have. */
    int size() {
        return size;
    }

    /** The servers of the subset. */
    List<ServerState> members() {
        return List.copyOf(members);
    }

    /** How many servers the subset has now. */
    int usedSize() {
        return Math.min(size, order.size());
    }

    /**
     * Lays the order and the subset out anew: own zone first; in each zone the instances' starting points are spread
     * evenly.
     *
     * @return the members before
     */
    List<ServerState> rebuildMembers() {
        order.rebuild(settings.zone(), settings.instanceIndex() * GOLDEN_RATIO % 1);
        List<ServerState> before = members();
        before.forEach(server -> server.inSubset = false);
        members.clear();
        for (int i = 0; i < order.size() && i < size; i++) {
            addMember(order.get(i));
        }
        return before;
    }

    /** Adds a server to the members. */
    void addMember(ServerState server) {
        server.inSubset = true;
        members.add(server);
    }

    /** The next server of the own zone, by which the subset has grown; null if it has them all. */
    ServerState growInOwnZone() {
        return size < order.ownZoneSize() ? order.get(size++) : null;
    }

    /** The next server, by which the subset has grown; null if it has them all. */
    ServerState growByServer() {
        return size < order.size() ? order.get(size++) : null;
    }

    /** By how many servers the subset may grow in one tick. */
    int growthPerTick() {
        return Math.max(1, size / GROWTH_DIVISOR);
    }

    /** Whether it has servers left to grow by, and these would not leave too few instances at each server. */
    boolean canGrow(int rotationSize, boolean spareCapacity) {
        return size < order.size()
                && (settings.instanceCount() * (double) size / order.size() < 2 * IN_FLIGHT_PER_SERVER
                        || rotationSize < size / 2
                        || spareCapacity);
    }

    /** Whether it is larger than the recent load needs. */
    boolean canShrink() {
        return size > MIN_SIZE && size > 2 * peakOutstanding + 2;
    }

    /** Shrinks by one server and returns it; null if it had no such server. */
    ServerState shrinkByServer() {
        size--;
        ServerState last = order.size() > size ? order.get(size) : null;
        if (last != null) {
            last.inSubset = false;
            members.remove(last);
        }
        return last;
    }

    /** Records how many requests are in flight or queued in this tick. */
    void recordOutstanding(int requests) {
        peakOutstanding = Math.max(requests, peakOutstanding * PEAK_DECAY_PER_TICK);
    }

    /**
     * The most requests in flight to one server: one, but more where too few instances share a server to fill it. A
     * server holds a slot while it waits for the next tier: one request from each of two instances leaves it idle. The
     * instances' traffic may be uneven as well, for which the window is widened, see {@link #adjustWindow}.
     */
    int windowSize() {
        double part = usedSize() / (double) Math.max(1, order.size());
        return extraWindow + (int) Math.max(1, Math.ceil(IN_FLIGHT_PER_SERVER / (settings.instanceCount() * part)));
    }

    /**
     * Widens the window by one where requests wait though all servers are in use and have spare capacity, unless so
     * many are ejected that the requests of these would overload the others; else narrows it by one where it is not
     * needed.
     */
    void adjustWindow(boolean requestsWait, int ejected, int rotationSize, AdmissionControl admission) {
        boolean spareCapacity = admission.hasSpareCapacity();
        if (requestsWait
                && size >= order.size()
                && ejected * EJECTED_DIVISOR < order.size()
                && admission.isCongestionMeasured()
                && spareCapacity) {
            extraWindow++;
        } else if (extraWindow > 0 && (!spareCapacity || peakOutstanding < (windowSize() - 1) * rotationSize)) {
            extraWindow--;
        }
    }
}
