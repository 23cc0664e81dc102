package brackenbridge.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brackenbridge.discovery.ObjectCutter.Cut;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Lists however their lines are broken; "-" stands for an empty line. */
class ObjectCutterTest {
    private static List<String> cut(int limit, String text) {
        ObjectCutter cutter = new ObjectCutter(limit);
        List<String> all = new ArrayList<>();
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            Cut c = cutter.add(b);
            if (c != Cut.NOTHING) {
                all.add(c == Cut.TEXT ? cutter.take() : c == Cut.EMPTY_LINE ? "-" : c.name());
            }
        }
        return all;
    }

    @Test
    void indentedObjectsAreWholeWithTheirLastBrace() {
        String indented = "{\r\n  \"seq\": 4,\r\n\r\n  \"hosts\": [\r\n    {\r\n    }\r\n  ]\r\n}";
        assertEquals(List.of("-", indented, "-", "{}", "{\"a\":{}}"),
                cut(100, "\n" + indented + "\r\n  \r\n{} {\"a\":{}}\n"));
    }

    @Test
    void bracesInTextsEndNothing() {
        String text = "{\"host\":\"}\\\"}\\\\\",\"site\":\"\u00e9{\"}";
        assertEquals(List.of(text), cut(100, text + "\n"));
    }

    @Test
    void nonsenseEndsWithItsLineAndWhatBrokeOffHidesTheEmptyLinesBehindIt() {
        assertEquals(List.of("what\n", "\"[\n", "]}"), cut(100, "what\n\"[\n]}"));
        assertEquals(List.of(), cut(100, "{\"seq\":4,\n\n\n\n"));
        assertEquals("TOO_LONG", cut(8, "{\"seq\":4}").get(0));
    }
}
