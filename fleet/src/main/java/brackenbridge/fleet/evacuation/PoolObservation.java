package brackenbridge.fleet.evacuation;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What one node observes of a request class at a pool: a record of space {@code POOLS}, as JSON. A pool consists of the
 * servers of one tier, zone and kind; its name is {@code tier/zone/kind}. Values that describe the pool itself, such as
 * {@code servers} and those from {@code utilisation} to {@code degradedAtCalls}, are the same in the records of all its
 * classes.
 *
 * @param arrivalRate first attempts per second that this node sends to the pool
 * @param attemptRate all attempts per second
 * @param rejectionRate requests per second that this node rejected
 * @param servers running servers of the pool that this node knows of
 * @param slots requests that one server works on at the same time; 0 if not known
 * @param inFlight the mean number of this node's requests in flight at the pool
 * @param serviceMs mean response time of the uncongested pool, in milliseconds; 0 if not known
 * @param latencyMs recent mean response time, in milliseconds
 * @param squaredVariation squared coefficient of variation of the response times
 * @param failureRatio the fraction of attempts that failed
 * @param windowMs the length of the observation window, in milliseconds
 * @param utilisation the mean fraction of time that servers report to be busy, 0 to 1; negative if none reports it
 * @param connections requests that one server may have open, those waiting for a slot included; 0 if not known
 * @param coldCapacityRatio the fraction of its speed that a server starts with; 1 if it starts at full speed
 * @param warmUpMs the time until a server reaches full speed
 * @param degradedCapacityRatio the fraction of its speed that a server kept after a backlog; 1 if never observed
 * @param degradedAtCalls the number of requests at a server from which on it degraded; 0 if never observed
 */
public record PoolObservation(
        @JsonProperty("arrivals") double arrivalRate,
        @JsonProperty("attempts") double attemptRate,
        @JsonProperty("refused") double rejectionRate,
        @JsonProperty("servers") int servers,
        @JsonProperty("slots") double slots,
        @JsonProperty("busy") double inFlight,
        @JsonProperty("serviceMs") double serviceMs,
        @JsonProperty("latencyMs") double latencyMs,
        @JsonProperty("squaredVariation") double squaredVariation,
        @JsonProperty("failed") double failureRatio,
        @JsonProperty("overMs") double windowMs,
        @JsonProperty("utilisation") double utilisation,
        @JsonProperty("connections") double connections,
        @JsonProperty("coldFrom") double coldCapacityRatio,
        @JsonProperty("coldMs") double warmUpMs,
        @JsonProperty("slowPart") double degradedCapacityRatio,
        @JsonProperty("slowAt") double degradedAtCalls) {}
