package brackenbridge.fleet.peer;

/** Why a handshake was rejected; both sides log it. Ordinals are used on the wire: append new reasons at the end. */
public enum HandshakeRejection {
    /** The bytes are not a valid handshake. */
    MALFORMED("unreadable", "unreadable", false),
    /** The two sides have no protocol version in common. */
    VERSION_MISMATCH("version", "no common version", true),
    /** The other side belongs to another fleet. */
    FLEET_MISMATCH("another_fleet", "another fleet", true),
    /** The dialed member is not at this address; another member is. */
    WRONG_MEMBER("not_the_one", "not the one dialled", true),
    /** The other side is not among this member's configured peers. */
    UNKNOWN_MEMBER("unknown_member", "not a member", true),
    /**
     * The other side's incarnation is earlier than the latest known: the process runs on an old disk, or is a copy that
     * was started earlier.
     */
    STALE_INCARNATION("old_life", "earlier life", true),
    /** Two processes run under the other side's name. */
    DUPLICATE_NAME("duplicate", "two nodes of one name", true),
    /** The pair is already connected, as when both dial at the same time. */
    ALREADY_CONNECTED("linked", "linked already", false),
    /** This side is shutting down. */
    SHUTTING_DOWN("closing", "closing", false);

    private final String counter;
    private final String text;
    private final boolean permanent;

    HandshakeRejection(String counter, String text, boolean permanent) {
        this.counter = counter;
        this.text = text;
        this.permanent = permanent;
    }

    /**
     * Name of the counter of handshakes that this member rejected for this reason; independent of the constant's name.
     */
    public String rejectedCounter() {
        return "refused_" + counter;
    }

    /** Name of the counter of handshakes in which a peer rejected this member for this reason. */
    public String rejectedByPeerCounter() {
        return "refused_by_" + counter;
    }

    /** The reason as text, for logs and operators. */
    public String text() {
        return text;
    }

    /** Whether an early retry is useless because an operator has to remove the cause first. */
    public boolean isPermanent() {
        return permanent;
    }
}
