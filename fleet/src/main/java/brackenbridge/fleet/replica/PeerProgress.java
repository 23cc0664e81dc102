package brackenbridge.fleet.replica;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** State that the protocol keeps of one peer. Mutable; owned by its {@link ReplicationProtocol}. */
final class PeerProgress {
    long incarnation;
    /** Whether it has sent all its summaries since it last became reachable. */
    boolean hasSentAllSummaries;
    /** The greatest position of its copy of this member's log that it has reported. */
    long acknowledgedSequence;

    /** The earliest time to request all its summaries again, in milliseconds. */
    double nextSummaryRequestMs = Double.NEGATIVE_INFINITY;
    /** Positions of its copies of this member's ended incarnations, by its last complete list of summaries. */
    Map<Long, Long> endedSequences = Map.of();

    /** The same, from a list of summaries that is not complete yet. */
    Map<Long, Long> partialEndedSequences = new TreeMap<>();
    /** Its requests that are not answered yet. */
    final Map<CatchUp.LogId, ReplicationMessage.LogRequest> pendingRequests = new LinkedHashMap<>();

    /** Its list of summaries is complete. */
    void completeSummaries() {
        hasSentAllSummaries = true;
        endedSequences = partialEndedSequences;
        partialEndedSequences = new TreeMap<>();
    }

    /** Whether it has reported this position in this ended incarnation. */
    boolean hasEndedLog(Map.Entry<Long, Long> ended) {
        return ended.getValue().equals(endedSequences.get(ended.getKey()));
    }
}
