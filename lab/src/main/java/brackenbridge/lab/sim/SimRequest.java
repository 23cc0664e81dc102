package brackenbridge.lab.sim;

import brackenbridge.lab.rules.RuleChecker;
import brackenbridge.lab.rules.RuleChecker.Answer;

/** A request on its way: what it asks of servers, and who hears of its end. */
final class SimRequest {
    /** Hears how a request ended. */
    interface Caller {
        /**
         * It has ended.
         *
         * @param answer how, null if the node died or could not be reached
         * @param taken whether a node had taken it
         */
        void ended(Answer answer, boolean taken, double retryAfterMs);
    }

    /** The work of a request at one tier, with its calls to the next. */
    record Plan(double[] parts, Plan[] calls, String className) {}

    final long number;
    final Plan plan;
    final double deadlineMs;
    final boolean unsafe;
    final Caller caller;
    RuleChecker.Entry entry;
    /** Its number at the node that has taken it. */
    long flow = -1;

    SimRequest(long number, Plan plan, double deadlineMs, boolean unsafe, Caller caller) {
        this.number = number;
        this.plan = plan;
        this.deadlineMs = deadlineMs;
        this.unsafe = unsafe;
        this.caller = caller;
    }
}
