package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The numbers of hosts. */
class HostIdsTest {
    @Test
    void numberOfAHostDependsOnItsNameOnly() {
        HostIds one = new HostIds();
        HostIds other = new HostIds();
        long a = one.of("s-a");
        other.of("s-b");
        assertEquals(a, other.of("s-a"));
        assertEquals(one.of("s-b"), other.of("s-b"));
    }
}
