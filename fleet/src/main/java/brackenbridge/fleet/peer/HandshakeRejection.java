package brackenbridge.fleet.peer;

/** Why a handshake was refused; both sides log it. The order is the wire's: new ones are added at the end. */
public enum HandshakeRejection {
    /** The bytes were no handshake. */
    UNREADABLE("unreadable", false),
    /** The two sides have no version of the protocol in common. */
    VERSION("no common version", true),
    /** The other belongs to another fleet. */
    ANOTHER_FLEET("another fleet", true),
    /** The member that was dialled is not at this address: another has it now. */
    NOT_THE_ONE("not the one dialled", true),
    /** The caller is not in this member's list. */
    UNKNOWN_MEMBER("not a member", true),
    /** The caller's life is earlier than one that was heard of: an old disk, or a copy that was started before. */
    OLD_LIFE("earlier life", true),
    /** Two processes live under the caller's name. */
    DUPLICATE("two nodes of one name", true),
    /** The pair has its connection; crossing dials end so. */
    LINKED("linked already", false),
    /** This side is about to end. */
    CLOSING("closing", false);

    private final String text;
    private final boolean lasting;

    HandshakeRejection(String text, boolean lasting) {
        this.text = text;
        this.lasting = lasting;
    }

    /** In words. */
    public String text() {
        return text;
    }

    /** Whether dialling again soon is of no use. */
    public boolean lasting() {
        return lasting;
    }
}
