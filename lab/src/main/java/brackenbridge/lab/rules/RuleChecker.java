package brackenbridge.lab.rules;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Keeps the history of each request while it matters and holds the rules against it. What it is told is what was
 * seen outside the node: arrivals at servers, how they ended there, answers at clients, and words of discovery as
 * they were delivered. One thread at a time.
 */
public final class RuleChecker {
    /** Histories of each rule that are printed whole; later ones are only counted. */
    private static final int KEPT = 20;
    /** Entries that a history keeps. */
    private static final int LONGEST = 40;
    /** Every limit is so much longer on real sockets. */
    private static final double SOCKET_SLACK_MS = 50;
    /** An attempt that comes to a server so long after its client has gone was begun too late. */
    private static final double CLIENT_GONE_GRACE_MS = 100 + SOCKET_SLACK_MS;
    /** By how much the time that a server is told may pass what is left. */
    private static final double TIME_TOLD_SLACK_MS = 150 + SOCKET_SLACK_MS;

    /** The rules. */
    public enum Rule {
        /** One final answer for each request, by its deadline. */
        LOST("one final answer by the deadline"),
        /** A request that may not be repeated runs once at most, and is refused only if it has never run. */
        DUPLICATE("no unsafe request run twice, none refused that may have run"),
        /** Nothing is sent to a draining or gone server after the grace. */
        DRAIN("nothing sent after a drain's grace"),
        /** A cold server is not pushed over. */
        PUSHED_OVER("no cold server pushed over"),
        /** Never two attempts of one request at once. */
        TWO_AT_ONCE("never two attempts at once"),
        /** A success carries the body that a server made for this very request. */
        FORGED("success only with the server's own body"),
        /** A server is told at most the time that is left to the client. */
        TIME_TOLD("a server told no more time than is left"),
        /** No attempt begins for a client that has gone away. */
        CLIENT_GONE("nothing begun for a client that has gone"),
        /** A connection to a node that serves is accepted. */
        CONNECT("each connection to a serving node accepted"),
        /** A client that stops in the middle of a request gets an error, or its connection ends. */
        STALLED_CLIENT("an error or an end for a client that stops in the middle"),
        /** A process starts in time, ends by itself before it is killed, and says that all went well. */
        EXIT("a process starts in time, and exits with 0 before its kill"),
        /** A node stays within its limits on memory and descriptors. */
        LIMITS("memory and descriptors within their limits"),
        /** A node's own counts agree with what its clients and servers saw. */
        COUNTS("counts as clients and servers saw them");

        private final String words;

        Rule(String words) {
            this.words = words;
        }

        /** The rule in a few words. */
        public String words() {
            return words;
        }
    }

    /** How the client was answered. */
    public enum Answer {
        /** With a server's body. */
        SERVED,
        /** Refused: trying again is harmless. */
        REFUSED,
        /** Failed. */
        FAILED
    }

    /**
     * A rule that was broken.
     *
     * @param rule which one
     * @param atMs when
     * @param what what was seen
     * @param history all that is known of the request
     */
    public record Breach(Rule rule, double atMs, String what, List<String> history) {
        /** Many lines: the breach and the request's whole history. */
        public String text() {
            StringBuilder s = new StringBuilder(
                    String.format(Locale.ROOT, "broken rule: %s: %s, at %.3f ms", rule.words(), what, atMs));
            history.forEach(h -> s.append("\n    ").append(h));
            return s.toString();
        }
    }

    /** A moment of a request's history; put into words only when a rule was broken. */
    private record Note(double atMs, String what, String more, String rest) {
        String text() {
            return String.format(Locale.ROOT, "%12.3f ms  %s%s%s", atMs, what, more, rest);
        }
    }

    /** One request, from its arrival at a node until nothing of it is left. */
    public final class Entry {
        private final String id;
        private final String node;
        private final boolean unsafe;
        private double deadlineMs;
        private final List<Note> history = new ArrayList<>(6);
        private int out;
        private boolean mayHaveRun;
        private boolean answered;
        private boolean gone;
        private double clientGoneMs = Double.POSITIVE_INFINITY;

        private Entry(String id, String node, boolean unsafe, double deadlineMs) {
            this.id = id;
            this.node = node;
            this.unsafe = unsafe;
            this.deadlineMs = deadlineMs;
        }

        private void note(double atMs, String what) {
            note(atMs, what, "", "");
        }

        private void note(double atMs, String what, String more, String rest) {
            if (history.size() < LONGEST) {
                history.add(new Note(atMs, what, more, rest));
            }
        }

