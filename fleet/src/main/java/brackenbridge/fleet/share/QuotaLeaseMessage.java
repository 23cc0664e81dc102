package brackenbridge.fleet.share;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.util.Map;

/** The messages between the lease server and the nodes, on a stream of their own; any may be lost, late or repeated. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "is")
@JsonSubTypes({
    @JsonSubTypes.Type(value = QuotaLeaseMessage.Request.class, name = "ask"),
    @JsonSubTypes.Type(value = QuotaLeaseMessage.Grant.class, name = "grant"),
    @JsonSubTypes.Type(value = QuotaLeaseMessage.Ack.class, name = "ack"),
    @JsonSubTypes.Type(value = QuotaLeaseMessage.RenewalNotice.class, name = "nudge")
})
public sealed interface QuotaLeaseMessage {
    /** The maximum size of a message in bytes. */
    int MAX_BYTES = 1 << 18;

    /** The name of the pool. */
    String pool();

    /**
     * A node's request for a lease.
     *
     * @param incarnation the node's incarnation
     * @param requestNumber counts the requests of this incarnation
     * @param activeRequest the request whose grant is in force; 0 if there is none
     * @param token the token of the server that granted it
     * @param highestToken the highest token that the node has seen
     * @param leased connections that the node may use by that grant now; 0 if it has expired
     * @param remainingMs how long that grant is still valid
     * @param inUse connections in use
     * @param demand the demand and use of each tenant at this node
     */
    record Request(
            @JsonProperty("pool") String pool,
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber,
            @JsonProperty("acting") long activeRequest,
            @JsonProperty("token") long token,
            @JsonProperty("heard") long highestToken,
            @JsonProperty("held") int leased,
            @JsonProperty("leftMs") double remainingMs,
            @JsonProperty("busy") int inUse,
            @JsonProperty("demand") Map<String, PoolUse> demand)
            implements QuotaLeaseMessage {
        /** Copies the map. */
        public Request {
            demand = Map.copyOf(demand);
        }
    }

    /**
     * A lease, valid from the moment of its request.
     *
     * @param incarnation the incarnation of the requesting node
     * @param requestNumber the request that it answers
     * @param token the server's token; a node that has seen a higher one ignores the grant
     * @param leaseMs the duration of the lease
     * @param capacity the pool's connections as known to the server
     * @param members the number of fleet members, which determines the guaranteed share
     * @param tenants connections for each tenant; their sum is an integer
     */
    record Grant(
            @JsonProperty("pool") String pool,
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber,
            @JsonProperty("token") long token,
            @JsonProperty("leaseMs") double leaseMs,
            @JsonProperty("capacity") int capacity,
            @JsonProperty("members") int members,
            @JsonProperty("tenants") Map<String, Double> tenants)
            implements QuotaLeaseMessage {
        /** Copies the map. */
        public Grant {
            tenants = Map.copyOf(tenants);
        }

        /** Returns the connections over all tenants. */
        int total() {
            return (int)
                    Math.round(tenants.values().stream().mapToDouble(d -> d).sum());
        }
    }

    /**
     * Acknowledges that a node has put a grant into force.
     *
     * @param incarnation the node's incarnation
     * @param requestNumber the request that the grant answered
     * @param inUse connections in use; those beyond the lease still have to be returned
     */
    record Ack(
            @JsonProperty("pool") String pool,
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber,
            @JsonProperty("busy") int inUse)
            implements QuotaLeaseMessage {}

    /**
     * Notifies a node that a different lease is available and that it should send a request now. Promises nothing.
     *
     * @param token the server's token
     */
    record RenewalNotice(
            @JsonProperty("pool") String pool,
            @JsonProperty("token") long token) implements QuotaLeaseMessage {}

    /** Encodes a message as CBOR. */
    static byte[] encode(QuotaLeaseMessage message) {
        try {
            return Codec.CBOR.writeValueAsBytes(message);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Decodes a message.
     *
     * @throws IOException if the bytes are not a valid message
     */
    static QuotaLeaseMessage decode(byte[] bytes) throws IOException {
        if (bytes.length > MAX_BYTES) {
            throw new IOException("lease message of " + bytes.length + " bytes exceeds " + MAX_BYTES);
        }
        try {
            return Codec.CBOR.readValue(bytes, QuotaLeaseMessage.class);
        } catch (RuntimeException e) {
            throw new IOException(e);
        }
    }

    /** The CBOR mapper, with limits on nesting and string lengths. */
    final class Codec {
        private static final ObjectMapper CBOR = new ObjectMapper(CBORFactory.builder()
                .streamReadConstraints(StreamReadConstraints.builder()
                        .maxNestingDepth(10)
                        .maxStringLength(1000)
                        .build())
                .build());

        private Codec() {}
    }
}
