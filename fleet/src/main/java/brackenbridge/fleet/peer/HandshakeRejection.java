package brackenbridge.fleet.peer;

/** Why a handshake was rejected; both sides log it. The order is the wire's: new ones are added at the end. */
public enum HandshakeRejection {
    /** The bytes were no handshake. */
    MALFORMED("unreadable", "unreadable", false),
    /** The two sides have no version of the protocol in common. */
    VERSION_MISMATCH("version", "no common version", true),
    /** The other belongs to another fleet. */
    FLEET_MISMATCH("another_fleet", "another fleet", true),
    /** The member that was dialled is not at this address: another has it now. */
    WRONG_MEMBER("not_the_one", "not the one dialled", true),
    /** The caller is not in this member's list. */
    UNKNOWN_MEMBER("unknown_member", "not a member", true),
    /** The caller's life is earlier than one that was heard of: an old disk, or a copy that was started before. */
    STALE_INCARNATION("old_life", "earlier life", true),
    /** Two processes live under the caller's name. */
    DUPLICATE_NAME("duplicate", "two nodes of one name", true),
    /** The pair has its connection; crossing dials end so. */
    ALREADY_CONNECTED("linked", "linked already", false),
    /** This side is about to end. */
    SHUTTING_DOWN("closing", "closing", false);

    private final String counter;
    private final String text;
    private final boolean isPermanent;

    HandshakeRejection(String counter, String text, boolean lasting) {
        this.counter = counter;
        this.text = text;
        this.isPermanent = lasting;
    }

    /** The counter of handshakes that this member has rejected so; it does not follow the constant's name. */
    public String rejectedCounter() {
        return "refused_" + counter;
    }

    /** The counter of handshakes in which a peer has rejected this member so. */
    public String rejectedByPeerCounter() {
        return "refused_by_" + counter;
    }

    /** In words. */
    public String text() {
        return text;
    }

    /** Whether dialling again soon is of no use. */
    public boolean isPermanent() {
        return isPermanent;
    }
}
