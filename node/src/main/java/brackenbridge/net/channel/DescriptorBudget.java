package brackenbridge.net.channel;

import brackenbridge.core.connection.DescriptorShare;
import java.io.File;

/**
 * Counts the node's open sockets against its limit on file descriptors, of which other processes of the node may hold a
 * share. Used on the event loop only.
 */
public final class DescriptorBudget {
    /** Descriptors reserved for discovery and for files that the runtime opens itself, in all processes together. */
    private static final int RESERVED_DESCRIPTORS = 24;
    /** Connections that a process may have whatever its limit. */
    private static final int MIN_CONNECTIONS = 16;
    /** The same while another process has a share: one client, and its request's connection to a server. */
    private static final int MIN_SHARED_CONNECTIONS = 2;
    /** Descriptors that a process keeps for clients that are still to be accepted, when it gives up others. */
    private static final int SPARE_DESCRIPTORS = 8;

    private final int openAtStart;
    private final DescriptorShare predecessor = new DescriptorShare();
    private final DescriptorShare successor = new DescriptorShare();
    private int limit;
    private int clients;
    private int servers;
    private Runnable onReleased = () -> {};

    /** Creates a budget of this many descriptors, including those that the process has already open. */
    public DescriptorBudget(int limit) {
        String[] open = new File("/proc/self/fd").list();
        openAtStart = open == null ? 32 : open.length;
        setLimit(limit);
    }

    /** Replaces the limit. */
    public void setLimit(int newLimit) {
        limit = newLimit;
    }

    /** Sets an action that runs whenever descriptors have become free. */
    public void setOnReleased(Runnable action) {
        onReleased = action;
    }

    /** The share of the process that this one replaces. */
    public DescriptorShare predecessor() {
        return predecessor;
    }

    /** The share of the process that replaces this one. */
    public DescriptorShare successor() {
        return successor;
    }

    /** The descriptors that all processes of the node may use together. */
    public int usable() {
        return Math.max(0, limit - RESERVED_DESCRIPTORS);
    }

    /** The descriptors of the node that are not in use in this process. */
    public int unused() {
        return usable() - openAtStart - clients - servers;
    }

    /** How many descriptors this process could give up: neither in use nor needed for the requests of its clients. */
    public int spare() {
        int serversNeeded = Math.max(servers, clients);
        return usable() - reserved() - openAtStart - clients - serversNeeded - SPARE_DESCRIPTORS;
    }

    /** Whether there are more connections to servers than the clients' requests need. */
    public boolean hasSpareServers() {
        return servers > clients;
    }

    private int reserved() {
        return predecessor.reserved() + successor.reserved();
    }

    private boolean isShared() {
        return predecessor.isActive() || successor.isActive();
    }

    private int connectionLimit() {
        int min = isShared() ? MIN_SHARED_CONNECTIONS : MIN_CONNECTIONS;
        return Math.max(min, usable() - reserved() - openAtStart);
    }

    /**
     * Typically, clients need a third of all descriptors, and their requests as many for connections to servers. While
     * the descriptors are shared, a process lets in as many clients as it would alone, as long as a third of its share
     * is left for servers: a client that is not let in is not answered at all.
     */
    private int clientLimit() {
        if (!isShared()) {
            return (int) (connectionLimit() * 11L / 20);
        }
        int limitAlone = (int) ((usable() - openAtStart) * 11L / 20);
        return Math.max(1, Math.min(limitAlone, (int) (connectionLimit() * 2L / 3)));
    }

    /** Whether a further client connection fits. */
    public boolean hasRoomForClient() {
        return roomForClients() > 0;
    }

    /** The number of further client connections that fit; 0 or less if none does. */
    public int roomForClients() {
        return Math.min(clientLimit() - clients, connectionLimit() - clients - servers);
    }

    /** Whether clients use more than half of their share of the descriptors. */
    public boolean isCrowdedByClients() {
        return clients > clientLimit() / 2;
    }

    /** Whether a further connection to a server fits. */
    public boolean hasRoomForServer() {
        return clients + servers < connectionLimit();
    }

    /** The number of open client connections. */
    public int clientCount() {
        return clients;
    }

    /** The number of open connections to servers. */
    public int serverCount() {
        return servers;
    }

    /** Adds opened client connections, or subtracts closed ones if negative. */
    public void addClients(int change) {
        clients += change;
        reportRelease(change);
    }

    /** Adds opened connections to servers, or subtracts closed ones if negative. */
    public void addServers(int change) {
        servers += change;
        reportRelease(change);
    }

    private void reportRelease(int change) {
        if (change < 0) {
            onReleased.run();
        }
    }
}
