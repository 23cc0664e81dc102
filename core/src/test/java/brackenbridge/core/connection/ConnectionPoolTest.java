package brackenbridge.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the assignment, opening, failure and closing of connections in a {@link ConnectionPool}. */
class ConnectionPoolTest {
    private static final EndpointIdentity FIRST_SERVER = new EndpointIdentity("a", "10.0.0.1:80");
    private static final EndpointIdentity SECOND_SERVER = new EndpointIdentity("b", "10.0.0.2:80");

    private final ConnectionPool pool = new ConnectionPool(100, 10_000);

    private static List<ConnectionCommand> commandsOf(Class<?> kind, List<ConnectionCommand> commands) {
        return commands.stream().filter(kind::isInstance).toList();
    }

    private static List<ConnectionCommand> assigned(long connection, long waiter) {
        return List.of(new ConnectionCommand.Assign(connection, waiter));
    }

    @Test
    void releasedConnectionIsAssignedToOldestWaiterForItsServer() {
        pool.acquire(0, 1, FIRST_SERVER);
        assertEquals(assigned(0, 1), pool.onConnected(1, 0));
        pool.acquire(2, 2, FIRST_SERVER);
        pool.acquire(2, 3, FIRST_SERVER);
        pool.acquire(2, 4, SECOND_SERVER);
        assertEquals(assigned(0, 2), pool.release(3, 0));
        assertEquals(assigned(1, 3), pool.onConnected(4, 1), "opened for waiter 2, which has a connection already");
        assertEquals(List.of(), pool.onConnected(5, 2), "no waiter is left, so it is kept idle");
        assertEquals(assigned(2, 5), pool.acquire(6, 5, FIRST_SERVER));
    }

    @Test
    void lateConnectionIsJoinedByOthersAndServesALaterAttempt() {
        pool.acquire(0, 1, FIRST_SERVER);
        double late = pool.lateAfterMs();
        assertEquals(
                1,
                commandsOf(ConnectionCommand.Open.class, pool.onWake(late, 1)).size());
        assertEquals(
                1,
                commandsOf(ConnectionCommand.Open.class, pool.onWake(late * 2, 1))
                        .size());
        assertEquals(
                List.of(),
                commandsOf(ConnectionCommand.Open.class, pool.onWake(late * 3, 1)),
                "at most three connections per waiter");
        assertEquals(assigned(2, 1), pool.onConnected(late * 3, 2));
        assertEquals(List.of(), pool.onConnected(150, 0), "up after the connect time-out");
        assertEquals(assigned(0, 2), pool.acquire(160, 2, FIRST_SERVER));
    }

    @Test
    void waiterGivesUpAtConnectTimeout() {
        pool.acquire(0, 1, FIRST_SERVER);
        assertEquals(List.of(), commandsOf(ConnectionCommand.GiveUp.class, pool.onWake(99, 1)));
        assertEquals(
                List.of(new ConnectionCommand.GiveUp(1, ConnectionCommand.FailureReason.CONNECT_FAILED)),
                pool.onWake(100, 1));
        assertEquals(0, pool.waiterCount());
    }

    @Test
    void failedOpenEndsWaiterAtOnceUnlessAnotherIsOpening() {
        pool.acquire(0, 1, FIRST_SERVER);
        assertEquals(
                List.of(new ConnectionCommand.GiveUp(1, ConnectionCommand.FailureReason.CONNECT_FAILED)),
                pool.onConnectionEnded(1, 0));
        pool.acquire(2, 2, FIRST_SERVER);
        pool.onWake(2 + pool.lateAfterMs(), 2);
        assertEquals(List.of(), pool.onConnectionEnded(40, 1));
        assertEquals(
                List.of(new ConnectionCommand.GiveUp(2, ConnectionCommand.FailureReason.NO_DESCRIPTOR)),
                pool.onDescriptorsExhausted(41, 2));
        assertEquals(0, pool.size());
    }

