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
    /** Histories that are printed whole; later ones are only counted. */
    private static final int KEPT = 20;
    /** Entries that a history keeps. */
    private static final int LONGEST = 40;

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
        FORGED("success only with the server's own body");

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
        private final double deadlineMs;
        private final List<Note> history = new ArrayList<>(6);
        private int out;
        private boolean mayHaveRun;
        private boolean answered;
        private boolean gone;

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

        /** The client has its answer. */
        public void answered(double atMs, Answer how) {
            note(atMs, "answered: ", how.name(), "");
            if (answered) {
                broken(Rule.LOST, atMs, "a second answer", this);
            }
            answered = true;
            if (!gone && atMs > deadlineMs + slackMs) {
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

    /** A node has taken a request. */
    public Entry taken(double atMs, String id, String className, String node, boolean unsafe, double deadlineMs) {
        checked++;
        Entry e = new Entry(id, node, unsafe, deadlineMs);
        e.note(atMs, className, unsafe ? ", unsafe, taken by " : ", safe, taken by ", node);
        e.note(deadlineMs, "is its deadline");
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

    /** A node was started anew and knows nothing of what it was told before. */
    public void forget(String node) {
        told.remove(node);
    }

    /** A node sends a request's last byte to a host. */
    public void sent(double atMs, String node, String host, Entry request) {
        Map<String, Double> of = told.get(node);
        Double since = of == null ? null : of.get(host);
        if (since != null && atMs > since + graceMs) {
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
        counts.merge(rule, 1L, Long::sum);
        if (breaches.size() < KEPT) {
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
