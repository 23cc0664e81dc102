package brackenbridge.core.share;

import java.util.Map;

/**
 * Which part of its usual load each zone is to have: a value from outside that ends by itself.
 *
 * @param token who orders it, by a number that is greater for each new driver; a lower one than was told before is
 *     passed over
 * @param epoch counts the orders of one driver; a lower one of the same token is passed over
 * @param parts the part of its usual load that each zone keeps, within 0 to 1; a zone that is absent keeps all. What a
 *     zone does not keep goes to the others by their slots
 * @param untilMs from then on every zone has its usual load again, by this node's clock
 */
public record ZoneWeights(long token, long epoch, Map<String, Double> parts, double untilMs) {
    /** Keeps its own copy. */
    public ZoneWeights {
        parts = Map.copyOf(parts);
    }
}
