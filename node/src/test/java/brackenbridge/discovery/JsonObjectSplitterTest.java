package brackenbridge.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brackenbridge.discovery.JsonObjectSplitter.Progress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Splits lists independent of line breaks; "-" stands for an empty line. */
class JsonObjectSplitterTest {
    private static List<String> split(int limit, String text) {
        JsonObjectSplitter splitter = new JsonObjectSplitter(limit);
        List<String> results = new ArrayList<>();
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            Progress progress = splitter.add(b);
            if (progress != Progress.INCOMPLETE && progress != Progress.TEXT_STARTED) {
                results.add(
                        progress == Progress.TEXT_COMPLETE
                                ? splitter.takeText()
                                : progress == Progress.EMPTY_LINE ? "-" : progress.name());
            }
        }
        return results;
    }

    @Test
    void objectIsCompleteAtItsClosingBrace() {
        String indented = "{\r\n  \"seq\": 4,\r\n\r\n  \"hosts\": [\r\n    {\r\n    }\r\n  ]\r\n}";
        assertEquals(
                List.of("-", indented, "-", "{}", "{\"a\":{}}"),
                split(100, "\n" + indented + "\r\n  \r\n{} {\"a\":{}}\n"));
    }

    @Test
    void bracesInStringsAreIgnored() {
        String text = "{\"host\":\"}\\\"}\\\\\",\"site\":\"\u00e9{\"}";
        assertEquals(List.of(text), split(100, text + "\n"));
    }

    @Test
    void malformedTextEndsWithItsLineAndIncompleteObjectContinues() {
        assertEquals(List.of("what {\n", "\"[\n", "]}\n"), split(100, "what {\n\"[\n]}\n"));
        assertEquals(List.of(), split(100, "{\"seq\":4,\n\n\n\n"));
        assertEquals("TOO_LONG", split(8, "{\"seq\":4}").get(0));
    }

    /** Objects that each take one line are split as a line reader would split them, whatever is between them. */
    @Property(seed = "59", tries = 500)
    void objectsOnSingleLinesAreSplitAsLines(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        String[] parts = {"\n", "\r\n", "{\"seq\":4,\"hosts\":[{\"host\":\"a}\"}]}\n", "{}\r\n", " \n", "what {\n"};
        StringBuilder text = new StringBuilder();
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            String part = parts[random.nextInt(parts.length - (i < 29 ? 1 : 0))];
            text.append(part);
            lines.add(part.isBlank() ? "-" : part.strip());
        }
        assertEquals(
                lines, split(100, text.toString()).stream().map(String::strip).toList());
    }

    @Test
    void eachObjectIsReportedAsStartedOnce() {
        JsonObjectSplitter splitter = new JsonObjectSplitter(100);
        int started = 0;
        for (byte b : "\n{\n \"a\":{}\n}\n\n{ }\n".getBytes(StandardCharsets.UTF_8)) {
            Progress progress = splitter.add(b);
            started += progress == Progress.TEXT_STARTED ? 1 : 0;
            if (progress == Progress.TEXT_COMPLETE) {
                splitter.takeText();
            }
        }
        assertEquals(2, started);
    }
}
