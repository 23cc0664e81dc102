package brackenbridge.lab.soak;

import brackenbridge.lab.rules.RuleChecker.Rule;

/** What can be done wrong on purpose in a play, once each, and the rule that has to find it. */
public enum SoakFault {
    /** An answer is dropped before its client. */
    DROPPED_ANSWER(Rule.LOST, "never answered"),
    /** An answer comes to its client twice. */
    SECOND_ANSWER(Rule.LOST, "a second answer"),
    /** A connection ends while a request on it is with a server. */
    CLOSED_UNDER_REQUEST(Rule.LOST, "its connection ended after it had gone to a server"),
    /** A request that must not be repeated comes to a server twice. */
    REPEATED_REQUEST(Rule.DUPLICATE, "though it may have run"),
    /** A request that must not be repeated is refused after it ran. */
    REFUSED_AFTER_RUN(Rule.DUPLICATE, "refused though it may have run"),
    /** The node does not hear of a drain that counts as told. */
    UNHEARD_DRAIN(Rule.DRAIN, "ago to stop"),
    /** A server's answer is of another request. */
    FOREIGN_BODY(Rule.FORGED, "with a body of its own"),
    /** A server is told a second more than the client waits. */
    TIME_RAISED(Rule.TIME_TOLD, "is told"),
    /** An attempt begins long after its client has gone. */
    BEGUN_FOR_GONE_CLIENT(Rule.CLIENT_GONE, "after its client has gone"),
    /** A long answer is cut off while its server gives it. */
    LONG_ANSWER_CUT(Rule.LOST, "a long answer cut off"),
    /** The answer to a long request comes a second late. */
    LATE_UPLOAD_ANSWER(Rule.LOST, "answered after its deadline"),
    /** A connection is refused. */
    REFUSED_CONNECTION(Rule.CONNECT, "refused"),
    /** SIGTERM comes two seconds late, so that the process ends too late. */
    LATE_EXIT(Rule.EXIT, "had not ended"),
    /** The node is told a higher limit on descriptors than it has. */
    HIGHER_LIMIT(Rule.LIMITS, "descriptors"),
    /** Counts of requests served are a tenth too high. */
    WRONG_COUNTS(Rule.COUNTS, "proxy.ok.");

    private final Rule rule;
    private final String words;

    SoakFault(Rule rule, String words) {
        this.rule = rule;
        this.words = words;
    }

    /** The rule that finds it. */
    public Rule rule() {
        return rule;
    }

    /** What the rule's finding says of it. */
    public String words() {
        return words;
    }
}
