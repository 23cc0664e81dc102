package brackenbridge.core.balancing;

import java.util.ArrayDeque;
import java.util.SplittableRandom;

/**
 * One node's budget of requests to one server for a sliding window: how much of its share the node has used up in
 * the last window. A fraction of a request is rounded at random, and the probability is charged like a request
 * whether the draw was won or lost, used or not: the requests of many nodes together stay near the sum of their
 * shares, and nothing is made up for later.
 *
 * <p>A request is charged from the moment at which it is chosen until one window after it has been written to the
 * server, so that requests which wait for a connection can't arrive on top of a full window of later ones.
 */
final class SlowStartBudget {
    /** Charges are summed up in this many slots of a window, which bounds the memory of a budget. */
    private static final int SLOT_COUNT = 64;

    /** What was charged within one slot; it expires as if all of it had been charged at the end of the slot. */
    private static final class Charge {
        final long firstAt;
        long lastAt;
        double amount;

        Charge(long at) {
            this.firstAt = at;
        }
    }

    private final ArrayDeque<Charge> charges = new ArrayDeque<>(2);
    /** The sum of the charges. */
    private double charged;
    /** Charged for requests that are on their way to the server; these don't expire. */
    private double unwritten;
    /** Charged for lost draws that count until unsettledUntil at least, and then for a window more. */
    private double unsettled;

    private long unsettledUntil;
    /** The amount of a draw won at wonAt and not used yet, 0 if there is none; good for that instant alone. */
    private double won;

    private long wonAt;

    /** Whether a request may be sent now, if the node's share is so many requests in each window. */
    boolean allows(long now, double share, long window, SplittableRandom random) {
        return allows(now, share, window, random, now);
    }

    /**
     * As before, at a server whose first connections may all come up as late as settled. Many nodes with small
     * shares would have drawn several times by then, so until settled a lost draw weighs like a request that waits.
     */
    boolean allows(long now, double share, long window, SplittableRandom random, long settled) {
        if (won > 0 && wonAt == now) {
            return true;
        }
        won = 0;
        expire(now, window);
        double left = Math.min(1, share - charged - unwritten - unsettled);
        if (left <= 0) {
            return false;
        }
        boolean lost = random.nextDouble() >= left;
        if (lost && now < settled) {
            unsettled += left;
            unsettledUntil = settled;
            return false;
        }
        charge(now, left, window);
        if (lost) {
            return false;
        }
        won = left;
        wonAt = now;
        return true;
    }

    /**
     * A request is sent; it had a draw, or the server was warm and needed none. It is charged from now on, at first
     * without end.
     *
     * @return the amount charged, for {@link #written}
     */
    double spend(long now, long window) {
        expire(now, window);
        boolean drawn = won > 0 && wonAt == now;
        double amount = drawn ? won : 1;
        if (drawn) {
            Charge last = charges.peekLast();
            last.amount -= amount;
            charged -= amount;
        }
        won = 0;
        unwritten += amount;
        return amount;
    }

    /** A request of this amount has reached the server, or never will: its charge ends one window from now. */
    void written(long now, double amount, long window) {
        unwritten = Math.max(0, unwritten - amount);
        charge(now, amount, window);
    }

    /** The server started anew: what was written before went to the process before. */
    void restarted(long startedAt) {
        while (!charges.isEmpty() && charges.peek().lastAt < startedAt) {
            charged -= charges.poll().amount;
        }
    }

    private void charge(long now, double amount, long window) {
        expire(now, window);
        Charge last = charges.peekLast();
        if (last == null || now - last.firstAt >= window / SLOT_COUNT) {
            last = new Charge(now);
            charges.add(last);
        }
        last.lastAt = now;
        last.amount += amount;
        charged += amount;
    }

    private void expire(long now, long window) {
        if (unsettled > 0 && now >= unsettledUntil) {
            double settled = unsettled;
            unsettled = 0;
            charge(now, settled, window);
        }
        while (!charges.isEmpty() && charges.peek().lastAt <= now - window) {
            charged -= charges.poll().amount;
        }
        // Guards against what is left over of sums and differences.
        charged = charges.isEmpty() ? 0 : charged;
    }
}
