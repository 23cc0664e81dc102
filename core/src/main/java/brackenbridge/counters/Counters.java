package brackenbridge.counters;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** What the node took in, sent and answered, counted by kind. Only the event loop's thread touches them. */
public final class Counters {

    /** The kinds that are counted. */
    public enum Kind {
        /** Flows taken in. */
        FLOWS_IN,
        /** Flows that their client marked as a repeat. */
        FLOWS_REPEATED,
        /** Flows that their tenant had no share left for in time; they count as refused too. */
        FLOWS_OVER_SHARE,
        /** Flows whose client went away, before its answer or while it was written. */
        FLOWS_GONE,
        /** Requests that were malformed, too large or not for this node. */
        BAD_REQUESTS,
        /** Forwards begun. */
        FORWARDS_SENT,
        /** Forwards whose last byte was written. */
        FORWARDS_WRITTEN,
        /** Forwards that a server answered with 200. */
        FORWARDS_SERVED,
        /** Forwards answered with an error. */
        FORWARDS_FAILED,
        /** Forwards answered with word that the request itself is at fault. */
        FORWARDS_REJECTED,
        /** Answers of servers that could not be read, or that stopped half way. */
        ANSWERS_SPOILT,
        /** Long answers that went on piece by piece. */
        ANSWERS_STREAMED,
        /** Of these, how many their server did not finish. */
        ANSWERS_CUT,
        /** Requests whose long body went on piece by piece. */
        REQUESTS_STREAMED,
        /** Forwards turned away unseen. */
        FORWARDS_TURNED_AWAY,
        /** Forwards for which no connection could be had. */
        FORWARDS_UNCONNECTED,
        /** Forwards whose connection broke after the last byte. */
        FORWARDS_RESET,
        /** Forwards given up because their time had passed. */
        FORWARDS_TIMED_OUT,
        /** Forwards called off. */
        FORWARDS_CANCELLED,
        /** Forwards that were never begun. */
        FORWARDS_MOOT,
        /** Flows answered with a server's body, to its last byte. */
        ANSWERED_SERVED,
        /** Flows answered with a refusal, to its last byte. */
        ANSWERED_REFUSED,
        /** Flows answered with a failure, to its last byte. */
        ANSWERED_FAILED,
        /** Flows answered with a server's word that the request itself is at fault. */
        ANSWERED_REJECTED,
        /** Flows that the node had to end at their deadline; these count as refused or failed too. */
        ANSWERED_AT_DEADLINE,
        /** Calls to discovery. */
        DISCOVERY_CALLS,
        /** Calls to discovery that failed or fell silent. */
        DISCOVERY_FAILED,
        /** Configurations taken over while running. */
        RECONFIGURED,
        /** Configurations that could not be read or used, so that the old one stays. */
        RECONFIGURE_FAILED,
        /** Drains begun by call. */
        DRAINS,
        /** Returns to work after a drain. */
        RETURNS,
        /** Target lists taken in. */
        TARGET_LISTS,
        /** Probes sent. */
        PROBES,
        /** Client connections accepted. */
        CLIENTS_ACCEPTED,
        /** Connections to servers opened. */
        CONNECTIONS_OPENED,
        /** Connections asked for beside one that was late. */
        CONNECTIONS_JOINED,
        /** Kept connections that proved dead when they were used. */
        CONNECTIONS_STALE,
        /** Idle connections shed at the limit on sockets. */
        CONNECTIONS_SHED,
        /** Client connections closed because all together held too much of unfinished requests. */
        CLIENTS_SHED_FOR_MEMORY
    }

    private final EnumMap<Kind, Long> counts = new EnumMap<>(Kind.class);
    private final Map<String, EnumMap<Kind, Long>> byClass = new TreeMap<>();
    private final EnumMap<RejectionReason.Port, EnumMap<RejectionReason, Long>> refused =
            new EnumMap<>(RejectionReason.Port.class);

    /** Counts one. */
    public void count(Kind kind) {
        counts.merge(kind, 1L, Long::sum);
    }

    /** Counts one refusal, or one close, at a port. */
    public void refuse(RejectionReason.Port port, RejectionReason why) {
        refused.computeIfAbsent(port, p -> new EnumMap<>(RejectionReason.class)).merge(why, 1L, Long::sum);
    }

    /** Counts one of a class of request. The class keeps its counts when it is dropped from the settings. */
    public void count(Kind kind, String className) {
        count(kind);
        byClass.computeIfAbsent(className, n -> new EnumMap<>(Kind.class)).merge(kind, 1L, Long::sum);
    }

    /** Counts a request of a class that is served no more; of one that never was, nothing is kept. */
    public void countDropped(String className) {
        if (byClass.containsKey(className)) {
            count(Kind.FLOWS_IN, className);
            count(Kind.ANSWERED_REJECTED, className);
        }
    }

    /** The count so far of one class. */
    public long of(Kind kind, String className) {
        Map<Kind, Long> counted = byClass.get(className);
        return counted == null ? 0 : counted.getOrDefault(kind, 0L);
    }

    /** The classes of which something was counted. */
    public Iterable<String> classes() {
        return byClass.keySet();
    }

    /** The count so far. */
    public long of(Kind kind) {
        return counts.getOrDefault(kind, 0L);
    }

    /** One line a kind, in the order of their declaration, those at zero included; and one a reason of refusals. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (Kind kind : Kind.values()) {
            text.append(name(kind)).append(' ').append(of(kind)).append('\n');
        }
        refused.forEach((port, reasons) -> reasons.forEach((why, count) ->
                text.append(name(port, why)).append(' ').append(count).append('\n')));
        return text.toString();
    }

    /** All that are above zero, on one line. */
    public String line() {
        StringBuilder line = new StringBuilder();
        for (Map.Entry<Kind, Long> e : counts.entrySet()) {
            line.append(line.isEmpty() ? "" : " ")
                    .append(name(e.getKey()))
                    .append('=')
                    .append(e.getValue());
        }
        refused.forEach((port, reasons) -> reasons.forEach((why, count) -> line.append(line.isEmpty() ? "" : " ")
                .append(name(port, why))
                .append('=')
                .append(count)));
        return line.toString();
    }

    private static String name(RejectionReason.Port port, RejectionReason why) {
        return "refused_" + port.name().toLowerCase(java.util.Locale.ROOT) + "_" + why.text();
    }

    private static String name(Kind kind) {
        return kind.name().toLowerCase(java.util.Locale.ROOT);
    }
}
