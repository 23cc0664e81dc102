package brackenbridge.lab.world;

/**
 * Something that goes wrong, at a time and for a time. Several at once are several of these.
 *
 * @param kind what
 * @param atMs when
 * @param forMs for how long; infinite if it lasts
 * @param tier the tier it strikes
 * @param count how many servers or nodes it strikes, the first ones that are not yet struck at that time
 * @param amount how much of it; its meaning goes by the kind
 * @param className the class that it strikes, where only one is; null otherwise
 * @param everyMs the time between one server or node and the next, where it goes from one to the next
 */
public record Trouble(
        Kind kind, double atMs, double forMs, int tier, int count, double amount, String className, double everyMs) {
    /** Kinds of trouble; each says what its amount means, and the amount where the file gives none. */
    public enum Kind {
        /** Servers run slower; amount: by what factor. */
        SLOW(4),
        /** Servers take requests and do nothing. */
        HANG(0),
        /** A neighbour takes cores, half of the time; amount: the part that it takes. */
        NEIGHBOUR(0.7),
        /** More requests arrive; amount: by what factor. */
        BURST(2),
        /** Servers are drained, and come back cold after the time. */
        DRAIN(0),
        /** Servers leave the list at once and are gone. */
        LEAVE(0),
        /** Processes die and start again, cold, after the time. */
        CRASH(0),
        /** Processes die; others under new names take their addresses at once, cold. */
        REPLACE(0),
        /** Machines fall silent: nothing comes from them, and nothing is refused. */
        CUT_OFF(0),
        /** Connections break instead of answers; amount: the part of answers. */
        RESET(0.2),
        /** Idle connections end without a word; amount: after how many milliseconds. */
        STALE(50),
        /** Servers fail one class; amount: the part of its requests. */
        CLASS_FAILS(1),
        /** Answers can't be read; amount: the part of them. */
        SPOILT(0.2),
        /** Answers have no length and end with their connections; amount: the part of them. Real sockets alone. */
        NO_LENGTH(0.2),
        /** Discovery tells later; amount: by how many milliseconds. */
        DISCOVERY_LATE(4000),
        /** Discovery is down: calls fail and watches end. */
        DISCOVERY_SILENT(0),
        /** Discovery has another address; nodes are told by a new configuration. */
        DISCOVERY_MOVED(0),
        /** Discovery answers calls only in turn; amount: the milliseconds that each takes. */
        DISCOVERY_OVERLOADED(800),
        /** The next watch that is opened ends soon, in place of telling what has changed. Real sockets alone. */
        DISCOVERY_ENDS_WATCH(0),
        /** Nodes are killed, and start again after the time. */
        NODE_KILLED(0),
        /** Nodes are told to stop, and start again after the time. */
        NODE_RESTARTED(0);

        private final double usual;

        Kind(double usual) {
            this.usual = usual;
        }

        /** The amount where none is given. */
        public double usual() {
            return usual;
        }

        /** Whether it strikes nodes. */
        public boolean ofNodes() {
            return this == NODE_KILLED || this == NODE_RESTARTED;
        }

        /** Whether it strikes servers. */
        public boolean ofServers() {
            return !ofNodes() && this != BURST && !name().startsWith("DISCOVERY");
        }
    }

    /** When it is over. */
    public double endMs() {
        return atMs + forMs;
    }
}
