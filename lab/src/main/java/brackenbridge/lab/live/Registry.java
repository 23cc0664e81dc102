package brackenbridge.lab.live;

import brackenbridge.lab.rules.RuleChecker;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/** The requests that are under way or were of late, by their ids; servers find here what they are sent. */
public final class Registry {
    /** An id is forgotten so long after its deadline. */
    private static final double KEPT_MS = 5000;

    /** A request and its last attempt. */
    public static final class Known {
        final RuleChecker.Entry entry;
        final double deadlineMs;
        RuleChecker.Attempt last;

        Known(RuleChecker.Entry entry, double deadlineMs) {
            this.entry = entry;
            this.deadlineMs = deadlineMs;
        }

        /** Whether an attempt of it has come to a server. */
        public boolean hasReachedServer() {
            return last != null;
        }
    }

    private record Old(String id, double untilMs) {}

    private final Map<String, Known> known = new HashMap<>();
    private final Map<String, LongTransfer> transfers = new HashMap<>();
    private final ArrayDeque<Old> old = new ArrayDeque<>();
    private Function<String, Known> unknown;

    /** A request that servers may be sent from now on. */
    public Known add(String id, RuleChecker.Entry entry, double nowMs, double deadlineMs) {
        while (!old.isEmpty() && old.peek().untilMs() < nowMs) {
            known.remove(old.poll().id());
        }
        Known k = new Known(entry, deadlineMs);
        known.put(id, k);
        old.add(new Old(id, deadlineMs + KEPT_MS));
        return k;
    }

    /** A request whose server treats it by a plan, until {@link #forgetTransfer}. */
    public void addTransfer(String id, LongTransfer transfer) {
        transfers.put(id, transfer);
    }

    /** The request is over. */
    public void forgetTransfer(String id) {
        transfers.remove(id);
    }

    /** The long transfer of the request with this id; null if there is none. */
    LongTransfer transferOf(String id) {
        return transfers.get(id);
    }

    /** Ids that nobody has added are taken as they come: clients of another process send them. */
    void open(Function<String, Known> unknown) {
        this.unknown = unknown;
    }

    /** The request with this id; null if there is none. */
    public Known of(String id) {
        if (id == null) {
            return null;
        }
        Known k = known.get(id);
        return k == null && unknown != null ? unknown.apply(id) : k;
    }

    /** All that one node has taken and not answered: it has died. */
    void nodeDied(String node, double nowMs) {
        for (Known k : known.values()) {
            if (k.entry.node().equals(node) && !k.entry.isAnswered()) {
                k.entry.nodeDied(nowMs);
            }
        }
    }
}
