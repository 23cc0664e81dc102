package brackenbridge.fleet.evacuation;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Comparator;

/**
 * The name of a pool, {@code tier/zone/kind}.
 *
 * @param tier the tier
 * @param zone the zone
 * @param kind what tells its servers from others of the tier and zone
 */
public record PoolName(String tier, String zone, String kind) implements Comparable<PoolName> {
    private static final Comparator<PoolName> ORDER =
            Comparator.comparing(PoolName::tier).thenComparing(PoolName::zone).thenComparing(PoolName::kind);

    /**
     * Reads a name.
     *
     * @throws IllegalArgumentException if it has not three parts
     */
    @JsonCreator
    public static PoolName parse(String name) {
        String[] parts = name.split("/", -1);
        if (parts.length != 3 || parts[0].isEmpty() || parts[1].isEmpty() || parts[2].isEmpty()) {
            throw new IllegalArgumentException("a pool is tier/zone/kind, not " + name);
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
