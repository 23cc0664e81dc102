package brackenbridge.net.channel;

import java.io.File;

/** Counts the node's open sockets against its limit on file descriptors. Used on the event loop only. */
public final class DescriptorBudget {
    /** Descriptors reserved for discovery and for files that the runtime opens itself. */
    private static final int RESERVED_DESCRIPTORS = 24;

    private final int openAtStart;
    private int limit;
    private boolean shared;
    private int clientLimit;
    private int connectionLimit;
    private int clients;
    private int servers;

    /** Creates a budget of this many descriptors, including those that the process has already open. */
    public DescriptorBudget(int limit) {
        String[] open = new File("/proc/self/fd").list();
        openAtStart = open == null ? 32 : open.length;
        setLimit(limit);
    }

    /** Replaces the limit. */
    public void setLimit(int newLimit) {
        limit = newLimit;
        computeLimits();
    }

    /** Sets whether another process of this node is running: each process then has half of the descriptors. */
    public void shareWithOtherProcess(boolean on) {
        shared = on;
        computeLimits();
    }

    private void computeLimits() {
        int available = limit - RESERVED_DESCRIPTORS;
        connectionLimit = Math.max(16, (shared ? available / 2 : available) - openAtStart);
        // Typically, clients need a third of all descriptors, and their requests as many for connections to servers.
        clientLimit = (int) (connectionLimit * 11L / 20);
    }

    /** Whether a further client connection fits. */
    public boolean hasRoomForClient() {
        return roomForClients() > 0;
    }

    /** The number of further client connections that fit; 0 or less if none does. */
    public int roomForClients() {
        return Math.min(clientLimit - clients, connectionLimit - clients - servers);
    }

    /** Whether clients use more than half of their share of the descriptors. */
    public boolean isCrowdedByClients() {
        return clients > clientLimit / 2;
    }

    /** Whether a further connection to a server fits. */
    public boolean hasRoomForServer() {
        return clients + servers < connectionLimit;
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
    }

    /** Adds opened connections to servers, or subtracts closed ones if negative. */
    public void addServers(int change) {
        servers += change;
    }
}
