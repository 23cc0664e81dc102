package brackenbridge.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** Sends random events to a {@link ConnectionPool} and checks its commands against a model. */
final class RandomPoolHistory {
    private static final int STEPS = 400;
    /** From this step on no attempts arrive and none is cancelled. */
    private static final int LAST_ARRIVAL_STEP = 300;

    private static final double CONNECT_TIMEOUT_MS = 100;
    private static final double IDLE_TIMEOUT_MS = 300;
    private static final EndpointIdentity FIRST = new EndpointIdentity("a", "10.0.0.1:80");
    private static final EndpointIdentity SECOND = new EndpointIdentity("b", "10.0.0.2:80");

    private final SplittableRandom random;
    private final ConnectionPool pool = new ConnectionPool(CONNECT_TIMEOUT_MS, IDLE_TIMEOUT_MS);
    private final Set<Long> opening = new HashSet<>();
    private final Set<Long> established = new HashSet<>();
    private final Map<Long, Long> waiterByConnection = new HashMap<>();
    private final Map<Long, Double> waitingSinceMs = new HashMap<>();
    private double nowMs;

    RandomPoolHistory(long seed) {
        random = new SplittableRandom(seed);
    }

    void run() {
        for (long step = 0; step < STEPS; step++) {
            nowMs += random.nextInt(20);
            List<ConnectionCommand> commands = new ArrayList<>(randomEvent(step));
            for (long waiter : List.copyOf(waitingSinceMs.keySet())) {
                commands.addAll(pool.onWake(nowMs, waiter));
            }
            commands.forEach(this::apply);
            checkState();
        }
    }

    private List<ConnectionCommand> randomEvent(long step) {
        long connection = randomConnection();
        return switch (random.nextInt(step < LAST_ARRIVAL_STEP ? 8 : 4)) {
            case 0 -> connect(connection);
            case 1 -> waiterByConnection.remove(connection) == null ? List.of() : pool.release(nowMs, connection);
            case 2 -> end(connection);
            case 3 -> random.nextBoolean() ? pool.closeExpiredIdle(nowMs) : pool.closeOneIdle();
            case 4 -> cancelSomeWaiters();
            default -> acquire(step);
        };
    }

    private long randomConnection() {
        List<Long> candidates = new ArrayList<>(random.nextBoolean() ? opening : established);
        return candidates.isEmpty() ? -1 : candidates.get(random.nextInt(candidates.size()));
    }

    private List<ConnectionCommand> connect(long connection) {
        if (!opening.remove(connection)) {
            return List.of();
        }
        established.add(connection);
        return pool.onConnected(nowMs, connection);
    }

    private List<ConnectionCommand> end(long connection) {
        opening.remove(connection);
        established.remove(connection);
        waiterByConnection.remove(connection);
        return switch (random.nextInt(3)) {
            case 0 -> pool.onConnectionEnded(nowMs, connection);
            case 1 -> pool.onDescriptorsExhausted(nowMs, connection);
            default -> pool.onLocalFailure(nowMs, connection);
        };
    }

    private List<ConnectionCommand> cancelSomeWaiters() {
        List<ConnectionCommand> commands = new ArrayList<>();
        for (long waiter : List.copyOf(waitingSinceMs.keySet())) {
            if (random.nextInt(4) == 0) {
                waitingSinceMs.remove(waiter);
                commands.addAll(pool.cancelWait(waiter));
            }
        }
        return commands;
    }

    private List<ConnectionCommand> acquire(long waiter) {
        waitingSinceMs.put(waiter, nowMs);
        return pool.acquire(nowMs, waiter, random.nextBoolean() ? FIRST : SECOND);
    }

    private void apply(ConnectionCommand command) {
        if (command instanceof ConnectionCommand.Open open) {
            assertTrue(opening.add(open.connection()), "connection id used twice");
        } else if (command instanceof ConnectionCommand.Assign assign) {
            long connection = assign.connection();
            assertTrue(established.contains(connection), "assigned before it is established, or after its end");
            assertNotNull(waitingSinceMs.remove(assign.waiter()), "command for a waiter that has ended");
            assertNull(waiterByConnection.put(connection, assign.waiter()), "assigned twice");
        } else if (command instanceof ConnectionCommand.Close close) {
            long connection = close.connection();
            assertTrue(
                    established.remove(connection) && !waiterByConnection.containsKey(connection),
                    "closed while in use");
        } else if (command instanceof ConnectionCommand.GiveUp giveUp) {
            assertNotNull(waitingSinceMs.remove(giveUp.waiter()), "command for a waiter that has ended");
        }
    }

    private void checkState() {
        for (double sinceMs : waitingSinceMs.values()) {
            assertTrue(nowMs < sinceMs + CONNECT_TIMEOUT_MS, "waiting for longer than the connect time-out");
        }
        assertEquals(waitingSinceMs.size(), pool.waiterCount());
        assertEquals(opening.size() + established.size(), pool.size());
    }
}
