package brackenbridge.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.counters.Counter;
import brackenbridge.counters.Counters;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The limit on bytes buffered for all clients, and which connections give up when it is exceeded. */
class RequestMemoryBudgetTest {
    private static final int MIB = 1024 * 1024;

    private final Counters counters = new Counters();
    private final RequestMemoryBudget budget = new RequestMemoryBudget(counters);
    private final List<String> gaveUp = new ArrayList<>();

    /** Gives up by releasing all that it has reserved. */
    private final class FakeHolder implements RequestMemoryBudget.Holder {
        private final String name;
        private int reserved;

        FakeHolder(String name, int bytes) {
            this.name = name;
            reserve(bytes);
        }

        private void reserve(int bytes) {
            budget.adjustReservation(reserved, bytes);
            reserved = bytes;
        }

        @Override
        public int reservedBytes() {
            return reserved;
        }

        @Override
        public void giveUpReading(String reason) {
            gaveUp.add(name);
            reserve(0);
        }
    }

    @Test
    void noConnectionGivesUpAtTheLimit() {
        budget.enforce(List.of(new FakeHolder("a", RequestMemoryBudget.MAX_BUFFERED_BYTES)));
        assertEquals(List.of(), gaveUp);
        assertEquals(0, counters.get(Counter.CLIENTS_SHED_FOR_MEMORY));
    }

    @Test
    void onlyTheLargestGivesUpIfThatIsEnough() {
        budget.enforce(List.of(
                new FakeHolder("small", MIB), new FakeHolder("large", 5 * MIB), new FakeHolder("medium", 3 * MIB)));
        assertEquals(List.of("large"), gaveUp);
        assertEquals(1, counters.get(Counter.CLIENTS_SHED_FOR_MEMORY));
    }

    @Test
    void connectionsGiveUpUntilTheBudgetIsKept() {
        budget.enforce(List.of(
                new FakeHolder("third", 4 * MIB), new FakeHolder("first", 7 * MIB), new FakeHolder("second", 6 * MIB)));
        assertEquals(List.of("first", "second"), gaveUp);
        assertEquals(2, counters.get(Counter.CLIENTS_SHED_FOR_MEMORY));
    }

    @Test
    void oldestOfEqualReservationsGivesUp() {
        budget.enforce(List.of(new FakeHolder("old", 5 * MIB), new FakeHolder("new", 5 * MIB)));
        assertEquals(List.of("old"), gaveUp);
    }

    @Test
    void budgetIsCrowdedBeyondItsHalf() {
        FakeHolder holder = new FakeHolder("a", RequestMemoryBudget.MAX_BUFFERED_BYTES / 2);
        assertFalse(budget.isCrowded());
        holder.reserve(RequestMemoryBudget.MAX_BUFFERED_BYTES / 2 + 1);
        assertTrue(budget.isCrowded());
        holder.reserve(0);
        assertFalse(budget.isCrowded());
    }
}
