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
        return List.of(new ConnectionCommand.Assign(connection, ticket));
    }

    @Test
    void connectionThatHasComeFreeGoesToTheOldestWaitForItsServer() {
        pool.acquire(0, 1, A);
        assertEquals(lent(0, 1), pool.onConnected(1, 0));
        pool.acquire(2, 2, A);
        pool.acquire(2, 3, A);
        pool.acquire(2, 4, B);
        assertEquals(lent(0, 2), pool.release(3, 0));
        assertEquals(lent(1, 3), pool.onConnected(4, 1), "opened for 2, which has one already");
        assertEquals(List.of(), pool.onConnected(5, 2), "nobody waits there any more: a spare");
        assertEquals(lent(2, 5), pool.acquire(6, 5, A));
    }

    @Test
    void lateConnectionIsJoinedByOthersAndServesAsSpareInTheEnd() {
        pool.acquire(0, 1, A);
        double late = pool.patienceMs();
        assertEquals(1, of(ConnectionCommand.Open.class, pool.onWake(late, 1)).size());
        assertEquals(
                1, of(ConnectionCommand.Open.class, pool.onWake(late * 2, 1)).size());
        assertEquals(List.of(), of(ConnectionCommand.Open.class, pool.onWake(late * 3, 1)), "three at most");
        assertEquals(lent(2, 1), pool.onConnected(late * 3, 2));
        assertEquals(List.of(), pool.onConnected(150, 0), "up after the time that a forward may wait");
        assertEquals(lent(0, 2), pool.acquire(160, 2, A));
    }

    @Test
    void waitEndsWhenNoneComesUpInTime() {
        pool.acquire(0, 1, A);
        assertEquals(List.of(), of(ConnectionCommand.GiveUp.class, pool.onWake(99, 1)));
        assertEquals(
                List.of(new ConnectionCommand.GiveUp(1, ConnectionCommand.FailureReason.UNCONNECTED)),
                pool.onWake(100, 1));
        assertEquals(0, pool.waiting());
    }

    @Test
    void refusalEndsAWaitAtOnceUnlessAnotherIsUnderWay() {
        pool.acquire(0, 1, A);
        assertEquals(
                List.of(new ConnectionCommand.GiveUp(1, ConnectionCommand.FailureReason.UNCONNECTED)),
                pool.onConnectionEnded(1, 0));
        pool.acquire(2, 2, A);
        pool.onWake(2 + pool.patienceMs(), 2);
        assertEquals(List.of(), pool.onConnectionEnded(40, 1));
        assertEquals(
                List.of(new ConnectionCommand.GiveUp(2, ConnectionCommand.FailureReason.NO_ROOM)),
                pool.onNoDescriptor(41, 2));
        assertEquals(0, pool.size());
    }

    @Test
    void openingThatFailedOnThisMachineIsTriedAgainAfterAPauseAndThenBlamesNoServer() {
        pool.acquire(0, 1, A);
        assertEquals(List.of(new ConnectionCommand.Wake(5, 1)), pool.onLocalFailure(1, 0));
        assertEquals(List.of(), pool.onWake(4, 1), "the pause");
        List<ConnectionCommand> again = pool.onWake(5, 1);
        assertEquals(1, of(ConnectionCommand.Open.class, again).size());
        assertEquals(
                List.of(new ConnectionCommand.GiveUp(1, ConnectionCommand.FailureReason.FAILED_LOCALLY)),
                pool.onLocalFailure(6, 1));
        assertEquals(0, pool.size() + pool.waiting());
    }

    @Test
    void openingThatIsTriedAgainServesItsWait() {
        pool.acquire(0, 1, A);
        pool.onLocalFailure(1, 0);
        pool.onWake(5, 1);
        assertEquals(lent(1, 1), pool.onConnected(6, 1));
    }

    @Test
    void waitWhoseTimeEndsInThePauseBlamesNoServer() {
        pool.acquire(0, 1, A);
        pool.onLocalFailure(99, 0);
        assertEquals(
                List.of(new ConnectionCommand.GiveUp(1, ConnectionCommand.FailureReason.FAILED_LOCALLY)),
                pool.onWake(100, 1));
    }

    @Test
    void eachOfSeveralWaitsTriesAgainOnce() {
        for (int wait = 0; wait < 3; wait++) {
            pool.acquire(0, wait, A);
        }
        for (int connection = 0; connection < 3; connection++) {
            assertEquals(
                    1,
                    of(ConnectionCommand.Wake.class, pool.onLocalFailure(1, connection))
                            .size());
        }
        for (int wait = 0; wait < 3; wait++) {
            assertEquals(
                    1, of(ConnectionCommand.Open.class, pool.onWake(5, wait)).size());
        }
        for (int connection = 3; connection < 6; connection++) {
            assertEquals(
                    1,
                    of(ConnectionCommand.GiveUp.class, pool.onLocalFailure(6, connection))
                            .size());
        }
        assertEquals(0, pool.size() + pool.waiting());
    }

    @Test
    void serverThatRefusesAfterALocalFailureIsBlamed() {
        pool.acquire(0, 1, A);
        pool.onLocalFailure(1, 0);
        pool.onWake(5, 1);
        assertEquals(
                List.of(new ConnectionCommand.GiveUp(1, ConnectionCommand.FailureReason.UNCONNECTED)),
                pool.onConnectionEnded(6, 1));
    }

    @Test
    void connectionOfAWithdrawnWaitIsTheNextOnes() {
        pool.acquire(0, 1, A);
        pool.cancelWait(1);
        assertEquals(
                List.of(), of(ConnectionCommand.Open.class, pool.acquire(1, 2, A)), "one is under way and has nobody");
        assertEquals(lent(0, 2), pool.onConnected(2, 0));
        pool.acquire(3, 3, A);
        pool.cancelWait(3);
        pool.acquire(4, 4, A);
        assertEquals(
                1,
                of(ConnectionCommand.Open.class, pool.onConnectionEnded(5, 1)).size(),
                "its own first one, not a failure");
    }

    @Test
    void furtherOpeningsKeepToABudget() {
        int further = 0;
        for (int i = 0; i < 1000; i++) {
            double at = i * 1000.0;
            pool.acquire(at, i, A);
            for (int j = 1; j < 4; j++) {
                further += of(ConnectionCommand.Open.class, pool.onWake(at + j * pool.patienceMs(), i))
                        .size();
            }
            pool.cancelWait(i);
        }
        assertTrue(further > 400 && further <= 510, "half of the first ones and ten: " + further);
    }

    @Test
    void patienceFollowsTheMedianNotTheLateOnes() {
        for (int i = 0; i < 300; i++) {
            pool.acquire(i * 1000, i, A);
            pool.onConnected(i * 1000 + (i % 3 == 0 ? 90 : 2), i);
            pool.onConnectionEnded(i * 1000 + 500, i);
        }
        assertTrue(pool.patienceMs() >= 5 && pool.patienceMs() < 20, "patience: " + pool.patienceMs());
    }

    /** A connection idle for 400 ms is lent and breaks at once. */
    private boolean keptBreaks(int from) {
        pool.acquire(from, from, A);
        long id = ((ConnectionCommand.Open) of(ConnectionCommand.Open.class, pool.acquire(from, from + 1, A))
                        .get(0))
                .connection();
        pool.cancelWait(from + 1);
        pool.onConnected(from, id - 1);
        pool.onConnected(from, id);
        pool.onConnectionEnded(from, id - 1);
        assertEquals(lent(id, from + 2), pool.acquire(from + 400, from + 2, A));
        boolean stale = pool.onBrokenAtOnce(id);
        pool.onConnectionEnded(from + 401, id);
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
            pool.acquire(i, i, A);
            pool.onConnected(i, i);
            if (i % 4 == 0) {
                assertFalse(pool.onBrokenAtOnce(i), "a new one");
            }
            pool.onConnectionEnded(i, i);
        }
        for (int i = 0; i < 30; i++) {
            pool.acquire(i, 100 + i, A);
            pool.onConnected(i, 40 + i);
            pool.release(i, 40 + i);
            pool.acquire(i, 200 + i, A);
            pool.onConnectionEnded(i, 40 + i);
        }
        assertFalse(keptBreaks(1000));
        assertEquals(10_000, pool.trustMs());
    }

    @Test
    void idleOnesAreClosedWhenTheyAreOldOrTheirServerIsGoneOrRoomIsNeeded() {
        for (int i = 0; i < 3; i++) {
            pool.acquire(0, i, i < 2 ? A : B);
        }
        for (int i = 0; i < 3; i++) {
            pool.onConnected(i, i);
        }
        for (int i = 0; i < 3; i++) {
            pool.release(i, i);
        }
        assertEquals(1, pool.closeOneIdle().size());
        assertEquals(2, pool.closeIdle(A).size() + pool.closeIdle(B).size());
        assertEquals(0, pool.size());
        pool.acquire(0, 9, A);
        pool.onConnected(0, 3);
        pool.release(0, 3);
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
                            steps.addAll(p.onConnected(now, any));
                        }
                    }
                    case 1 -> {
                        if (lent.remove(any) != null) {
                            steps.addAll(p.release(now, any));
                        }
                    }
                    case 2 -> {
                        opening.remove(any);
                        up.remove(any);
                        lent.remove(any);
                        steps.addAll(
                                switch (random.nextInt(3)) {
                                    case 0 -> p.onConnectionEnded(now, any);
                                    case 1 -> p.onNoDescriptor(now, any);
                                    default -> p.onLocalFailure(now, any);
                                });
                    }
                    case 3 -> steps.addAll(random.nextBoolean() ? p.sweep(now) : p.closeOneIdle());
                    case 4 -> {
                        for (long w : List.copyOf(asked.keySet())) {
                            if (random.nextInt(4) == 0) {
                                asked.remove(w);
                                steps.addAll(p.cancelWait(w));
                            }
                        }
                    }
                    default -> {
                        asked.put(turn, now);
                        steps.addAll(p.acquire(now, turn, random.nextBoolean() ? A : B));
                    }
                }
                for (long w : List.copyOf(asked.keySet())) {
                    steps.addAll(p.onWake(now, w));
                }
                for (ConnectionCommand s : steps) {
                    if (s instanceof ConnectionCommand.Open o) {
                        assertTrue(opening.add(o.connection()), "a number used twice");
                    } else if (s instanceof ConnectionCommand.Assign l) {
                        assertTrue(up.contains(l.connection()), "lent before it is up, or after its end");
                        assertTrue(asked.remove(l.waiter()) != null, "a wait that has ended");
                        assertEquals(null, lent.put(l.connection(), l.waiter()), "lent twice");
                    } else if (s instanceof ConnectionCommand.Close c) {
                        assertTrue(up.remove(c.connection()) && !lent.containsKey(c.connection()), "closed in use");
                    } else if (s instanceof ConnectionCommand.GiveUp g) {
                        assertTrue(asked.remove(g.waiter()) != null, "a wait that has ended");
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