        /**
         * Its last byte has come to a server; what becomes of it there is told to the attempt that is returned.
         *
         * @param open whether the node still holds the connection open: one that it has closed is no second copy
         */
        public Attempt arrived(double atMs, String host, boolean open) {
            attempts++;
            note(atMs, "an attempt arrives at ", host, open ? "" : ", on a connection given up");
            if (out > 0 && open) {
                broken(Rule.TWO_AT_ONCE, atMs, "a second attempt arrives at " + host + " while one is out", this);
            }
            if (unsafe && mayHaveRun) {
                broken(Rule.DUPLICATE, atMs, "sent again to " + host + " though it may have run", this);
            }
            Attempt a = new Attempt(this, host, mayHaveRun);
            if (open) {
                out++;
            } else {
                a.over = true;
            }
            // Until its end is known it may run.
            mayHaveRun = true;
            return a;
        }

        /** Its time begins only now: until now it waited behind another one on its connection. */
        public void turnCame(double atMs, double newDeadlineMs) {
            note(atMs, "is the next on its connection");
            note(newDeadlineMs, "is its deadline");
            deadlineMs = newDeadlineMs;
        }

        /** The client has its answer. */
        public void answered(double atMs, Answer how) {
            note(atMs, "answered: ", how.name(), "");
            if (answered) {
                broken(Rule.LOST, atMs, "a second answer", this);
            }
            answered = true;
            if (!gone && atMs > deadlineMs + slackMs + machineDelayMs) {
                broken(Rule.LOST, atMs, "answered after its deadline", this);
            }
            if (how == Answer.REFUSED && unsafe && mayHaveRun) {
                broken(Rule.DUPLICATE, atMs, "refused though it may have run", this);
            }
        }

        /** The answer is not what the server made for it. */
        public void forged(double atMs, String what) {
            note(atMs, what);
            broken(Rule.FORGED, atMs, what, this);
        }

        /** The client has gone away; nothing is owed any more. */
        public void gone(double atMs) {
            note(atMs, "its client has gone away");
            gone = true;
            clientGoneMs = atMs;
        }

        /** An attempt of it has begun, as it comes to a server. */
        public void begunFor(double atMs, String host) {
            if (atMs > clientGoneMs + CLIENT_GONE_GRACE_MS + machineDelayMs) {
                broken(
                        Rule.CLIENT_GONE,
                        atMs,
                        String.format(
                                Locale.ROOT,
                                "an attempt arrives at %s, %.1f ms after its client has gone",
                                host,
                                atMs - clientGoneMs),
                        this);
            }
        }

        /** A server was told that the client waits this long. */
        public void timeTold(double atMs, String host, double toldMs) {
            double leftMs = deadlineMs - atMs;
            if (toldMs > leftMs + TIME_TOLD_SLACK_MS + machineDelayMs) {
                broken(
                        Rule.TIME_TOLD,
                        atMs,
                        String.format(Locale.ROOT, "%s is told %.0f ms while %.1f ms are left", host, toldMs, leftMs),
                        this);
            }
        }

        /** Its connection ended without an answer. */
        public void connectionEnded(double atMs, String what) {
            note(atMs, what);
            if (!answered && !gone) {
                broken(Rule.LOST, atMs, what, this);
                gone = true;
            }
        }

        /** The node has cut off an answer that its server still gave. */
        public void cutOff(double atMs, String what) {
            note(atMs, what);
            broken(Rule.LOST, atMs, what, this);
        }

        /** Its node was killed: nothing is owed any more. */
        public void nodeDied(double atMs) {
            note(atMs, "its node dies");
            gone = true;
        }

        /** Nobody waits any more: whether an answer came at all. */
        public void close(double atMs) {
            if (!answered && !gone) {
                note(atMs, "nobody waits any more");
                broken(Rule.LOST, atMs, "never answered", this);
                gone = true;
            }
        }

        /** The node that has taken it. */
        public String node() {
            return node;
        }

        /** Whether it must not run twice. */
        public boolean isUnsafe() {
            return unsafe;
        }

        /** Attempts that are out. */
        public int out() {
            return out;
        }

        /** An earlier attempt was still out when this one arrived, on a connection that the node had not closed. */
        public void twoAtOnce(double atMs, String host) {
            broken(Rule.TWO_AT_ONCE, atMs, "a second attempt at " + host + " while one was out", this);
        }

        /** Whether it was answered. */
        public boolean isAnswered() {
            return answered;
        }

        /** All that is known of it. */
        public List<String> history() {
            return history.stream().map(Note::text).toList();
        }
    }

    /** An attempt that has arrived at a server, until it has ended for the node. */
    public final class Attempt {
        private final Entry entry;
        private final String host;
        private final boolean ranBefore;
        private boolean over;

        private Attempt(Entry entry, String host, boolean ranBefore) {
            this.entry = entry;
            this.host = host;
            this.ranBefore = ranBefore;
        }

