package brackenbridge.lab.policy;

import java.util.List;

/** Chooses a server for an attempt: all in which the compared policies differ. */
interface Chooser {
    /** Chooses among servers that may be sent to; the list is not empty and its order does not change by itself. */
    Peer choose(long now, List<Peer> peers);

    /** An attempt begins there. */
    default void sent(long now, Peer peer) {}

    /** An attempt there has ended after so many microseconds; whether it was served. */
    default void ended(long now, Peer peer, long latency, boolean served) {}
}
