package brackenbridge.handover;

import brackenbridge.counters.Counters;
import brackenbridge.counters.RejectionReason;
import brackenbridge.log.Log;

/** Counts and logs the end of a connection whose other process can't be used. */
final class RejectionReporter {
    private final Counters counters;
    private final Log log;
    private final String rejected;

    /** A reporter whose log lines begin with what is rejected. */
    RejectionReporter(Counters counters, Log log, String rejected) {
        this.counters = counters;
        this.log = log;
        this.rejected = rejected;
    }

    void report(RejectionReason reason) {
        counters.countRejection(RejectionReason.Port.HANDOVERS, reason);
        log.warn(rejected + " rejected: " + reason.key());
    }
}
