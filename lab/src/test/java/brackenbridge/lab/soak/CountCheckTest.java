package brackenbridge.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class CountCheckTest {
    private static final String INFO = "+OK\nproxy.ok.quick:1000|c\nproxy.ok.order:5|c\nproxy.tries:1010|c\n.\n";

    @Test
    void countsWithinAHundredthOrThreeAgree() {
        assertEquals(List.of(), check(990, 5, 0, 1010));
        assertEquals(List.of(), check(1010, 8, 0, 1010));
        assertEquals(List.of(), check(1000, 2, 0, 900));
    }

    @Test
    void countsBeyondThatDoNot() {
        assertEquals(List.of("proxy.ok.quick says 1000, clients were served 989"), check(989, 5, 0, 1010));
        assertEquals(List.of("proxy.ok.order says 5, clients were served 9"), check(1000, 9, 0, 1010));
        assertEquals(List.of("proxy.tries says 1010, 1040 came to servers"), check(1000, 5, 0, 1040));
    }

    @Test
    void whatClientsAbandonedMayBeCountedOrNot() {
        assertEquals(List.of(), check(1000, 9, 1, 1010));
    }

    private static List<String> check(long quick, long order, long clientsLeft, long attempts) {
        return CountCheck.check(INFO, Map.of("quick", quick, "order", order), clientsLeft, attempts);
    }
}
