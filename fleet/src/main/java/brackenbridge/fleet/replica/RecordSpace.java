package brackenbridge.fleet.replica;

/**
 * What is replicated, and by which rule copies that differ are made one.
 *
 * <p>The file {@code docs/design/replication.md} has for each: owner, kind, how old it may be before it is not acted
 * on, and what a node does without it.
 */
public enum RecordSpace {
    /** What a node sees of each server: key is the host. */
    SERVERS(Kind.REGISTER, 10_000),
    /** What a node's tenants want and use of each pool: key is {@code pool/tenant}. */
    DEMAND(Kind.REGISTER, 3_000),
    /** What a node sees of each pool and class: key is {@code pool/class}. */
    POOLS(Kind.REGISTER, 15_000),
    /** How far a node is, what it holds and how old: key is empty. */
    NODES(Kind.REGISTER, 10_000),
    /** Connection time that each tenant has used: key is {@code pool/tenant}. */
    USED(Kind.COUNTER, Double.POSITIVE_INFINITY),
    /** Attempts that went out: key is the pool. */
    ATTEMPTS(Kind.COUNTER, Double.POSITIVE_INFINITY);

    /** The rule by which copies become one. */
    public enum Kind {
        /** One writer: the newer by incarnation and sequence wins; two writers of one name are both quarantined. */
        REGISTER,
        /** A sum over writers that survives a writer's end: each writer's part only grows. */
        COUNTER
    }

    private final Kind kind;
    private final double maxAgeMs;

    RecordSpace(Kind kind, double freshMs) {
        this.kind = kind;
        this.maxAgeMs = freshMs;
    }

    /** Its rule. */
    public Kind kind() {
        return kind;
    }

    /** A record whose owner was not heard of for longer than this is not acted on; milliseconds. */
    public double maxAgeMs() {
        return maxAgeMs;
    }

    /**
     * Checks the rule.
     *
     * @throws IllegalArgumentException if it is another one
     */
    void requireKind(Kind required) {
        if (kind != required) {
            throw new IllegalArgumentException(this + " is not of kind " + required);
        }
    }
}