        private boolean over(double atMs, String how) {
            entry.note(atMs, host, ": ", how);
            if (over) {
                return false;
            }
            over = true;
            entry.out--;
            return true;
        }

        /** The server has turned it away: it has never run. */
        public void turnedAway(double atMs) {
            if (over(atMs, "turned away")) {
                entry.mayHaveRun = ranBefore;
            }
        }

        /** Whether it has ended for the node. */
        public boolean isOver() {
            return over;
        }

        /** It has ended in any other way. */
        public void ended(double atMs, String how) {
            over(atMs, how);
        }

        /** The node has given it up: its connection is closed, whatever still runs. */
        public void givenUp(double atMs) {
            over(atMs, "given up by the node");
        }
    }

    private final double slackMs;
    private final double graceMs;
    private final EnumMap<Rule, Long> counts = new EnumMap<>(Rule.class);
    private final List<Breach> breaches = new ArrayList<>();
    /** By node and host: when the node learned that it must send nothing there any more. */
    private final Map<String, Map<String, Double>> told = new HashMap<>();

    private double machineDelayMs;
    private long checked;
    private long attempts;

    /**
     * Holds the rules.
     *
     * @param slackMs how much past its deadline an answer still counts
     * @param graceMs how long after the word a send to a draining or gone server is forgiven
     */
    public RuleChecker(double slackMs, double graceMs) {
        this.slackMs = slackMs;
        this.graceMs = graceMs;
    }

    /** For so long the machine has of late kept from running what is measured: limits on times are so much longer. */
    public void machineDelay(double delayMs) {
        machineDelayMs = delayMs;
    }

    /** How much longer limits on times are now, in milliseconds. */
    public double machineDelayMs() {
        return machineDelayMs;
    }

    /** A node has taken a request. */
    public Entry taken(double atMs, String id, String className, String node, boolean unsafe, double deadlineMs) {
        checked++;
        Entry e = new Entry(id, node, unsafe, deadlineMs);
        e.note(atMs, className, unsafe ? ", unsafe, taken by " : ", safe, taken by ", node);
        if (Double.isFinite(deadlineMs)) {
            e.note(deadlineMs, "is its deadline");
        }
        return e;
    }

    /** Discovery's word has reached a node. */
    public void told(double atMs, String node, String host, boolean mayBeSentTo) {
        Map<String, Double> of = told.computeIfAbsent(node, n -> new HashMap<>());
        if (mayBeSentTo) {
            of.remove(host);
        } else {
            of.putIfAbsent(host, atMs);
        }
    }

    /** One process takes over what another was told. */
    public void inherit(String from, String to) {
        Map<String, Double> earlier = told.getOrDefault(from, Map.of());
        earlier.forEach((host, atMs) -> told(atMs, to, host, false));
    }

    /** A rule that is not about one request was broken. */
    public void report(Rule rule, double atMs, String what) {
        broken(rule, atMs, what, null);
    }

    /** A node was started anew and knows nothing of what it was told before. */
    public void forget(String node) {
        told.remove(node);
    }

    /** Whether a node was told so long ago to send nothing to a host that a request which it sends now is too late. */
    public boolean isTooLate(double atMs, String node, String host) {
        return atMs > toldMs(node, host) + graceMs;
    }

    /** When a node was told to send nothing more to a host; infinity if it was not. */
    private double toldMs(String node, String host) {
        return told.getOrDefault(node, Map.of()).getOrDefault(host, Double.POSITIVE_INFINITY);
    }

    /** A node sends a request's last byte to a host. */
    public void sent(double atMs, String node, String host, Entry request) {
        double since = toldMs(node, host);
        if (isTooLate(atMs, node, host)) {
            broken(
                    Rule.DRAIN,
                    atMs,
                    String.format(Locale.ROOT, "%s sends to %s, told %.1f ms ago to stop", node, host, atMs - since),
                    request);
        }
    }

    /** A cold server was pushed over. */
    public void pushedOver(double atMs, String host) {
        broken(Rule.PUSHED_OVER, atMs, host + " was pushed over while it was cold", null);
    }

    private void broken(Rule rule, double atMs, String what, Entry request) {
        if (counts.merge(rule, 1L, Long::sum) <= KEPT) {
            breaches.add(new Breach(
                    rule,
                    atMs,
                    request == null ? what : request.id + ": " + what,
                    request == null ? List.of() : request.history()));
        }
    }

    /** How often a rule was broken. */
    public long broken(Rule rule) {
        return counts.getOrDefault(rule, 0L);
    }

    /** How often any was. */
    public long broken() {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Requests that were held against the rules. */
    public long checked() {
        return checked;
    }

    /** Attempts that arrived at servers for them. */
    public long attempts() {
        return attempts;
    }

    /** The first breaches, each with its history. */
    public List<Breach> breaches() {
        return List.copyOf(breaches);
    }
}
