package brackenbridge.net.channel;

import java.io.File;

/** Counts the sockets that the node has open, against its limit on file descriptors. Used on the event loop only. */
public final class DescriptorBudget {
    /** Descriptors kept back for discovery and what the runtime opens by itself. */
    private static final int RESERVED_DESCRIPTORS = 24;

    private final int openAtStart;
    private int limit;
    private boolean shared;
    private int clientLimit;
    private int connectionLimit;
    private int clients;
    private int servers;

    /** A budget of this many descriptors, those included that the process has open already. */
    public DescriptorBudget(int limit) {
        String[] open = new File("/proc/self/fd").list();
        openAtStart = open == null ? 32 : open.length;
        setLimit(limit);
    }

    /** Applies another limit from now on. */
    public void setLimit(int newLimit) {
        limit = newLimit;
        computeLimits();
    }

    /** Whether another process of this node is running: each then has half of the descriptors. */
    public void shareWithOtherProcess(boolean on) {
        shared = on;
        computeLimits();
    }

    private void computeLimits() {
        connectionLimit = Math.max(16, (shared ? limit / 2 : limit) - RESERVED_DESCRIPTORS - openAtStart);
        // Usual clients need a third of all descriptors, and their requests as many towards the servers.
        clientLimit = (int) (connectionLimit * 11L / 20);
    }

    /** Whether one more client connection fits. */
    public boolean hasRoomForClient() {
        return roomForClients() > 0;
    }

    /** How many more client connections fit; 0 or less if none does. */
    public int roomForClients() {
        return Math.min(clientLimit - clients, connectionLimit - clients - servers);
    }

    /** Whether clients have more than half of their part of the descriptors. */
    public boolean isCrowdedByClients() {
        return clients > clientLimit / 2;
    }

    /** Whether one more connection to a server fits. */
    public boolean hasRoomForServer() {
        return clients + servers < connectionLimit;
    }

    /** Connections of clients that are counted now. */
    public int clientCount() {
        return clients;
    }

    /** Connections to servers that are counted now. */
    public int serverCount() {
        return servers;
    }

    /** Client connections were opened, or closed if negative. */
    public void addClients(int change) {
        clients += change;
    }

    /** Connections to servers were opened, or closed if negative. */
    public void addServers(int change) {
        servers += change;
    }
}
