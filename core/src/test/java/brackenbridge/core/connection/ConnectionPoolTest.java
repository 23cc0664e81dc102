package brackenbridge.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ConnectionPoolTest {
    private static final EndpointIdentity A = new EndpointIdentity("a", "10.0.0.1:80");
    private static final EndpointIdentity B = new EndpointIdentity("b", "10.0.0.2:80");

    private final ConnectionPool pool = new ConnectionPool(100, 10_000);

    private static List<ConnectionCommand> of(Class<?> kind, List<ConnectionCommand> steps) {
        return steps.stream().filter(kind::isInstance).toList();
    }

    private static List<ConnectionCommand> lent(long connection, long ticket) {
        return List.of(new ConnectionCommand.Lend(connection, ticket));
    }

    @Test
    void connectionThatHasComeFreeGoesToTheOldestWaitForItsServer() {
        pool.ask(0, 1, A);
        assertEquals(lent(0, 1), pool.up(1, 0));
        pool.ask(2, 2, A);
        pool.ask(2, 3, A);
        pool.ask(2, 4, B);
        assertEquals(lent(0, 2), pool.free(3, 0));
        assertEquals(lent(1, 3), pool.up(4, 1), "opened for 2, which has one already");
        assertEquals(List.of(), pool.up(5, 2), "nobody waits there any more: a spare");
        assertEquals(lent(2, 5), pool.ask(6, 5, A));
    }

    @Test
    void lateConnectionIsJoinedByOthersAndServesAsSpareInTheEnd() {
        pool.ask(0, 1, A);
        double late = pool.patienceMs();
        assertEquals(1, of(ConnectionCommand.Open.class, pool.due(late, 1)).size());
        assertEquals(1, of(ConnectionCommand.Open.class, pool.due(late * 2, 1)).size());
        assertEquals(List.of(), of(ConnectionCommand.Open.class, pool.due(late * 3, 1)), "three at most");
        assertEquals(lent(2, 1), pool.up(late * 3, 2));
        assertEquals(List.of(), pool.up(150, 0), "up after the time that a forward may wait");
        assertEquals(lent(0, 2), pool.ask(160, 2, A));
    }

    @Test
    void waitEndsWhenNoneComesUpInTime() {
        pool.ask(0, 1, A);
        assertEquals(List.of(), of(ConnectionCommand.GiveUp.class, pool.due(99, 1)));
        assertEquals(List.of(new ConnectionCommand.GiveUp(1, ConnectionCommand.Why.UNCONNECTED)), pool.due(100, 1));
        assertEquals(0, pool.waiting());
    }

    @Test
    void refusalEndsAWaitAtOnceUnlessAnotherIsUnderWay() {
        pool.ask(0, 1, A);
        assertEquals(List.of(new ConnectionCommand.GiveUp(1, ConnectionCommand.Why.UNCONNECTED)), pool.ended(1, 0));
        pool.ask(2, 2, A);
        pool.due(2 + pool.patienceMs(), 2);
        assertEquals(List.of(), pool.ended(40, 1));
        assertEquals(List.of(new ConnectionCommand.GiveUp(2, ConnectionCommand.Why.NO_ROOM)), pool.noRoom(41, 2));
        assertEquals(0, pool.size());
    }

    @Test
    void openingThatFailedOnThisMachineIsTriedAgainAfterAPauseAndThenBlamesNoServer() {
        pool.ask(0, 1, A);
        assertEquals(List.of(new ConnectionCommand.Wake(5, 1)), pool.failedLocally(1, 0));
        assertEquals(List.of(), pool.due(4, 1), "the pause");
        List<ConnectionCommand> again = pool.due(5, 1);
        assertEquals(1, of(ConnectionCommand.Open.class, again).size());
        assertEquals(
                List.of(new ConnectionCommand.GiveUp(1, ConnectionCommand.Why.FAILED_LOCALLY)),
                pool.failedLocally(6, 1));
        assertEquals(0, pool.size() + pool.waiting());
    }

    @Test
    void openingThatIsTriedAgainServesItsWait() {
        pool.ask(0, 1, A);
        pool.failedLocally(1, 0);
        pool.due(5, 1);
        assertEquals(lent(1, 1), pool.up(6, 1));
    }

    @Test
    void waitWhoseTimeEndsInThePauseBlamesNoServer() {
        pool.ask(0, 1, A);
        pool.failedLocally(99, 0);
        assertEquals(List.of(new ConnectionCommand.GiveUp(1, ConnectionCommand.Why.FAILED_LOCALLY)), pool.due(100, 1));
    }

    @Test
    void eachOfSeveralWaitsTriesAgainOnce() {
        for (int wait = 0; wait < 3; wait++) {
            pool.ask(0, wait, A);
        }
        for (int connection = 0; connection < 3; connection++) {
            assertEquals(
                    1,
                    of(ConnectionCommand.Wake.class, pool.failedLocally(1, connection))
                            .size());
        }
        for (int wait = 0; wait < 3; wait++) {
            assertEquals(1, of(ConnectionCommand.Open.class, pool.due(5, wait)).size());
        }
        for (int connection = 3; connection < 6; connection++) {
            assertEquals(
                    1,
                    of(ConnectionCommand.GiveUp.class, pool.failedLocally(6, connection))
                            .size());
        }
        assertEquals(0, pool.size() + pool.waiting());
    }

    @Test
    void serverThatRefusesAfterALocalFailureIsBlamed() {
        pool.ask(0, 1, A);
        pool.failedLocally(1, 0);
        pool.due(5, 1);
        assertEquals(List.of(new ConnectionCommand.GiveUp(1, ConnectionCommand.Why.UNCONNECTED)), pool.ended(6, 1));
    }

    @Test
    void connectionOfAWithdrawnWaitIsTheNextOnes() {
        pool.ask(0, 1, A);
        pool.withdraw(1);
        assertEquals(List.of(), of(ConnectionCommand.Open.class, pool.ask(1, 2, A)), "one is under way and has nobody");
        assertEquals(lent(0, 2), pool.up(2, 0));
        pool.ask(3, 3, A);
        pool.withdraw(3);
        pool.ask(4, 4, A);
        assertEquals(1, of(ConnectionCommand.Open.class, pool.ended(5, 1)).size(), "its own first one, not a failure");
    }

    @Test
    void furtherOpeningsKeepToABudget() {
        int further = 0;
        for (int i = 0; i < 1000; i++) {
            double at = i * 1000.0;
            pool.ask(at, i, A);
            for (int j = 1; j < 4; j++) {
                further += of(ConnectionCommand.Open.class, pool.due(at + j * pool.patienceMs(), i))
                        .size();
            }
            pool.withdraw(i);
        }
        assertTrue(further > 400 && further <= 510, "half of the first ones and ten: " + further);
    }

    @Test
    void patienceFollowsTheMedianNotTheLateOnes() {
        for (int i = 0; i < 300; i++) {
            pool.ask(i * 1000, i, A);
            pool.up(i * 1000 + (i % 3 == 0 ? 90 : 2), i);
            pool.ended(i * 1000 + 500, i);
        }
        assertTrue(pool.patienceMs() >= 5 && pool.patienceMs() < 20, "patience: " + pool.patienceMs());
    }

    /** A connection idle for 400 ms is lent and breaks at once. */
    private boolean keptBreaks(int from) {
        pool.ask(from, from, A);
        long id = ((ConnectionCommand.Open) of(ConnectionCommand.Open.class, pool.ask(from, from + 1, A))
                        .get(0))
                .connection();
        pool.withdraw(from + 1);
        pool.up(from, id - 1);
        pool.up(from, id);
        pool.ended(from, id - 1);
        assertEquals(lent(id, from + 2), pool.ask(from + 400, from + 2, A));
        boolean stale = pool.broke(id);
        pool.ended(from + 401, id);
        return stale;
    }

    @Test
    void keptConnectionThatBreaksAtOnceIsBlamedOnIdleness() {
        assertTrue(keptBreaks(0));
        assertEquals(100, pool.trustMs(), 1e-9);
        for (int i = 0; i < 1000; i++) {
            pool.sweep(i);
        }
        assertEquals(10_000, pool.trustMs(), 1e-9, "trust comes back");
    }

    @Test
    void whereNewOnesBreakAsOftenKeptOnesAreTrusted() {
        for (int i = 0; i < 40; i++) {
            pool.ask(i, i, A);
            pool.up(i, i);
            if (i % 4 == 0) {
                assertFalse(pool.broke(i), "a new one");
            }
            pool.ended(i, i);
        }
        for (int i = 0; i < 30; i++) {
            pool.ask(i, 100 + i, A);
            pool.up(i, 40 + i);
            pool.free(i, 40 + i);
            pool.ask(i, 200 + i, A);
            pool.ended(i, 40 + i);
        }
        assertFalse(keptBreaks(1000));
        assertEquals(10_000, pool.trustMs());
    }

    @Test
    void idleOnesAreClosedWhenTheyAreOldOrTheirServerIsGoneOrRoomIsNeeded() {
        for (int i = 0; i < 3; i++) {
            pool.ask(0, i, i < 2 ? A : B);
        }
        for (int i = 0; i < 3; i++) {
            pool.up(i, i);
        }
        for (int i = 0; i < 3; i++) {
            pool.free(i, i);
        }
        assertEquals(1, pool.shed().size());
        assertEquals(2, pool.closeIdle(A).size() + pool.closeIdle(B).size());
        assertEquals(0, pool.size());
        pool.ask(0, 9, A);
        pool.up(0, 3);
        pool.free(0, 3);
        assertEquals(List.of(), pool.sweep(9_999));
        assertEquals(List.of(new ConnectionCommand.Close(3)), pool.sweep(10_000));
    }

    /** Any order of events: one lending a wait at most, none to two at once, each wait ends, nothing is left over. */
    @Test
    void inAnyOrderEachWaitEndsOnceAndAConnectionCarriesOneForward() {
        for (int seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            ConnectionPool p = new ConnectionPool(100, 300);
            Set<Long> opening = new HashSet<>();
            Set<Long> up = new HashSet<>();
            Map<Long, Long> lent = new HashMap<>();
            Map<Long, Double> asked = new HashMap<>();
            double now = 0;
            for (long turn = 0; turn < 400; turn++) {
                now += random.nextInt(20);
                List<ConnectionCommand> steps = new ArrayList<>();
                List<Long> mine = new ArrayList<>(random.nextBoolean() ? opening : up);
                long any = mine.isEmpty() ? -1 : mine.get(random.nextInt(mine.size()));
                switch (random.nextInt(turn < 300 ? 8 : 4)) {
                    case 0 -> {
                        if (opening.remove(any)) {
                            up.add(any);
                            steps.addAll(p.up(now, any));
                        }
                    }
                    case 1 -> {
                        if (lent.remove(any) != null) {
                            steps.addAll(p.free(now, any));
                        }
                    }
                    case 2 -> {
                        opening.remove(any);
                        up.remove(any);
                        lent.remove(any);
                        steps.addAll(
                                switch (random.nextInt(3)) {
                                    case 0 -> p.ended(now, any);
                                    case 1 -> p.noRoom(now, any);
                                    default -> p.failedLocally(now, any);
                                });
                    }
                    case 3 -> steps.addAll(random.nextBoolean() ? p.sweep(now) : p.shed());
                    case 4 -> {
                        for (long w : List.copyOf(asked.keySet())) {
                            if (random.nextInt(4) == 0) {
                                asked.remove(w);
                                steps.addAll(p.withdraw(w));
                            }
                        }
                    }
                    default -> {
                        asked.put(turn, now);
                        steps.addAll(p.ask(now, turn, random.nextBoolean() ? A : B));
                    }
                }
                for (long w : List.copyOf(asked.keySet())) {
                    steps.addAll(p.due(now, w));
                }
                for (ConnectionCommand s : steps) {
                    if (s instanceof ConnectionCommand.Open o) {
                        assertTrue(opening.add(o.connection()), "a number used twice");
                    } else if (s instanceof ConnectionCommand.Lend l) {
                        assertTrue(up.contains(l.connection()), "lent before it is up, or after its end");
                        assertTrue(asked.remove(l.ticket()) != null, "a wait that has ended");
                        assertEquals(null, lent.put(l.connection(), l.ticket()), "lent twice");
                    } else if (s instanceof ConnectionCommand.Close c) {
                        assertTrue(up.remove(c.connection()) && !lent.containsKey(c.connection()), "closed in use");
                    } else if (s instanceof ConnectionCommand.GiveUp g) {
                        assertTrue(asked.remove(g.ticket()) != null, "a wait that has ended");
                    }
                }
                for (double since : asked.values()) {
                    assertTrue(now < since + 100, "waits for longer than a connection may take");
                }
                assertEquals(asked.size(), p.waiting());
                assertEquals(opening.size() + up.size(), p.size());
            }
        }
    }
}
