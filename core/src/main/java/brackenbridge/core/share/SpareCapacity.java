package brackenbridge.core.share;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * Lends connections that no eligible share uses to shares beyond their quota, in proportion to their weights:
 * start-time fair queueing with a separate virtual time. Only shares whose requests are short enough to return a
 * connection soon may borrow.
 */
final class SpareCapacity {
    /** Smaller weights are charged as this, so that a charge is always finite. */
    static final double MIN_WEIGHT = 1e-6;

    private final double maxLoanMs;
    private final TreeSet<QuotaShare> borrowers = new TreeSet<>(
            Comparator.<QuotaShare>comparingDouble(share -> share.queueTag).thenComparingLong(share -> share.sequence));
    /** The start tag of the last loan. */
    private double virtualTime;

    /**
     * Creates an instance without borrowers.
     *
     * @param maxLoanMs a share whose requests hold a connection for longer may not borrow
     */
    SpareCapacity(double maxLoanMs) {
        this.maxLoanMs = maxLoanMs;
    }

    boolean mayBorrow(QuotaShare share, double nowMs) {
        return share.holdMs(nowMs) <= maxLoanMs;
    }

    boolean hasBorrowers() {
        return !borrowers.isEmpty();
    }

    double virtualTime() {
        return virtualTime;
    }

    void add(QuotaShare share) {
        share.queueTag = share.borrowedFinishTag;
        share.borrowing = true;
        borrowers.add(share);
    }

    void remove(QuotaShare share) {
        if (share.borrowing) {
            borrowers.remove(share);
            share.borrowing = false;
        }
    }

    /** The share that borrows next; null if there is none. */
    QuotaShare next(double nowMs) {
        while (!borrowers.isEmpty()) {
            QuotaShare share = borrowers.first();
            if (mayBorrow(share, nowMs)) {
                return share;
            }
            remove(share);
        }
        return null;
    }

    void chargeStart(QuotaShare share, double expectedHoldMs) {
        double startTag = Math.max(share.borrowedFinishTag, virtualTime);
        if (share.borrowing) {
            virtualTime = startTag;
        }
        share.borrowedFinishTag = startTag + expectedHoldMs / Math.max(share.weight, MIN_WEIGHT);
    }

    /** Charges the time that a request took beyond its expected hold time; negative if it took less. */
    void chargeEnd(QuotaShare share, double excessMs) {
        share.borrowedFinishTag += excessMs / Math.max(share.weight, MIN_WEIGHT);
    }
}
