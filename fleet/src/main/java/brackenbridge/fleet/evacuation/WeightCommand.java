package brackenbridge.fleet.evacuation;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;

/**
 * What a driver tells every node, again and again: a message of stream {@code EVACUATION}.
 *
 * @param token the driver's
 * @param epoch the generation of the agreed record that it follows from
 * @param parts the part of its usual load that each zone keeps
 * @param forMs for how long it holds from its arrival
 */
public record WeightCommand(
        @JsonProperty("token") long token,
        @JsonProperty("epoch") long epoch,
        @JsonProperty("parts") Map<String, Double> weights,
        @JsonProperty("forMs") double validForMs) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_BYTES = 64 * 1024;
    private static final double MAX_VALIDITY_MS = 120_000;

    /** Keeps its own copy. */
    public WeightCommand {
        weights = weights == null ? Map.of() : Map.copyOf(weights);
    }

    /** As bytes. */
    public byte[] encode() {
        try {
            return JSON.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Reads it.
     *
     * @throws IOException if it is not one, or asks for what no plan may
     */
    public static WeightCommand decode(byte[] bytes) throws IOException {
        WeightCommand command = bytes.length > MAX_BYTES ? null : JSON.readValue(bytes, WeightCommand.class);
        if (command == null
                || !(command.validForMs() > 0 && command.validForMs() <= MAX_VALIDITY_MS)
                || command.weights().values().stream().anyMatch(weight -> !(weight >= 0 && weight <= 1))) {
            throw new IOException("not an order");
        }
        return command;
    }
}
