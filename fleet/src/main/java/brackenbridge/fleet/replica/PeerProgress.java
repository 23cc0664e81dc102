package brackenbridge.fleet.replica;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** What the protocol knows of one peer. Mutable; of the {@link ReplicationProtocol} that holds it. */
final class PeerProgress {
    long incarnation;
    /** Whether it has sent all its marks since it was last reachable. */
    boolean hasSentAllSummaries;
    /** The sequence number of this member's log that it has said to hold. */
    long acknowledgedSequence;

    double nextSummaryRequestMs = Double.NEGATIVE_INFINITY;
    /** What it holds of this member's ended incarnations, by its last full list. */
    Map<Long, Long> endedSequences = Map.of();

    Map<Long, Long> partialEndedSequences = new TreeMap<>();
    final Map<CatchUp.LogId, ReplicationMessage.LogRequest> pendingRequests = new LinkedHashMap<>();
}
