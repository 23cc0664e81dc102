package brackenbridge.fleet.replica;

/**
 * The spaces of replicated records, with their kind and the age limit for decisions.
 *
 * <p>The file {@code docs/design/replication.md} lists for each space its owner, kind and age limit, and what a node
 * does without the record.
 */
public enum RecordSpace {
    /** A node's observation of each server; the key is the host. */
    SERVERS(Kind.REGISTER, 10_000),
    /** The demand and usage of each pool by a node's tenants; the key is {@code pool/tenant}. */
    DEMAND(Kind.REGISTER, 3_000),
    /** A node's observation of each pool and request class; the key is {@code pool/class}. */
    POOLS(Kind.REGISTER, 15_000),
    /** The progress of a node, the versions that it has and their age; the key is empty. */
    NODES(Kind.REGISTER, 10_000),
    /** Connection time used by each tenant; the key is {@code pool/tenant}. */
    USED(Kind.COUNTER, Double.POSITIVE_INFINITY),
    /** Attempts that were sent; the key is the pool. */
    ATTEMPTS(Kind.COUNTER, Double.POSITIVE_INFINITY);

    /** The kinds of records, which differ in how copies are merged. */
    public enum Kind {
        /** One writer; the latest incarnation and sequence number wins. Two writers of one name are quarantined. */
        REGISTER,
        /** A sum over writers, each of whose parts only grows; a part outlives its writer's incarnation. */
        COUNTER
    }

    private final Kind kind;
    private final double maxAgeMs;

    RecordSpace(Kind kind, double maxAgeMs) {
        this.kind = kind;
        this.maxAgeMs = maxAgeMs;
    }

    /** The kind of the records in this space. */
    public Kind kind() {
        return kind;
    }

    /** Decisions must not be based on records that are older than this, in milliseconds. */
    public double maxAgeMs() {
        return maxAgeMs;
    }

    /**
     * Checks the kind of the records in this space.
     *
     * @throws IllegalArgumentException if it is a different kind
     */
    void requireKind(Kind required) {
        if (kind != required) {
            throw new IllegalArgumentException(this + " is not of kind " + required);
        }
    }
}