    @Test
    void localFailureIsRetriedOnceAfterDelayAndThenReportedAsLocal() {
        pool.acquire(0, 1, FIRST_SERVER);
        assertEquals(List.of(new ConnectionCommand.Wake(5, 1)), pool.onLocalFailure(1, 0));
        assertEquals(List.of(), pool.onWake(4, 1), "during the retry delay");
        List<ConnectionCommand> again = pool.onWake(5, 1);
        assertEquals(1, commandsOf(ConnectionCommand.Open.class, again).size());
        assertEquals(
                List.of(new ConnectionCommand.GiveUp(1, ConnectionCommand.FailureReason.FAILED_LOCALLY)),
                pool.onLocalFailure(6, 1));
        assertEquals(0, pool.size() + pool.waiterCount());
    }

    @Test
    void connectionOpenedByLocalRetryIsAssignedToItsWaiter() {
        pool.acquire(0, 1, FIRST_SERVER);
        pool.onLocalFailure(1, 0);
        pool.onWake(5, 1);
        assertEquals(assigned(1, 1), pool.onConnected(6, 1));
    }

    @Test
    void timeoutDuringLocalRetryDelayIsReportedAsLocal() {
        pool.acquire(0, 1, FIRST_SERVER);
        pool.onLocalFailure(99, 0);
        assertEquals(
                List.of(new ConnectionCommand.GiveUp(1, ConnectionCommand.FailureReason.FAILED_LOCALLY)),
                pool.onWake(100, 1));
    }

    @Test
    void eachWaiterRetriesLocalFailureOnce() {
        for (int waiter = 0; waiter < 3; waiter++) {
            pool.acquire(0, waiter, FIRST_SERVER);
        }
        for (int connection = 0; connection < 3; connection++) {
            assertEquals(
                    1,
                    commandsOf(ConnectionCommand.Wake.class, pool.onLocalFailure(1, connection))
                            .size());
        }
        for (int waiter = 0; waiter < 3; waiter++) {
            assertEquals(
                    1,
                    commandsOf(ConnectionCommand.Open.class, pool.onWake(5, waiter))
                            .size());
        }
        for (int connection = 3; connection < 6; connection++) {
            assertEquals(
                    1,
                    commandsOf(ConnectionCommand.GiveUp.class, pool.onLocalFailure(6, connection))
                            .size());
        }
        assertEquals(0, pool.size() + pool.waiterCount());
    }

    @Test
    void failedOpenAfterLocalFailureIsReportedAsUnconnected() {
        pool.acquire(0, 1, FIRST_SERVER);
        pool.onLocalFailure(1, 0);
        pool.onWake(5, 1);
        assertEquals(
                List.of(new ConnectionCommand.GiveUp(1, ConnectionCommand.FailureReason.CONNECT_FAILED)),
                pool.onConnectionEnded(6, 1));
    }

    @Test
    void connectionOfCancelledWaiterIsAssignedToNextWaiter() {
        pool.acquire(0, 1, FIRST_SERVER);
        pool.cancelWait(1);
        assertEquals(
                List.of(),
                commandsOf(ConnectionCommand.Open.class, pool.acquire(1, 2, FIRST_SERVER)),
                "a connection is already opening without a waiter");
        assertEquals(assigned(0, 2), pool.onConnected(2, 0));
        pool.acquire(3, 3, FIRST_SERVER);
        pool.cancelWait(3);
        pool.acquire(4, 4, FIRST_SERVER);
        assertEquals(
                1,
                commandsOf(ConnectionCommand.Open.class, pool.onConnectionEnded(5, 1))
                        .size(),
                "opens its own first connection instead of failing");
    }

    @Test
    void additionalOpensKeepToBudget() {
        int additional = 0;
        for (int i = 0; i < 1000; i++) {
            double at = i * 1000.0;
            pool.acquire(at, i, FIRST_SERVER);
            for (int j = 1; j < 4; j++) {
                additional += commandsOf(ConnectionCommand.Open.class, pool.onWake(at + j * pool.lateAfterMs(), i))
                        .size();
            }
            pool.cancelWait(i);
        }
        assertTrue(additional > 400 && additional <= 510, "at most half of the first opens, plus ten: " + additional);
    }

