package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The ids of hosts. */
class HostIdsTest {
    @Test
    void idOfAHostDependsOnItsNameOnly() {
        HostIds one = new HostIds();
        HostIds other = new HostIds();
        long idOfA = one.idOf("s-a");
        other.idOf("s-b");
        assertEquals(idOfA, other.idOf("s-a"));
        assertEquals(one.idOf("s-b"), other.idOf("s-b"));
    }
}
