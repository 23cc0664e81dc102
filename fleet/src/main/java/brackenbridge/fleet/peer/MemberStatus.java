package brackenbridge.fleet.peer;

/** What a member holds of another's life. */
public enum MemberStatus {
    /** Never heard of since the start. */
    UNKNOWN,
    /** Heard of lately, by itself or through others. */
    ALIVE,
    /** Not heard of for a while: it may refute. */
    SUSPECT,
    /** Taken for dead until it is heard of with a later life or a refutation. */
    GONE
}
