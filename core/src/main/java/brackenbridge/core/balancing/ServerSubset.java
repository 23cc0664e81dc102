package brackenbridge.core.balancing;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The subset of the servers that this instance uses: the first ones of its {@link ServerOrder}, as many as its load
 * needs. It also limits the requests in flight to each of them.
 */
final class ServerSubset {
    private static final int MIN_SIZE = 8;
    /** The requests in flight at one server, from all instances together, for which the window is sized. */
    private static final double IN_FLIGHT_PER_SERVER = 6;
    /** The subset grows by its size divided by this per tick. */
    private static final int GROWTH_DIVISOR = 4;
    /** The window is widened only while fewer than one in this many servers is ejected. */
    private static final int EJECTED_DIVISOR = 3;
    /** The fraction of the peak of outstanding requests that remains after each tick. */
    private static final double PEAK_DECAY_PER_TICK = 0.97;
    /** The inverse golden ratio; its multiples spread the instances' starting points evenly over a ring. */
    private static final double GOLDEN_RATIO = 0.6180339887498949;

    private final ServerOrder order = new ServerOrder();
    /** The servers of the subset when the order was last rebuilt, and those added since. */
    private final Set<ServerState> members = new LinkedHashSet<>();

    private BalancerSettings settings;
    private int size = MIN_SIZE;
    private int extraWindow;
    private double peakOutstanding;

    /** Applies new settings. */
    void applySettings(BalancerSettings next) {
        settings = next;
    }

    /** All servers that are up. */
    ServerOrder order() {
        return order;
    }

    /** The target size of the subset; more servers may not be available. */
    int size() {
        return size;
    }

    /** The servers of the subset. */
    List<ServerState> members() {
        return List.copyOf(members);
    }

    /** The number of servers in the subset now. */
    int usedSize() {
        return Math.min(size, order.size());
    }

    /**
     * Rebuilds the order and the subset: own zone first; in each zone the instances' starting points are spread evenly.
     *
     * @return the previous members
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

    /** Grows the subset by the next server of the own zone and returns it; null if the subset has all of them. */
    ServerState growInOwnZone() {
        return size < order.ownZoneSize() ? order.get(size++) : null;
    }

    /** Grows the subset by the next server and returns it; null if the subset has all of them. */
    ServerState growByServer() {
        return size < order.size() ? order.get(size++) : null;
    }

    /** The number of servers by which the subset may grow in one tick. */
    int growthPerTick() {
        return Math.max(1, size / GROWTH_DIVISOR);
    }

    /**
     * Whether the subset may grow: there are further servers, and each server is shared by few instances, many members
     * are ejected or the servers have spare capacity.
     */
    boolean canGrow(int rotationSize, boolean spareCapacity) {
        return size < order.size()
                && (settings.instanceCount() * (double) size / order.size() < 2 * IN_FLIGHT_PER_SERVER
                        || rotationSize < size / 2
                        || spareCapacity);
    }

    /** Whether the subset is larger than the recent load needs. */
    boolean canShrink() {
        return size > MIN_SIZE && size > 2 * peakOutstanding + 2;
    }

    /** Shrinks the subset by one server and returns it; null if there is no server at its last position. */
    ServerState shrinkByServer() {
        size--;
        ServerState last = order.size() > size ? order.get(size) : null;
        if (last != null) {
            last.inSubset = false;
            members.remove(last);
        }
        return last;
    }

    /** Records the number of requests that are in flight or queued in this tick. */
    void recordOutstanding(int requests) {
        peakOutstanding = Math.max(requests, peakOutstanding * PEAK_DECAY_PER_TICK);
    }

    /**
     * The maximum number of requests in flight to one server: one, but more if too few instances share a server to use
     * it fully. A request occupies a slot while it waits for the next tier, so one request from each of two instances
     * leaves the server idle. For uneven traffic between instances, {@link #adjustWindow} widens the window further.
     */
    int windowSize() {
        double part = usedSize() / (double) Math.max(1, order.size());
        return extraWindow + (int) Math.max(1, Math.ceil(IN_FLIGHT_PER_SERVER / (settings.instanceCount() * part)));
    }

    /**
     * Widens the window by one if requests are queued although all servers are in use and have spare capacity, unless
     * so many servers are ejected that their requests would overload the others; else narrows it by one if it is wider
     * than needed.
     */
    void adjustWindow(boolean requestsQueued, int ejected, int rotationSize, AdmissionControl admission) {
        boolean spareCapacity = admission.hasSpareCapacity();
        if (requestsQueued
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
