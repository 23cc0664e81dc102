package brackenbridge.fleet.share;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.util.Map;

/** What a lessor and the nodes say to each other, over a stream of their own; each may be lost, late or repeated. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "is")
@JsonSubTypes({
    @JsonSubTypes.Type(value = QuotaLeaseMessage.Request.class, name = "ask"),
    @JsonSubTypes.Type(value = QuotaLeaseMessage.Grant.class, name = "grant"),
    @JsonSubTypes.Type(value = QuotaLeaseMessage.Ack.class, name = "ack"),
    @JsonSubTypes.Type(value = QuotaLeaseMessage.RenewalNotice.class, name = "nudge")
})
public sealed interface QuotaLeaseMessage {
    /** The longest message; bytes. */
    int MAX_BYTES = 1 << 18;

    /** The pool. */
    String pool();

    /**
     * A node asks for its lease.
     *
     * @param life its life
     * @param number counts its questions in this life
     * @param acting the question by whose answer it acts; 0 if by none
     * @param token the token of who gave that answer
     * @param heard the highest token that it has heard of
     * @param held connections that it may use by that answer now; 0 if it has run out
     * @param leftMs for how long it still may
     * @param busy connections that it uses
     * @param demand what each tenant wants and uses there
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
        /** Keeps its own copy. */
        public Request {
            demand = Map.copyOf(demand);
        }
    }

    /**
     * A lease, from the moment of the question on.
     *
     * @param life whose life asked
     * @param number its question
     * @param token the lessor's: a lower one than was heard of is passed over
     * @param leaseMs for how long it holds
     * @param capacity connections of the pool as the lessor knows it
     * @param members members of the fleet, for the guaranteed part
     * @param tenants connections for each tenant; together a whole number
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
        /** Keeps its own copy. */
        public Grant {
            tenants = Map.copyOf(tenants);
        }

        /** Connections over all tenants. */
        int total() {
            return (int)
                    Math.round(tenants.values().stream().mapToDouble(d -> d).sum());
        }
    }

    /**
     * A node acts by an answer.
     *
     * @param life its life
     * @param number the question
     * @param busy connections that it uses: those beyond the lease are still to be given back
     */
    record Ack(
            @JsonProperty("pool") String pool,
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber,
            @JsonProperty("busy") int inUse)
            implements QuotaLeaseMessage {}

    /**
     * There is another lease to be had: ask now. It carries no promise.
     *
     * @param token the lessor's
     */
    record RenewalNotice(
            @JsonProperty("pool") String pool,
            @JsonProperty("token") long token) implements QuotaLeaseMessage {}

    /** As bytes. */
    static byte[] encode(QuotaLeaseMessage message) {
        try {
            return Codec.CBOR.writeValueAsBytes(message);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * From bytes.
     *
     * @throws IOException if they are none
     */
    static QuotaLeaseMessage decode(byte[] bytes) throws IOException {
        if (bytes.length > MAX_BYTES) {
            throw new IOException("a message of " + bytes.length + " bytes");
        }
        try {
            return Codec.CBOR.readValue(bytes, QuotaLeaseMessage.class);
        } catch (RuntimeException e) {
            throw new IOException(e);
        }
    }

    /** The library's mapper, within bounds. */
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
