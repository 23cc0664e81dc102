package brackenbridge.fleet.agreed;

/** Is notified of applied entries of the replicated log; called on the member's thread. */
interface AppliedListener {
    /**
     * The first entry of a leader term was applied.
     *
     * @param leads whether this member is the leader
     */
    void onTermBegun(boolean leads);

    /** A command was applied while this member is the leader. */
    void onApplied(LogCommand command, AgreedState.Result result);
}
