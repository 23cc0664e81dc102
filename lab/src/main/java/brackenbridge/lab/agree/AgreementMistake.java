package brackenbridge.lab.agree;

/** Mistakes that an implementation of the agreement could make; exploring it with one of them must find a breach. */
public enum AgreementMistake {
    /** None: the machines as they are. */
    NONE,
    /** A holder that was stalled goes on before it looks at its lease. */
    LEASE_NOT_LOOKED_AT,
    /** A lease runs from the moment at which the answer came, not from the question. */
    LEASE_FROM_ANSWER,
    /** An answer to an earlier question is taken for one to the last. */
    ANY_ANSWER_TAKEN,
    /** What is staged is acted by alone. */
    STAGED_ALONE,
    /** A holder that asks counts as having heard what it is about to be told. */
    HEARD_WHEN_SAID,
    /** The staged generation is in force at once. */
    NOBODY_WAITED_FOR,
    /** A lease that was renewed is waited for as if it had not been. */
    RENEWAL_FORGOTTEN,
    /** A new authority does not wait for what the old one granted. */
    TAKEOVER_WITHOUT_WAIT,
    /** A new authority knows less than the old one had told. */
    WORD_NOT_DURABLE,
    /** An authority that was replaced goes on granting. */
    DEPOSED_GRANTS,
    /** The authority takes all clocks to run as its own. */
    DRIFT_FORGOTTEN
}
