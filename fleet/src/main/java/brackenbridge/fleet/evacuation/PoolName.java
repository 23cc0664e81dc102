package brackenbridge.fleet.evacuation;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Comparator;

/**
 * The name of a pool, {@code tier/zone/kind}.
 *
 * @param tier the tier
 * @param zone the zone
 * @param kind what distinguishes the pool's servers from others of the same tier and zone
 */
public record PoolName(String tier, String zone, String kind) implements Comparable<PoolName> {
    private static final Comparator<PoolName> ORDER =
            Comparator.comparing(PoolName::tier).thenComparing(PoolName::zone).thenComparing(PoolName::kind);

    /**
     * Parses a name.
     *
     * @throws IllegalArgumentException if it does not consist of three non-empty parts
     */
    @JsonCreator
    public static PoolName parse(String name) {
        String[] parts = name.split("/", -1);
        if (parts.length != 3 || parts[0].isEmpty() || parts[1].isEmpty() || parts[2].isEmpty()) {
            throw new IllegalArgumentException("pool name must have the form tier/zone/kind: " + name);
        }
        return new PoolName(parts[0], parts[1], parts[2]);
    }

    @Override
    public int compareTo(PoolName other) {
        return ORDER.compare(this, other);
    }

    @JsonValue
    @Override
    public String toString() {
        return tier + "/" + zone + "/" + kind;
    }
}
