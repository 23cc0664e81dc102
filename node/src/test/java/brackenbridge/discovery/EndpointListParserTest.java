package brackenbridge.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import brackenbridge.core.EndpointList;
import brackenbridge.core.ServerEndpoint;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.testing.Bytes;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndpointListParserTest {
    private static final String LINE = "{\"seq\":43,\"whole\":false,\"hosts\":[{\"host\":\"s-5b\","
            + "\"dial\":\"127.1.0.18:9000\","
            + "\"site\":\"a\",\"class\":\"m2\",\"block\":3,\"health\":\"leaving\",\"share\":1.5,\"born_ms\":7}]}";

    @Test
    void parsesALine() {
        assertEquals(
                new EndpointList(
                        43,
                        false,
                        List.of(new ServerEndpoint("s-5b", "127.1.0.18:9000", "a", 3, 1.5, 7, EndpointState.DRAINING))),
                EndpointListParser.parse(LINE));
        assertThrows(IllegalArgumentException.class, () -> EndpointListParser.parse("[".repeat(100_000)));
    }

    @Property(seed = "21", tries = 1000)
    void garbageIsParsedOrRejected(@ForAll long seed) {
        try {
            EndpointListParser.parse(Bytes.mutateRandomly(LINE, seed))
                    .endpoints()
                    .forEach(t -> assertFalse(t.host().isEmpty()));
        } catch (IllegalArgumentException e) {
            assertFalse(e.getMessage().isEmpty());
        }
    }

    private static EndpointList list(String... entries) {
        return EndpointListParser.parse("{\"seq\":7,\"whole\":true,\"hosts\":[" + String.join(",", entries) + "]}");
    }

    private static String entry(String host, String change) {
        String valid = "{\"host\":\"" + host + "\",\"dial\":\"127.1.0.18:9000\",\"health\":\"active\"}";
        return valid.replaceFirst(change.split("->", -1)[0], change.split("->", -1)[1]);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                ":9000->:65536",
                ":9000->:99999",
                ":9000->:0",
                ":9000->",
                "\"active\"->\"well\"",
                "\"active\"->7",
                "\"dial\":\"127.1.0.18:9000\",->",
                "\"active\"->\"active\",\"share\":\"much\"",
                "\"active\"->\"active\",\"born_ms\":true",
                "\"active\"->\"active\",\"site\":5"
            })
    void malformedEntryAffectsOnlyItself(String change) {
        EndpointList read = list(entry("a", "a->a"), entry("b", change), entry("c", "c->c"));
        assertEquals(
                List.of("a", "c"),
                read.endpoints().stream().map(ServerEndpoint::host).toList());
        assertEquals(List.of("b"), read.malformedHosts());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "7",
                "[]",
                "null",
                "{}",
                "{\"host\":\"\",\"dial\":\"1.1.1.1:1\",\"health\":\"active\"}",
                "{\"host\":7,\"dial\":\"1.1.1.1:1\",\"health\":\"active\"}"
            })
    void entryWithoutAHostMakesTheListMalformed(String entry) {
        // The entry could be of any host, so a host that is missing from the rest can't be treated as removed.
        assertThrows(IllegalArgumentException.class, () -> list(entry("a", "a->a"), entry));
    }

    @ParameterizedTest
    @ValueSource(strings = {"1e300", "9007199254740993", "-2", "4.5", "\"4\"", "null", "true"})
    void invalidVersionMakesTheListMalformed(String version) {
        // Clamped to the largest number it would make every later list stale.
        assertThrows(IllegalArgumentException.class, () -> EndpointListParser.parse(LINE.replace("43", version)));
    }

    @Test
    void tooManyValuesMakeTheListMalformed() {
        String many = "{},".repeat(300_000);
        assertThrows(
                IllegalArgumentException.class,
                () -> EndpointListParser.parse(LINE.replace("\"hosts\"", "\"more\":[" + many + "{}],\"hosts\"")));
    }
}
