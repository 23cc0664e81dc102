package brackenbridge.core.membership;

/** A command of {@link DiscoveryWatch}, to be carried out by its caller. */
public sealed interface DiscoveryCommand {
    /** Open a watch at discovery for all changes after this version. */
    record OpenWatch(long call, long afterVersion) implements DiscoveryCommand {}

    /** Cancel this call, either because it was silent or because another one replaces it. */
    record EndCall(long call, boolean silent) implements DiscoveryCommand {}

    /** Call {@link DiscoveryWatch#onTimer} with this timer at this time or soon after, in milliseconds. */
    record Wake(double atMs, long timer) implements DiscoveryCommand {}
}
