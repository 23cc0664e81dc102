package brackenbridge.fleet.evacuation;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;

/**
 * The zone weights that a driver repeatedly sends to every node: a message of stream {@code EVACUATION}.
 *
 * @param token the driver's token
 * @param epoch the generation of the agreed record that the weights follow from
 * @param weights the fraction of its usual load that each zone keeps
 * @param validForMs how long the command is valid after its arrival
 */
public record WeightCommand(
        @JsonProperty("token") long token,
        @JsonProperty("epoch") long epoch,
        @JsonProperty("parts") Map<String, Double> weights,
        @JsonProperty("forMs") double validForMs) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_BYTES = 64 * 1024;
    private static final double MAX_VALIDITY_MS = 120_000;

    /** Copies the map. */
    public WeightCommand {
        weights = weights == null ? Map.of() : Map.copyOf(weights);
    }

    /** Encodes the command as JSON. */
    public byte[] encode() {
        try {
            return JSON.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Decodes a command.
     *
     * @throws IOException if the bytes are not a valid command or a value is out of bounds
     */
    public static WeightCommand decode(byte[] bytes) throws IOException {
        WeightCommand command = bytes.length > MAX_BYTES ? null : JSON.readValue(bytes, WeightCommand.class);
        if (command == null
                || !(command.validForMs() > 0 && command.validForMs() <= MAX_VALIDITY_MS)
                || command.weights().values().stream().anyMatch(weight -> !(weight >= 0 && weight <= 1))) {
            throw new IOException("not a valid weight command");
        }
        return command;
    }
}
