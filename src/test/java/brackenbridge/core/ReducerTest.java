package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Event in, effects out. */
class ReducerTest {

    @Test
    void clientsThatComeLongAfterTheStartAreNotRefused() {
        Play p = new Play(4).pass(3000);
        for (int i = 0; i < 8; i++) {
            assertEquals(List.of(), p.fixed(p.open(Play.FILE, 5000)), "flow " + i);
            p.pass(20);
        }
    }
}
