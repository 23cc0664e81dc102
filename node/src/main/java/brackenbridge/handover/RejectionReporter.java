package brackenbridge.handover;

import brackenbridge.counters.Counters;
import brackenbridge.counters.RejectionReason;
import brackenbridge.log.Log;

/** Counts and logs handover connections that are closed because of the other process. */
final class RejectionReporter {
    private final Counters counters;
    private final Log log;
    private final String rejected;

    /** Creates a reporter whose log lines begin with the description of the rejected connection. */
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
