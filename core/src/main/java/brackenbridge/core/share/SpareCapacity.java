package brackenbridge.core.share;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * Lends connections that no share may claim to shares beyond their quota, in proportion to their weights: start-time
 * fair queueing with a virtual time of its own. Only shares whose requests are short enough to give a connection back
 * soon may borrow.
 */
final class SpareCapacity {
    /** Weights below this are charged as if they were this, so that a charge is always finite. */
    static final double MIN_WEIGHT = 1e-6;

    private final double maxLoanMs;
    private final TreeSet<QuotaShare> borrowers = new TreeSet<>(
            Comparator.<QuotaShare>comparingDouble(share -> share.queueTag).thenComparingLong(share -> share.sequence));
    /** The start tag of the last loan. */
    private double virtualTime;

    /**
     * Creates one without borrowers.
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

    /** The share to lend to next, or null. */
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

    void chargeStart(QuotaShare share, double expectedMs) {
        double startTag = Math.max(share.borrowedFinishTag, virtualTime);
        if (share.borrowing) {
            virtualTime = startTag;
        }
        share.borrowedFinishTag = startTag + expectedMs / Math.max(share.weight, MIN_WEIGHT);
    }

    /** Charges what a request took beyond what was expected; less than 0 if it took less. */
    void chargeEnd(QuotaShare share, double extraMs) {
        share.borrowedFinishTag += extraMs / Math.max(share.weight, MIN_WEIGHT);
    }
}
