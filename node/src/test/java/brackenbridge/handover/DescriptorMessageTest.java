package brackenbridge.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The lines of the exchange of descriptors. */
class DescriptorMessageTest {
    /** Guards replacements between releases: these lines are what the other process may have been built with. */
    @Test
    void messagesAreFormattedAndParsed() {
        List<DescriptorMessage> messages = List.of(
                new DescriptorMessage.Join(),
                new DescriptorMessage.Grant(999_999_999),
                new DescriptorMessage.Request());
        List<String> lines = List.of("descriptors join", "descriptors grant 999999999", "descriptors request");
        assertEquals(lines, messages.stream().map(DescriptorMessage::toLine).toList());
        assertEquals(messages, lines.stream().map(DescriptorMessage::parse).toList());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "ready",
                "descriptors",
                "descriptors grant ",
                "descriptors grant 0",
                "descriptors grant -1",
                "descriptors grant 1 2",
                "descriptors grant 1000000000",
                "descriptors requests"
            })
    void otherLinesAreNoMessages(String line) {
        assertNull(DescriptorMessage.parse(line));
    }
}
