package brackenbridge.fleet.replica;

/**
 * This member as an owner of records: its name, process and present incarnation. Mutable; guarded by the lock that
 * guards the {@link RecordStore}.
 */
final class LocalOwner {
    final String name;
    /** A random number that identifies this process. */
    final long nonce;

    private final RecordTable table;

    long incarnation;
    long heartbeat;
    /** Whether peers have reported this incarnation with this process's nonce. */
    boolean confirmed;
    /** Whether peers may know writes of this incarnation. */
    boolean announced = true;
    /** When this process started, in milliseconds; an earlier heartbeat of this member came from another process. */
    double startedAtMs = Double.NEGATIVE_INFINITY;

    LocalOwner(RecordTable table, String name, long incarnation, long nonce) {
        this.table = table;
        this.name = name;
        this.incarnation = incarnation;
        this.nonce = nonce;
    }

    /** A copy that refers to another table. */
    LocalOwner copy(RecordTable other) {
        LocalOwner copy = new LocalOwner(other, name, incarnation, nonce);
        copy.heartbeat = heartbeat;
        copy.confirmed = confirmed;
        copy.announced = announced;
        copy.startedAtMs = startedAtMs;
        return copy;
    }

    /** Adds this member with an empty log to the table. */
    void addToTable() {
        OwnerState owner = table.findOrAdd(name);
        owner.incarnation = incarnation;
        owner.nonce = nonce;
        owner.logs.put(incarnation, new OwnerLog(name, incarnation));
    }

    boolean isNamed(String owner) {
        return owner.equals(name);
    }

    OwnerState state() {
        return table.find(name);
    }

    /** The log of the present incarnation. */
    OwnerLog log() {
        return state().logs.get(incarnation);
    }

    boolean quarantine(String reason) {
        return table.quarantine(name, state(), reason);
    }
}
