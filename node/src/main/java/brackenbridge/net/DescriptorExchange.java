package brackenbridge.net;

import brackenbridge.core.connection.DescriptorShare;
import brackenbridge.handover.DescriptorMessage;
import brackenbridge.handover.Neighbour;
import brackenbridge.net.channel.DescriptorBudget;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * Passes descriptors between the processes of a node while one replaces the other: a process that stops gives up what
 * its clients have left, and one that lacks descriptors requests some of what the other has to spare. Used on the event
 * loop only.
 */
final class DescriptorExchange {
    /** How soon descriptors to give up are looked for again: connections become idle without an event. */
    private static final long RETRY_INTERVAL_MS = 10;

    private static final List<Neighbour> NEIGHBOURS = List.of(Neighbour.values());

    /** The connections whose descriptors are exchanged. */
    interface Connections {
        /** Closes the connection of a client that has been idle for long; returns whether there was one. */
        boolean closeIdleClient();

        /** Closes an idle connection to a server; returns whether there was one. */
        boolean closeIdleServer();

        /** Called when more descriptors are available. */
        void onDescriptorsAvailable();
    }

    private final EventLoop loop;
    private final DescriptorBudget budget;
    private final Connections connections;
    private final BiConsumer<Neighbour, DescriptorMessage> sender;
    /** Whether this process leaves its clients to its successor. */
    private boolean leaving;
    /** Whether a run of {@link #settle} is scheduled. */
    private boolean scheduled;

    DescriptorExchange(
            EventLoop loop,
            DescriptorBudget budget,
            Connections connections,
            BiConsumer<Neighbour, DescriptorMessage> sender) {
        this.loop = loop;
        this.budget = budget;
        this.connections = connections;
        this.sender = sender;
        budget.setOnReleased(this::scheduleSettling);
    }

    private DescriptorShare share(Neighbour neighbour) {
        return neighbour == Neighbour.PREDECESSOR ? budget.predecessor() : budget.successor();
    }

    /**
     * Begins as the successor of a process.
     *
     * @param granted how many descriptors it has granted; negative if it takes no part in the exchange, and keeps half
     */
    void beginAsSuccessor(int granted) {
        int available = granted < 0 ? budget.usable() / 2 : granted;
        budget.predecessor().begin(budget.usable() - available);
        if (granted >= 0) {
            budget.predecessor().startExchange();
            sender.accept(Neighbour.PREDECESSOR, new DescriptorMessage.Join());
        }
    }

    /** Reserves descriptors for a successor, up to half of this process's; idle connections are closed for that. */
    void prepareForSuccessor() {
        int missing = successorTarget() - budget.successor().reserved();
        closeSpareServers();
        while (budget.spare() < missing && connections.closeIdleClient()) {
            closeSpareServers();
        }
        reserveForSuccessor();
    }

    /** Takes the descriptors that are granted to the successor with the state that it is sent. */
    int takeFirstGrant() {
        reserveForSuccessor();
        return budget.successor().takeGrant(grantable(Neighbour.SUCCESSOR));
    }

    /** Half of what both processes have, and all of it once this one leaves its clients to the successor. */
    private int successorTarget() {
        int available = budget.usable() - budget.predecessor().reserved();
        return leaving ? available : available / 2;
    }

    /** Reserves what can be spared, up to the successor's target. */
    private void reserveForSuccessor() {
        DescriptorShare successor = budget.successor();
        successor.reserve(Math.min(successorTarget(), successor.reserved() + budget.spare()));
    }

    /** Leaves all descriptors to the successor that the remaining clients of this process don't need. */
    void leaveToSuccessor() {
        leaving = budget.successor().isActive();
        settle();
    }

    /** Requests descriptors from the other processes, as this one lacks some. */
    void request() {
        for (Neighbour neighbour : NEIGHBOURS) {
            if (share(neighbour).startRequest()) {
                sender.accept(neighbour, new DescriptorMessage.Request());
            }
        }
    }

    void onMessage(Neighbour from, DescriptorMessage message) {
        DescriptorShare share = share(from);
        if (message instanceof DescriptorMessage.Grant grant) {
            share.onGrant(grant.count());
            connections.onDescriptorsAvailable();
        } else if (message instanceof DescriptorMessage.Request) {
            share.onRequest();
        } else {
            share.startExchange();
        }
        settle();
    }

    /** Handles the end of another process, whose descriptors are available from now on. */
    void onEnded(Neighbour neighbour) {
        share(neighbour).end();
        leaving = leaving && neighbour != Neighbour.SUCCESSOR;
        connections.onDescriptorsAvailable();
    }

    private void scheduleSettling() {
        if (!scheduled
                && NEIGHBOURS.stream().anyMatch(neighbour -> share(neighbour).isActive())) {
            scheduled = true;
            loop.execute(this::settleAsScheduled);
        }
    }

    private void settleAsScheduled() {
        scheduled = false;
        settle();
    }

    /** Gives up what the other processes are to have, as far as it can be spared. */
    private void settle() {
        if (leaving) {
            closeSpareServers();
        }
        if (budget.successor().isActive()) {
            reserveForSuccessor();
        }
        boolean requested = false;
        for (Neighbour neighbour : NEIGHBOURS) {
            if (share(neighbour).isRequested()) {
                reserveRequested(share(neighbour));
            }
            grant(neighbour);
            requested = requested || share(neighbour).isRequested();
        }
        if (!scheduled && (leaving || requested)) {
            scheduled = true;
            loop.schedule(this::settleAsScheduled, RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Reserves half of what can be spared; if nothing can, closes an idle client's connection for the next time. */
    private void reserveRequested(DescriptorShare share) {
        closeSpareServers();
        if (budget.spare() <= 0) {
            connections.closeIdleClient();
        }
        share.reserve(share.reserved() + (budget.spare() + 1) / 2);
    }

    private void closeSpareServers() {
        boolean closed = true;
        while (closed && budget.hasSpareServers()) {
            closed = connections.closeIdleServer();
        }
    }

    private void grant(Neighbour neighbour) {
        DescriptorShare share = share(neighbour);
        int count = share.isExchanging() ? share.takeGrant(grantable(neighbour)) : 0;
        if (count > 0) {
            sender.accept(neighbour, new DescriptorMessage.Grant(count));
        }
    }

    /** The descriptors that neither this process uses nor the third one may use. */
    private int grantable(Neighbour neighbour) {
        Neighbour third = neighbour == Neighbour.PREDECESSOR ? Neighbour.SUCCESSOR : Neighbour.PREDECESSOR;
        return budget.unused() - share(third).reserved();
    }
}
