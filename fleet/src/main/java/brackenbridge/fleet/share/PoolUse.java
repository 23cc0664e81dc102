package brackenbridge.fleet.share;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What a node's tenant wants and uses of a pool: a record of space {@code DEMAND}, as JSON.
 *
 * @param wanted connections that it would use now if it were alone, in flight and waiting together
 * @param used connections that it uses now
 * @param refused calls a second that were turned away for want of its share
 * @param meanMs how long one of its calls holds a connection, in milliseconds
 */
public record PoolUse(
        @JsonProperty("wanted") double demand,
        @JsonProperty("used") double inUse,
        @JsonProperty("refused") double rejectedPerSecond,
        @JsonProperty("meanMs") double meanMs) {}
