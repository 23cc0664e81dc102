package brackenbridge.fleet.replica;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Objects;

/**
 * Messages of the replication of registers and counters. All are idempotent, and each may be lost, delayed, duplicated
 * or reordered.
 */
public sealed interface ReplicationMessage {
    /** The maximum number of elements of a list in a message. */
    int MAX_LIST_SIZE = 1024;

    /**
     * An owner's last heartbeat, and the position of the sender's copy of its newest incarnation.
     *
     * @param owner the owner's name
     * @param incarnation the newest incarnation known to the sender
     * @param nonce a random number drawn by the owner's process at its start; two of them in one incarnation mean two
     *     writers
     * @param heartbeat the number of the heartbeat, which grows with each one
     * @param announcedSequence the number of writes that the owner had made at that heartbeat
     * @param appliedSequence the number of them that the sender has applied
     * @param ageMs the time since the owner sent that heartbeat, by the clocks of the sender and of the members that
     *     forwarded it
     * @param quarantined whether this incarnation was quarantined because two processes wrote in it
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
     * The position of the sender's copy of an ended incarnation.
     *
     * @param owner the owner's name
     * @param incarnation the ended incarnation
     * @param appliedSequence the number of its writes that the sender has applied
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
     * Summaries of all owners known to the sender, or of changed ones.
     *
     * @param replyRequested whether the receiver is to send its summaries in return
     * @param complete whether this is the last part of a list of all the sender's summaries
     * @param summaries the owners' newest incarnations
     * @param endedLogs ended incarnations whose counters are kept
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
     * Requests the missing writes of one incarnation.
     *
     * @param owner the owner's name
     * @param incarnation the owner's incarnation
     * @param appliedSequence all writes up to this one are applied
     * @param snapshotCursor the position up to which a snapshot in progress is applied; 0 if there is none
     * @param snapshotEnd the position at which that snapshot ends; 0 if there is none
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
     * Requests missing writes.
     *
     * @param requests one request for each incarnation
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record LogRequests(List<LogRequest> requests) implements ReplicationMessage {
        /** Checks bounds. */
        public LogRequests {
            requireBounded(requests);
        }
    }

    /**
     * A chunk of the log or of a snapshot of one incarnation: the last write of each key whose sequence number is
     * greater than {@code afterSequence} and at most {@code upToSequence}.
     *
     * @param owner the owner's name
     * @param incarnation the owner's incarnation
     * @param newestIncarnation the newest incarnation known to the sender; if it is later, {@code incarnation} has
     *     ended and its registers are left out
     * @param afterSequence the exclusive lower bound of the sequence numbers
     * @param upToSequence the inclusive upper bound of the sequence numbers
     * @param snapshotEnd 0 for a chunk of the log, before which the receiver needs all writes up to
     *     {@code afterSequence}; otherwise the position at which the snapshot ends, and records of the receiver within
     *     the bounds that are not in the chunk were removed
     * @param tombstoneFloor the sender has forgotten tombstones up to this write
     * @param records the writes, earliest first
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
                    throw new IllegalArgumentException("write out of order: " + record.version());
                }
                previous = record.version().sequence();
            }
            if (upToSequence < afterSequence
                    || incarnation > newestIncarnation
                    || snapshotEnd != 0 && upToSequence > snapshotEnd) {
                throw new IllegalArgumentException("malformed bounds of a log chunk");
            }
        }
    }

    /**
     * A digest of the sender's copy of one incarnation.
     *
     * @param owner the owner's name
     * @param incarnation the owner's incarnation
     * @param appliedSequence the position of the copy
     * @param digest the digest over all ranges of keys
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
     * Digests of the sender's copies, for comparison.
     *
     * @param digests one digest for each incarnation
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record LogDigests(List<LogDigest> digests) implements ReplicationMessage {
        /** Checks bounds. */
        public LogDigests {
            requireBounded(digests);
        }
    }

    /**
     * Digests of the sender's copy of one incarnation by ranges of keys.
     *
     * @param owner the owner's name
     * @param incarnation the owner's incarnation
     * @param appliedSequence the position of the copy
     * @param digests one digest for each range
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
                throw new IllegalArgumentException("expected " + RecordKey.RANGE_COUNT + " digests");
            }
        }
    }

    /**
     * The records of a range of keys in the sender's copy of one incarnation.
     *
     * @param owner the owner's name
     * @param incarnation the owner's incarnation
     * @param appliedSequence the position of the copy
     * @param range the index of the range
     * @param piece the index of this piece of the range, from 0
     * @param lastPiece whether this is the last piece
     * @param replyRequested whether the receiver is to send its records in return
     * @param records the records in the order of their keys; no record of the copy is left out between the first and
     *     the last key
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
                throw new IllegalArgumentException("no such range: " + range);
            }
        }
    }

    private static void requireName(String name) {
        if (name == null || name.isEmpty() || name.length() > 128 || !ReplicatedRecord.isEncodable(name)) {
            throw new IllegalArgumentException("malformed member name");
        }
    }

    private static void requireNonNegative(long... numbers) {
        for (long number : numbers) {
            if (number < 0) {
                throw new IllegalArgumentException("negative number: " + number);
            }
        }
    }

    private static void requireBounded(List<?>... lists) {
        for (List<?> list : lists) {
            if (list == null || list.size() > MAX_LIST_SIZE || list.stream().anyMatch(Objects::isNull)) {
                throw new IllegalArgumentException("malformed list: null, too long or with null elements");
            }
        }
    }
}
