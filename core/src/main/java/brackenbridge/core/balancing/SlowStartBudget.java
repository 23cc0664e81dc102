package brackenbridge.core.balancing;

import java.util.ArrayDeque;
import java.util.SplittableRandom;

/**
 * One node's budget of requests to one server in a sliding window: how much of its share the node has used in the last
 * window. A fraction of a request is rounded at random: the node wins a request with that probability, and the
 * probability is charged whether the draw was won or lost and whether a won request is sent or not. So the requests of
 * many nodes together stay near the sum of their shares, and unused budget is not carried over.
 *
 * <p>A request is charged from the time at which it is sent until one window after it has been written to the server,
 * so that requests that wait for a connection can't arrive in addition to a full window of later ones.
 */
final class SlowStartBudget {
    /** Charges are aggregated in this many slots per window, which bounds the memory of a budget. */
    private static final int SLOT_COUNT = 64;

    /** The amount charged within one slot; it expires as if all of it had been charged with the last charge. */
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
    /** The charges for requests that are not written to the server yet; they don't expire. */
    private double unwrittenCharges;
    /** The charges for lost draws that are kept until deferredUntil, and then for one more window. */
    private double deferredCharges;

    private long deferredUntil;
    /** The amount of a draw that was won at wonAt and not used yet, 0 if none; valid at that time only. */
    private double wonAmount;

    private long wonAt;

    /** Returns whether a request may be sent now, given the node's share in requests per window. */
    boolean allows(long now, double share, long window, SplittableRandom random) {
        return allows(now, share, window, random, now);
    }

    /**
     * The same for a server whose first connections may all be opened as late as {@code connectedBy}. Many nodes with
     * small shares could draw several times until then, and all requests won would arrive together, so until that time
     * a lost draw counts like an unwritten request.
     */
    boolean allows(long now, double share, long window, SplittableRandom random, long connectedBy) {
        if (wonAmount > 0 && wonAt == now) {
            return true;
        }
        wonAmount = 0;
        expireCharges(now, window);
        double probability = Math.min(1, share - chargedTotal - unwrittenCharges - deferredCharges);
        if (probability <= 0) {
            return false;
        }
        boolean lost = random.nextDouble() >= probability;
        if (lost && now < connectedBy) {
            deferredCharges += probability;
            deferredUntil = connectedBy;
            return false;
        }
        addCharge(now, probability, window);
        if (lost) {
            return false;
        }
        wonAmount = probability;
        wonAt = now;
        return true;
    }

    /**
     * Charges a request that is being sent, either after a won draw or to a warm server, which needs no draw. The
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

    /**
     * Lets the charge of a request expire one window from now, as it has been written to the server or never will be.
     */
    void recordWritten(long now, double amount, long window) {
        unwrittenCharges = Math.max(0, unwrittenCharges - amount);
        addCharge(now, amount, window);
    }

    /**
     * Drops the charges from before a restart of the server, since those requests were written to its previous process.
     */
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
            double expired = deferredCharges;
            deferredCharges = 0;
            addCharge(now, expired, window);
        }
        while (!charges.isEmpty() && charges.peek().lastAt <= now - window) {
            chargedTotal -= charges.poll().amount;
        }
        // Guards against accumulated rounding errors.
        chargedTotal = charges.isEmpty() ? 0 : chargedTotal;
    }
}
