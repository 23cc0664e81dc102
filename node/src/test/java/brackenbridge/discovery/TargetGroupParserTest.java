package brackenbridge.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import brackenbridge.BalancerApi.EndpointState;
import brackenbridge.core.Target;
import brackenbridge.core.TargetGroup;
import brackenbridge.testing.Bytes;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class TargetGroupParserTest {
    private static final String LINE = "{\"seq\":43,\"whole\":false,\"hosts\":[{\"host\":\"s-5b\","
            + "\"dial\":\"127.1.0.18:9000\","
            + "\"site\":\"a\",\"class\":\"m2\",\"block\":3,\"health\":\"leaving\",\"share\":1.5,\"born_ms\":7}]}";

    @Test
    void readsALine() {
        assertEquals(new TargetGroup(43, false, java.util.List.of(new Target("s-5b", "127.1.0.18:9000", "a", 3, 1.5, 7,
                EndpointState.DRAINING))), TargetGroupParser.parse(LINE));
        assertThrows(IllegalArgumentException.class, () -> TargetGroupParser.parse("[".repeat(100_000)));
    }

    @Property(seed = "21", tries = 1000)
    void garbageIsAListOrAnIllegalArgument(@ForAll long seed) {
        try {
            TargetGroupParser.parse(Bytes.garbage(LINE, seed)).targets().forEach(t -> assertFalse(t.host().isEmpty()));
        } catch (IllegalArgumentException e) {
            assertFalse(e.getMessage().isEmpty());
        }
    }
}
