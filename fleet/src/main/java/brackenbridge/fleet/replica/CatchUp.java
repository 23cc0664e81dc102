package brackenbridge.fleet.replica;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Catch-up: which logs are behind what peers have named, from which peer to request the rest, and when. Not
 * thread-safe.
 * Bounded: one gap for each log that is behind, {@code 2 * MAX_OWNERS} at the most.
 */
public final class CatchUp {
    /**
     * The log of one incarnation of an owner.
     *
     * @param owner whose
     * @param incarnation which of its incarnations
     */
    public record LogId(String owner, long incarnation) implements Comparable<LogId> {
        @Override
        public int compareTo(LogId o) {
            int c = owner.compareTo(o.owner);
            return c != 0 ? c : Long.compare(incarnation, o.incarnation);
        }
    }

    private static final class Gap {
        /** The greatest sequence number that a peer has named. */
        long targetSequence;
        /** All up to this sequence number is here. */
        long appliedSequence;
        /** The peer to request from. */
        String source;
        /** Since when writes up to {@link #lagTargetSequence} are missing, in milliseconds. */
        double behindSinceMs;
        /** The target when the present lag began. */
        long lagTargetSequence;

        double nextRequestAtMs;
        /** Requests since the last progress. */
        int requests;
        /** When a peer last named it, in milliseconds. */
        double namedAtMs;
    }

    /** A log that was requested in vain and that no peer has named for so long is forgotten; milliseconds. */
    private static final double FORGET_AFTER_MS = 5000;
    /** Logs in one request, at the most. */
    private static final int MAX_LOGS_PER_REQUEST = 64;
    /** Requests in vain from one peer, after which another that names the log takes its place. */
    private static final int MAX_REQUESTS_TO_SOURCE = 1;
    /** The pause between requests grows up to so many times the first. */
    private static final int MAX_BACKOFF_FACTOR = 8;
    /** Requests in vain after which a log that is not named any more is forgotten. */
    private static final int MAX_REQUESTS_UNNAMED = 2;

    private final ReplicationLimits limits;
    private final Map<LogId, Gap> gaps = new TreeMap<>();
    private boolean wasLevel;

    /** Nothing was named yet. */
    public CatchUp(ReplicationLimits limits) {
        this.limits = limits;
    }

    /** A peer has named the sequence number that its copy of a log has reached. */
    public void onPosition(String peer, LogId of, long named, long applied, double nowMs) {
        if (named <= applied) {
            return;
        }
        Gap gap = gaps.get(of);
        if (gap == null) {
            if (gaps.size() >= 2 * RecordStore.MAX_OWNERS) {
                return;
            }
            gap = new Gap();
            gap.behindSinceMs = nowMs;
            gap.lagTargetSequence = named;
            gaps.put(of, gap);
        }
        gap.appliedSequence = applied;
        // The first who has all of it stays the one to ask, unless it did not answer.
        if (named > gap.targetSequence || gap.requests > MAX_REQUESTS_TO_SOURCE) {
            gap.source = peer;
            gap.requests = 0;
        }
        gap.targetSequence = Math.max(gap.targetSequence, named);
        gap.namedAtMs = nowMs;
    }

    /** Incarnations of an owner before this one have ended: what peers keep of them is named anew. */
    public void dropEnded(String owner, long before) {
        gaps.keySet().removeIf(of -> of.owner().equals(owner) && of.incarnation() < before);
    }

    /** The copy here has reached this sequence number; {@link Long#MAX_VALUE} if it is not needed any more. */
    public void onProgress(LogId of, long applied, double nowMs) {
        Gap gap = gaps.get(of);
        if (gap == null) {
            return;
        }
        if (applied >= gap.targetSequence) {
            gaps.remove(of);
            return;
        }
        if (applied >= gap.lagTargetSequence) {
            gap.behindSinceMs = nowMs;
            gap.lagTargetSequence = gap.targetSequence;
        }
        gap.appliedSequence = applied;
        gap.requests = 0;
        gap.nextRequestAtMs = nowMs;
    }

    /** What to request now, by peer; each is requested again with a growing pause until there is progress. */
    public Map<String, List<LogId>> dueRequests(double nowMs) {
        Map<String, List<LogId>> due = new LinkedHashMap<>();
        // Guards against waiting for ever for what nobody in reach names any more: folded, or its only holder is gone.
        gaps.values().removeIf(gap -> gap.requests > MAX_REQUESTS_UNNAMED && nowMs - gap.namedAtMs > FORGET_AFTER_MS);
        gaps.forEach((of, gap) -> {
            if (gap.nextRequestAtMs <= nowMs) {
                List<LogId> requests = due.computeIfAbsent(gap.source, p -> new ArrayList<>());
                if (requests.size() < MAX_LOGS_PER_REQUEST) {
                    requests.add(of);
                    gap.requests++;
                    gap.nextRequestAtMs =
                            nowMs + limits.requestTimeoutMs() * Math.min(MAX_BACKOFF_FACTOR, gap.requests);
                }
            }
        });
        return due;
    }

    /** How many writes it is known to lack: at least as many as records, since some were written over. */
    public long missingWrites() {
        return gaps.values().stream()
                .mapToLong(gap -> gap.targetSequence - gap.appliedSequence)
                .sum();
    }

    /**
     * Whether all that was named is here, but for what was named within {@link ReplicationLimits#maxLagMs}; the first
     * time, without that.
     *
     * @param initialized whether enough peers have listed what they have
     */
    public boolean isLevel(boolean initialized, double nowMs) {
        wasLevel |= initialized && gaps.isEmpty();
        return wasLevel && gaps.values().stream().allMatch(gap -> nowMs - gap.behindSinceMs <= limits.maxLagMs());
    }
}
