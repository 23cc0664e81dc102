package brackenbridge.fleet.replica;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Objects;

/**
 * What members tell each other about own and counted records. All are idempotent, and each may be lost, late, repeated
 * or out of order.
 */
public sealed interface ReplicationMessage {
    /** Elements of any list of a message, at the most. */
    int MAX_LIST_SIZE = 1024;

    /**
     * That an owner is alive, and how far the sender's copy of its newest incarnation is.
     *
     * @param owner whose
     * @param life its newest incarnation that the sender has heard of
     * @param nonce drawn by the owner's process at its start: two for one incarnation are two writers
     * @param beat grows with every heartbeat
     * @param said how many writes the owner had made at that beat
     * @param have how many of them the sender has
     * @param ageMs how long ago the owner gave this beat, as far as the sender's clock and those before it know
     * @param aside whether this incarnation was quarantined because two wrote in it
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record OwnerSummary(
            String owner,
            long incarnation,
            long nonce,
            long heartbeat,
            long announcedSequence,
            long appliedSequence,
            long ageMs,
            boolean quarantined) {
        /** Checks bounds. */
        public OwnerSummary {
            requireName(owner);
            requireNonNegative(incarnation, heartbeat, announcedSequence, appliedSequence, ageMs);
        }
    }

    /**
     * How much of an ended incarnation the sender has.
     *
     * @param owner whose
     * @param life which incarnation
     * @param have how many of its writes
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record EndedLog(String owner, long incarnation, long appliedSequence) {
        /** Checks bounds. */
        public EndedLog {
            requireName(owner);
            requireNonNegative(incarnation, appliedSequence);
        }
    }

    /**
     * Marks, all that the sender has or the news.
     *
     * @param ask whether the sender wants the receiver's in return
     * @param whole whether this ends a list of all that the sender has
     * @param marks newest incarnations
     * @param ended ended incarnations of which counters are kept
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record OwnerSummaries(
            boolean replyRequested, boolean complete, List<OwnerSummary> summaries, List<EndedLog> endedLogs)
            implements ReplicationMessage {
        /** Checks bounds. */
        public OwnerSummaries {
            requireBounded(summaries, endedLogs);
        }
    }

    /**
     * Asks for what is missing of one incarnation.
     *
     * @param owner whose
     * @param life which incarnation
     * @param have all up to this write are there
     * @param cursor with a snapshot under way: it is taken up to this write; else 0
     * @param base with a snapshot under way: it ends at this write; else 0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record LogRequest(String owner, long incarnation, long appliedSequence, long snapshotCursor, long snapshotEnd) {
        /** Checks bounds. */
        public LogRequest {
            requireName(owner);
            requireNonNegative(incarnation, appliedSequence, snapshotCursor, snapshotEnd);
        }
    }

    /**
     * Asks for what is missing.
     *
     * @param wants of which incarnations
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record LogRequests(List<LogRequest> requests) implements ReplicationMessage {
        /** Checks bounds. */
        public LogRequests {
            requireBounded(requests);
        }
    }

    /**
     * The last writes of all keys of one incarnation that were written last after {@code from} and up to {@code to}.
     *
     * @param owner whose
     * @param life which incarnation
     * @param newest the newest incarnation that the sender knows; if later, this one has ended and its own records
     *     are left out
     * @param from after this write
     * @param to up to this write
     * @param base 0: the receiver needs all up to {@code from}; else this is a piece of a snapshot that ends at this
     *     write, and what the receiver has between {@code from} and {@code to} that is not in it is gone
     * @param floor tombstones up to this write are forgotten by the sender
     * @param entries the writes, earliest first
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record LogChunk(
            String owner,
            long incarnation,
            long newestIncarnation,
            long afterSequence,
            long upToSequence,
            long snapshotEnd,
            long tombstoneFloor,
            List<ReplicatedRecord> records)
            implements ReplicationMessage {
        /** Checks bounds and order. */
        public LogChunk {
            requireName(owner);
            requireNonNegative(
                    incarnation, newestIncarnation, afterSequence, upToSequence, snapshotEnd, tombstoneFloor);
            requireBounded(records);
            long previous = afterSequence;
            for (ReplicatedRecord record : records) {
                if (record.version().incarnation() != incarnation
                        || record.version().sequence() <= previous
                        || record.version().sequence() > upToSequence) {
                    throw new IllegalArgumentException("a write out of order");
                }
                previous = record.version().sequence();
            }
            if (upToSequence < afterSequence
                    || incarnation > newestIncarnation
                    || snapshotEnd != 0 && upToSequence > snapshotEnd) {
                throw new IllegalArgumentException("not a piece of a log");
            }
        }
    }

    /**
     * A digest of a copy of one incarnation.
     *
     * @param owner whose
     * @param life which incarnation
     * @param have up to which write the copy is
     * @param digest over all ranges of keys
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record LogDigest(String owner, long incarnation, long appliedSequence, long digest) {
        /** Checks bounds. */
        public LogDigest {
            requireName(owner);
            requireNonNegative(incarnation, appliedSequence);
        }
    }

    /**
     * Digests of copies, for comparison.
     *
     * @param digests of which incarnations
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record LogDigests(List<LogDigest> digests) implements ReplicationMessage {
        /** Checks bounds. */
        public LogDigests {
            requireBounded(digests);
        }
    }

    /**
     * Digests of a copy by ranges of keys.
     *
     * @param owner whose
     * @param life which incarnation
     * @param have up to which write the copy is
     * @param digests one for each range
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record RangeDigests(String owner, long incarnation, long appliedSequence, List<Long> digests)
            implements ReplicationMessage {
        /** Checks bounds. */
        public RangeDigests {
            requireName(owner);
            requireNonNegative(incarnation, appliedSequence);
            if (digests == null
                    || digests.size() != RecordKey.RANGE_COUNT
                    || digests.stream().anyMatch(Objects::isNull)) {
                throw new IllegalArgumentException("not as many ranges as there are");
            }
        }
    }

    /**
     * All records of a copy in a range of keys, as it holds them.
     *
     * @param owner whose
     * @param life which incarnation
     * @param have up to which write the copy is
     * @param range which range
     * @param part counts the pieces of the range from 0
     * @param last whether it is the last piece
     * @param ask whether the sender wants the receiver's in return
     * @param entries the records in the order of their keys, complete from the first one's key to the last one's
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record RangeRecords(
            String owner,
            long incarnation,
            long appliedSequence,
            int range,
            int piece,
            boolean lastPiece,
            boolean replyRequested,
            List<ReplicatedRecord> records)
            implements ReplicationMessage {
        /** Checks bounds. */
        public RangeRecords {
            requireName(owner);
            requireNonNegative(incarnation, appliedSequence, range, piece);
            requireBounded(records);
            if (range >= RecordKey.RANGE_COUNT) {
                throw new IllegalArgumentException("no such range");
            }
        }
    }

    private static void requireName(String name) {
        if (name == null || name.isEmpty() || name.length() > 128 || !ReplicatedRecord.isEncodable(name)) {
            throw new IllegalArgumentException("not a member's name");
        }
    }

    private static void requireNonNegative(long... numbers) {
        for (long number : numbers) {
            if (number < 0) {
                throw new IllegalArgumentException("a negative number");
            }
        }
    }

    private static void requireBounded(List<?>... lists) {
        for (List<?> list : lists) {
            if (list == null || list.size() > MAX_LIST_SIZE || list.stream().anyMatch(Objects::isNull)) {
                throw new IllegalArgumentException("not a list within bounds");
            }
        }
    }
}
