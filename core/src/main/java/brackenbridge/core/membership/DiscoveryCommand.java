package brackenbridge.core.membership;

/** What {@link DiscoveryWatch} wants done. */
public sealed interface DiscoveryCommand {
    /** Ask discovery for all that changes after this version, as it comes. */
    record OpenWatch(long call, long afterVersion) implements DiscoveryCommand {}

    /** Give this call up, for its silence or because another takes its place. */
    record EndCall(long call, boolean silent) implements DiscoveryCommand {}

    /** Call {@link DiscoveryWatch#wake} with this turn at this time or soon after, in milliseconds. */
    record Wake(double atMs, long timer) implements DiscoveryCommand {}
}
