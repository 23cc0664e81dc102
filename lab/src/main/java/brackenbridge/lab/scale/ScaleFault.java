package brackenbridge.lab.scale;

import java.util.Locale;

/**
 * A fault of a scale test.
 *
 * @param kind what happens
 * @param amount how many machines are killed, which part of the nodes is struck; its meaning goes by the kind
 * @param region the region that it strikes; empty where the seed draws one, or for all
 * @param atMs when, from the beginning of the changes on, in milliseconds
 * @param forMs for how long, in milliseconds
 */
public record ScaleFault(Kind kind, double amount, String region, double atMs, double forMs) {
    /** Kinds. */
    public enum Kind {
        /** Control machines are killed and started again with their disks; amount: how many at once. */
        KILL,
        /** Nothing comes through between the region and the others, machines and nodes alike. */
        CUT,
        /** Nothing that control machines send to the region's nodes arrives; the other way does. */
        ONE_WAY,
        /** Nodes stop reading; amount: which part of all. */
        SLOW,
        /** Nodes end and start again with nothing, spread over the time; amount: which part of all. */
        RESTART
    }

    /** In words. */
    public String text() {
        return String.format(
                Locale.ROOT,
                "%s %s%s at %.0f s for %.0f s",
                kind.name().toLowerCase(Locale.ROOT),
                amount == Math.rint(amount) ? Integer.toString((int) amount) : Double.toString(amount),
                region.isEmpty() ? "" : " " + region,
                atMs / 1000,
                forMs / 1000);
    }
}
