package brackenbridge.core.membership;

/** What {@link Membership} wants done. */
public sealed interface Step {
    /** Ask discovery for all that changes after this version, as it comes. */
    record Open(long call, long afterSeq) implements Step {}

    /** Give this call up, for its silence or because another takes its place. */
    record End(long call, boolean silent) implements Step {}

    /** Call {@link Membership#wake} with this turn at this time or soon after, in milliseconds. */
    record Wake(double atMs, long turn) implements Step {}
}
