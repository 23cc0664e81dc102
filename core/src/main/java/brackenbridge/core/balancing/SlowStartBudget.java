package brackenbridge.core.balancing;

import java.util.ArrayDeque;
import java.util.SplittableRandom;

/**
 * One node's budget of requests to one server for a sliding window: how much of its share the node has used in the
 * last window. A fraction of a request is rounded at random, and the probability is charged like a request
 * whether the draw was won or lost, used or not: the requests of many nodes together stay near the sum of their
 * shares, and unused budget is not carried over.
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
    private double chargedTotal;
    /** Charged for requests that are not written to the server yet; these charges don't expire. */
    private double unwrittenCharges;
    /** Charged for lost draws that count until unsettledUntil at least, and then for a window more. */
    private double deferredCharges;

    private long deferredUntil;
    /** The amount of a draw won at wonAt and not used yet, 0 if there is none; valid at that time only. */
    private double wonAmount;

    private long wonAt;

    /** Whether a request may be sent now, if the node's share is so many requests in each window. */
    boolean allows(long now, double share, long window, SplittableRandom random) {
        return allows(now, share, window, random, now);
    }

    /**
     * The same for a server whose first connections may all be opened as late as {@code settled}. Many nodes with small
     * shares would have drawn several times by then, so until that time a lost draw counts like an unwritten request.
     */
    boolean allows(long now, double share, long window, SplittableRandom random, long settled) {
        if (wonAmount > 0 && wonAt == now) {
            return true;
        }
        wonAmount = 0;
        expireCharges(now, window);
        double left = Math.min(1, share - chargedTotal - unwrittenCharges - deferredCharges);
        if (left <= 0) {
            return false;
        }
        boolean lost = random.nextDouble() >= left;
        if (lost && now < settled) {
            deferredCharges += left;
            deferredUntil = settled;
            return false;
        }
        addCharge(now, left, window);
        if (lost) {
            return false;
        }
        wonAmount = left;
        wonAt = now;
        return true;
    }

    /**
     * Charges a request that is being sent, after a draw that was won or to a warm server, which needs none. The
     * charge doesn't expire until the request has been written.
     *
     * @return the amount charged, for {@link #recordWritten}
     */
    double chargeRequest(long now, long window) {
        expireCharges(now, window);
        boolean drawn = wonAmount > 0 && wonAt == now;
        double amount = drawn ? wonAmount : 1;
        if (drawn) {
            Charge last = charges.peekLast();
            last.amount -= amount;
            chargedTotal -= amount;
        }
        wonAmount = 0;
        unwrittenCharges += amount;
        return amount;
    }

    /** Lets the charge of a request expire one window from now: it has been written to the server, or never will be. */
    void recordWritten(long now, double amount, long window) {
        unwrittenCharges = Math.max(0, unwrittenCharges - amount);
        addCharge(now, amount, window);
    }

    /** Drops the charges from before a restart of the server: those requests were written to its previous process. */
    void dropChargesBefore(long startedAt) {
        while (!charges.isEmpty() && charges.peek().lastAt < startedAt) {
            chargedTotal -= charges.poll().amount;
        }
    }

    private void addCharge(long now, double amount, long window) {
        expireCharges(now, window);
        Charge last = charges.peekLast();
        if (last == null || now - last.firstAt >= window / SLOT_COUNT) {
            last = new Charge(now);
            charges.add(last);
        }
        last.lastAt = now;
        last.amount += amount;
        chargedTotal += amount;
    }

    private void expireCharges(long now, long window) {
        if (deferredCharges > 0 && now >= deferredUntil) {
            double settled = deferredCharges;
            deferredCharges = 0;
            addCharge(now, settled, window);
        }
        while (!charges.isEmpty() && charges.peek().lastAt <= now - window) {
            chargedTotal -= charges.poll().amount;
        }
        // Guards against accumulated rounding errors.
        chargedTotal = charges.isEmpty() ? 0 : chargedTotal;
    }
}
