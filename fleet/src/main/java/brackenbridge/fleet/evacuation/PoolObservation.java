package brackenbridge.fleet.evacuation;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What one node sees of a class at a pool: a record of space {@code POOLS}, as JSON. A pool is the servers of one tier,
 * zone and kind; its name is {@code tier/zone/kind}. Figures of the pool as a whole (servers to {@code slowAt}) are the
 * same in the records of all its classes.
 *
 * @param arrivals first tries a second that this node sends there
 * @param attempts all tries a second
 * @param refused calls a second that this node turned away
 * @param servers servers of the pool that this node knows to run
 * @param slots calls that one server works on at the same time, as far as known; 0 if not
 * @param busy the mean number of this node's calls that are at the pool
 * @param serviceMs mean time of an answer when the pool is at ease, in milliseconds; 0 if not known
 * @param latencyMs mean time of an answer of late, in milliseconds
 * @param squaredVariation squared coefficient of variation of the answers' times
 * @param failed the part of tries that failed
 * @param overMs for how long all this was seen, in milliseconds
 * @param utilisation the mean part of their time for which servers say they work, 0 to 1; negative if none says
 * @param connections calls that one server may have open, those that wait for a slot included; 0 if not known
 * @param coldFrom the part of its speed that a server has at its start; 1 if it has all
 * @param coldMs after what time it has all
 * @param slowPart the part of its speed that was left to a server after a backlog; 1 if none was ever seen
 * @param slowAt calls at a server from which on that was so; 0 if none was ever seen
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