    @Test
    void lateThresholdFollowsMedianNotLateConnections() {
        for (int i = 0; i < 300; i++) {
            pool.acquire(i * 1000, i, FIRST_SERVER);
            pool.onConnected(i * 1000 + (i % 3 == 0 ? 90 : 2), i);
            pool.onConnectionEnded(i * 1000 + 500, i);
        }
        assertTrue(pool.lateAfterMs() >= 5 && pool.lateAfterMs() < 20, "late after: " + pool.lateAfterMs());
    }

    /** Assigns a connection that was idle for 400 ms and breaks it at once; returns whether it counts as stale. */
    private boolean reusedConnectionBreaks(int startMs) {
        pool.acquire(startMs, startMs, FIRST_SERVER);
        long id = ((ConnectionCommand.Open)
                        commandsOf(ConnectionCommand.Open.class, pool.acquire(startMs, startMs + 1, FIRST_SERVER))
                                .get(0))
                .connection();
        pool.cancelWait(startMs + 1);
        pool.onConnected(startMs, id - 1);
        pool.onConnected(startMs, id);
        pool.onConnectionEnded(startMs, id - 1);
        assertEquals(assigned(id, startMs + 2), pool.acquire(startMs + 400, startMs + 2, FIRST_SERVER));
        boolean stale = pool.onBrokenAfterAssign(id);
        pool.onConnectionEnded(startMs + 401, id);
        return stale;
    }

    @Test
    void reusedConnectionThatBreaksAtOnceLowersTrustedIdleTime() {
        assertTrue(reusedConnectionBreaks(0));
        assertEquals(100, pool.maxTrustedIdleMs(), 1e-9);
        for (int i = 0; i < 1000; i++) {
            pool.closeExpiredIdle(i);
        }
        assertEquals(10_000, pool.maxTrustedIdleMs(), 1e-9, "the limit rises again");
    }

    @Test
    void reusedConnectionsStayTrustedWhereNewOnesBreakAsOften() {
        for (int i = 0; i < 40; i++) {
            pool.acquire(i, i, FIRST_SERVER);
            pool.onConnected(i, i);
            if (i % 4 == 0) {
                assertFalse(pool.onBrokenAfterAssign(i), "a new connection");
            }
            pool.onConnectionEnded(i, i);
        }
        for (int i = 0; i < 30; i++) {
            pool.acquire(i, 100 + i, FIRST_SERVER);
            pool.onConnected(i, 40 + i);
            pool.release(i, 40 + i);
            pool.acquire(i, 200 + i, FIRST_SERVER);
            pool.onConnectionEnded(i, 40 + i);
        }
        assertFalse(reusedConnectionBreaks(1000));
        assertEquals(10_000, pool.maxTrustedIdleMs());
    }

    @Test
    void idleConnectionsAreClosedAtTimeoutOnServerRemovalAndOnRequest() {
        for (int i = 0; i < 3; i++) {
            pool.acquire(0, i, i < 2 ? FIRST_SERVER : SECOND_SERVER);
        }
        for (int i = 0; i < 3; i++) {
            pool.onConnected(i, i);
        }
        for (int i = 0; i < 3; i++) {
            pool.release(i, i);
        }
        assertEquals(1, pool.closeOneIdle().size());
        assertEquals(
                2,
                pool.closeIdle(FIRST_SERVER).size()
                        + pool.closeIdle(SECOND_SERVER).size());
        assertEquals(0, pool.size());
        pool.acquire(0, 9, FIRST_SERVER);
        pool.onConnected(0, 3);
        pool.release(0, 3);
        assertEquals(List.of(), pool.closeExpiredIdle(9_999));
        assertEquals(List.of(new ConnectionCommand.Close(3)), pool.closeExpiredIdle(10_000));
    }

    /**
     * Checks that each waiter ends once, that a connection is assigned to at most one attempt, and that the counts
     * match.
     */
    @Test
    void randomEventsEndEachWaiterOnceAndAssignEachConnectionToOneAttempt() {
        for (int seed = 0; seed < 300; seed++) {
            new RandomPoolHistory(seed).run();
        }
    }
}
