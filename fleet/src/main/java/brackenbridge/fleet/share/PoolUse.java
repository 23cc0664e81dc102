package brackenbridge.fleet.share;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A tenant's demand for and use of a pool at one node: a record of space {@code DEMAND}, as JSON.
 *
 * @param demand connections that it would use now without other tenants, in flight and waiting together
 * @param inUse connections that it uses now
 * @param rejectedPerSecond requests per second rejected because its share was exhausted
 * @param meanMs how long one of its requests holds a connection, in milliseconds
 */
public record PoolUse(
        @JsonProperty("wanted") double demand,
        @JsonProperty("used") double inUse,
        @JsonProperty("refused") double rejectedPerSecond,
        @JsonProperty("meanMs") double meanMs) {}
