package brackenbridge.lab.agree;

/**
 * How far histories go.
 *
 * @param holders nodes
 * @param ticks steps of time; a lease is {@link #LEASE} of them
 * @param asks questions of one life of a holder
 * @param starts times that a holder's process starts again
 * @param proposals proposals
 * @param takeovers times that another authority takes over
 */
public record Bounds(int holders, int ticks, int asks, int starts, int proposals, int takeovers) {
    /** The length of a lease, in ticks. */
    public static final int LEASE = 2;
    /** In so many ticks a holder's clock may miss one. */
    public static final int LAG_EVERY = LEASE + 1;
}
