package brackenbridge.fleet.agreed;

/** Hears of entries of the replicated log once they are applied; called on the member's thread. */
interface AppliedListener {
    /**
     * The first entry of a leader's term was applied.
     *
     * @param leads whether this member is the leader
     */
    void onTermBegun(boolean leads);

    /** A command was applied while this member leads. */
    void onApplied(LogCommand command, AgreedState.Result result);
}
