package brackenbridge.net;

import java.io.File;

/** Counts the sockets that the node holds, against its limit on file descriptors. */
final class DescriptorBudget {
    /** Descriptors kept back for discovery and what the runtime opens by itself. */
    private static final int RESERVE = 24;

    private final int held;
    private int limit;
    private boolean shared;
    private int forClients;
    private int forAll;
    private int clients;
    private int servers;

    DescriptorBudget(int limit) {
        String[] open = new File("/proc/self/fd").list();
        held = open == null ? 32 : open.length;
        limit(limit);
    }

    /** Goes by another limit from now on. */
    void limit(int to) {
        limit = to;
        divide();
    }

    /** Two processes of this node live for a while: each has half. */
    void share(boolean on) {
        shared = on;
        divide();
    }

    private void divide() {
        forAll = Math.max(16, (shared ? limit / 2 : limit) - RESERVE - held);
        // Usual clients need a third of all descriptors, and their requests as many towards the servers.
        forClients = (int) (forAll * 11L / 20);
    }

    boolean clientFits() {
        return clients < forClients && clients + servers < forAll;
    }

    /** Whether clients hold half of what they may hold. */
    boolean crowded() {
        return clients > forClients / 2;
    }

    boolean serverFits() {
        return clients + servers < forAll;
    }

    /** Connections of clients that are counted now. */
    int clients() {
        return clients;
    }

    /** Connections to servers that are counted now. */
    int servers() {
        return servers;
    }

    void client(int change) {
        clients += change;
    }

    void server(int change) {
        servers += change;
    }
}
