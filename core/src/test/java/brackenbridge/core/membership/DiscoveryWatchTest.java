package brackenbridge.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/**
 * Tests a watch against a scripted discovery, which may send anything at any time; the watch's timers fire as
 * commanded.
 */
class DiscoveryWatchTest {
    private static final double SILENCE_MS = 3000;
    private static final DiscoverySource AGENT = new DiscoverySource(false, 0);
    private static final DiscoverySource SERVICE = new DiscoverySource(true, 10_000);

    private final List<DiscoveryCommand.OpenWatch> openCommands = new ArrayList<>();
    private final List<DiscoveryCommand.EndCall> endCommands = new ArrayList<>();
    private double nowMs = 1000;
    private DiscoveryCommand.Wake nextWake;
    private DiscoveryWatch watch;

    private DiscoveryWatchTest start(DiscoverySource source, long seed) {
        openCommands.clear();
        endCommands.clear();
        nextWake = null;
        watch = new DiscoveryWatch(source, SILENCE_MS, new SplittableRandom(seed));
        execute(watch.start(nowMs, 41));
        return this;
    }

    private void execute(List<DiscoveryCommand> commands) {
        for (DiscoveryCommand command : commands) {
            if (command instanceof DiscoveryCommand.OpenWatch opening) {
                openCommands.add(opening);
            } else if (command instanceof DiscoveryCommand.EndCall ending) {
                endCommands.add(ending);
            } else if (command instanceof DiscoveryCommand.Wake wake) {
                assertTrue(nextWake == null || nextWake.timer() < wake.timer(), "a timer was scheduled twice");
                nextWake = wake;
            }
        }
    }

    /** Advances the time and fires the watch's timers. */
    private void advance(double ms) {
        double until = nowMs + ms;
        while (nextWake != null && nextWake.atMs() <= until) {
            nowMs = Math.max(nowMs, nextWake.atMs());
            DiscoveryCommand.Wake due = nextWake;
            nextWake = null;
            execute(watch.onTimer(nowMs, due.timer()));
        }
        nowMs = until;
    }

    private long currentCall() {
        return openCommands.get(openCommands.size() - 1).call();
    }

    @Test
    void firstCallIsImmediateAtAgentAndDelayedAtService() {
        start(AGENT, 1);
        assertEquals(List.of(new DiscoveryCommand.OpenWatch(0, 41)), openCommands);
        start(SERVICE, 1);
        assertEquals(List.of(), openCommands);
        advance(4000);
        assertEquals(1, openCommands.size());
    }

    @Test
    void silentWatchIsReopenedAtOnceAtAgentAndDelayedAtService() {
        start(AGENT, 1);
        watch.onHeartbeat(nowMs, currentCall());
        advance(2999);
        assertEquals(0, endCommands.size());
        advance(1);
        assertEquals(List.of(new DiscoveryCommand.EndCall(0, true)), endCommands);
        assertEquals(2, openCommands.size());
        advance(30_000);
        assertEquals(12, openCommands.size(), "one call every 3 s, however long the agent is silent");

        start(SERVICE, 1);
        advance(4000);
        int before = openCommands.size();
        nowMs = nextWake.atMs();
        execute(watch.onTimer(nowMs, nextWake.timer()));
        assertEquals(before, openCommands.size());
        advance(1500);
        assertEquals(before + 1, openCommands.size());
    }

    @Test
    void agentThatEndsEachCallAfterItsListCausesNoBusyLoop() {
        start(AGENT, 3);
        for (double from = nowMs; nowMs < from + 20_000; ) {
            long call = currentCall();
            assertTrue(watch.onEndpointList(nowMs, call, 42, true));
            execute(watch.onCallEnded(nowMs, call));
            while (currentCall() == call) {
                advance(1);
            }
        }
        assertTrue(
                openCommands.size() > 133 && openCommands.size() < 267,
                "calls in 20 s, one every 75 to 150 ms: " + openCommands.size());
    }

    @Test
    void stableWatchResetsTheBackoff() {
        start(AGENT, 3);
        for (int i = 0; i < 12; i++) {
            execute(watch.onCallEnded(nowMs, currentCall()));
            advance(150);
            assertEquals(i + 2, openCommands.size(), "the retry delay at an agent is at most 150 ms");
        }
        watch.onEndpointList(nowMs, currentCall(), 42, true);
        advance(1000);
        int before = openCommands.size();
        execute(watch.onCallEnded(nowMs, currentCall()));
        advance(75);
        assertEquals(before + 1, openCommands.size());
    }

    /** The time after which a node counts as notified, and the time that a call may take in the service's queue. */
    private static final double NOTIFIED_WITHIN_MS = 6000;

    private static final double MAX_QUEUE_TIME_MS = 2000;
    private static final double MAX_RETRY_DELAY_MS = 1600;
    private static final double MIN_LONG_DELAY_MS = MAX_RETRY_DELAY_MS / 2;
    private static final double MIN_FIRST_DELAY_MS = 200;

    /**
     * Holds whatever the length of the outage and the number of rejected calls, and even if a call hangs when the
     * service recovers.
     */
    @Test
    void listArrivesWithinSixSecondsOfServiceRecovery() {
        for (long seed = 1; seed <= 40; seed++) {
            for (boolean hangs : List.of(false, true)) {
                start(SERVICE, seed);
                double downUntil = nowMs + 4000 + 500 * seed;
                while (nowMs < downUntil) {
                    advance(10);
                    if (!openCommands.isEmpty() && watch.isOpen(currentCall())) {
                        execute(watch.onCallEnded(nowMs, currentCall()));
                    }
                }
                if (hangs) {
                    // A call that is sent just before the recovery is never answered.
                    while (!watch.isOpen(currentCall())) {
                        advance(10);
                    }
                }
                double recoveredMs = nowMs;
                long hanging = hangs ? currentCall() : -1;
                while (!watch.isOpen(currentCall()) || currentCall() == hanging) {
                    advance(10);
                }
                assertTrue(
                        nowMs + MAX_QUEUE_TIME_MS - recoveredMs < NOTIFIED_WITHIN_MS,
                        (nowMs - recoveredMs) + " ms, seed " + seed);
            }
        }
    }

    /**
     * An overloaded service rejects the calls of a whole fleet, and each rejected call still costs it capacity, so
     * nodes must back off.
     */
    @Test
    void rejectedCallsBackOffExponentially() {
        for (long seed = 1; seed <= 40; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            for (int failures = 1; failures < 20; failures++) {
                double nominalMs = Math.min(400 * Math.pow(2, failures - 1), MAX_RETRY_DELAY_MS);
                double delayMs = SERVICE.retryDelayMs(failures, random);
                assertTrue(
                        delayMs >= nominalMs / 2 && delayMs <= nominalMs * 1.5,
                        delayMs + " ms after " + failures + " failures");
            }
        }
    }

    /** The worst case: a change right after the last message, and a call that is rejected right after the silence. */
    @Test
    void silentServiceIsCalledAgainWithinSixSeconds() {
        for (long seed = 1; seed <= 40; seed++) {
            start(SERVICE, seed);
            advance(4000);
            execute(watch.onCallEnded(nowMs, currentCall()));
            advance(900);
            watch.onHeartbeat(nowMs, currentCall());
            double lastMessageMs = nowMs;
            for (int calls = openCommands.size(); openCommands.size() == calls; ) {
                advance(10);
            }
            execute(watch.onCallEnded(nowMs, currentCall()));
            for (int calls = openCommands.size(); openCommands.size() == calls; ) {
                advance(10);
            }
            assertTrue(
                    nowMs + MAX_QUEUE_TIME_MS - lastMessageMs < NOTIFIED_WITHIN_MS,
                    (nowMs - lastMessageMs) + " ms, seed " + seed);
        }
    }

    /** Guards against requests to a drained server while the node backs off from a service that has recovered. */
    @Test
    void watchThatEndsSoonAfterAnOutageIsReopenedWithoutTheBackoffOfTheOutage() {
        for (long seed = 1; seed <= 40; seed++) {
            start(SERVICE, seed);
            advance(4000);
            for (int rejected = 0; rejected < 5; rejected++) {
                execute(watch.onCallEnded(nowMs, currentCall()));
                for (int calls = openCommands.size(); openCommands.size() == calls; ) {
                    advance(10);
                }
            }
            assertTrue(watch.onEndpointList(nowMs, currentCall(), 41, false));
            advance(500);
            int before = openCommands.size();
            execute(watch.onCallEnded(nowMs, currentCall()));
            advance(600);
            assertEquals(before + 1, openCommands.size(), "seed " + seed);
        }
    }

    /** A service that ends each watch soon is called less and less often, whatever calls it rejects in between. */
    @Test
    void serviceThatEndsEachWatchSoonIsCalledLessOften() {
        for (boolean rejects : List.of(false, true)) {
            start(SERVICE, 9);
            advance(4000);
            int callsBefore = openCommands.size();
            for (double from = nowMs; nowMs < from + 60_000; ) {
                long call = currentCall();
                if (!rejects || call % 2 == 0) {
                    watch.onEndpointList(nowMs, call, 41, true);
                }
                execute(watch.onCallEnded(nowMs, call));
                while (currentCall() == call) {
                    advance(1);
                }
            }
            int calls = openCommands.size() - callsBefore;
            double shortestMs = rejects ? (MIN_LONG_DELAY_MS + MIN_FIRST_DELAY_MS) / 2 : MIN_LONG_DELAY_MS;
            assertTrue(calls < 60_000 / shortestMs + 4, calls + " calls in 60 s");
        }
    }

    @Test
    void watchWithHeartbeatsOnlyHasNotFailed() {
        start(SERVICE, 5);
        advance(4000);
        for (int i = 0; i < 20; i++) {
            for (int heartbeats = 0; heartbeats < 3; heartbeats++) {
                watch.onHeartbeat(nowMs, currentCall());
                advance(1500);
            }
            int before = openCommands.size();
            execute(watch.onCallEnded(nowMs, currentCall()));
            advance(600);
            assertEquals(before + 1, openCommands.size());
        }
    }

    @Test
    void movedDiscoveryDoesNotInheritFailures() {
        // Random draws near the maximum: with inherited failures the retry delay would exceed that of a first failure.
        watch = new DiscoveryWatch(SERVICE, SILENCE_MS, new java.util.Random() {
            @Override
            public double nextDouble() {
                return 0.999;
            }
        });
        execute(watch.start(nowMs, 41));
        advance(4000);
        for (int i = 0; i < 5; i++) {
            execute(watch.onCallEnded(nowMs, currentCall()));
            advance(900);
        }
        execute(watch.reopen(nowMs, true));
        int before = openCommands.size();
        execute(watch.onCallEnded(nowMs, currentCall()));
        advance(600);
        assertEquals(before + 1, openCommands.size());
    }

    @Test
    void delayedCallFollowsTheNewSource() {
        start(new DiscoverySource(true, 60_000), 7);
        execute(watch.changeSource(nowMs, AGENT));
        advance(75);
        assertEquals(1, openCommands.size(), "the first call was scheduled seconds later");
    }

    /**
     * Of a hundred nodes whose calls were rejected at the same time, at most a quarter retries within the same 100 ms.
     */
    @Test
    void jitterSpreadsTheRetriesOfAFleet() {
        int[] calls = new int[25];
        for (long seed = 0; seed < 100; seed++) {
            calls[(int) (SERVICE.retryDelayMs(3, new SplittableRandom(seed)) / 100)]++;
        }
        for (int slot = 0; slot < calls.length; slot++) {
            assertTrue(calls[slot] <= 25, calls[slot] + " calls in 100 ms slot " + slot);
        }
    }

    @Test
    void supersededMessagesAreIgnored() {
        start(AGENT, 1);
        assertFalse(watch.onEndpointList(nowMs, currentCall(), 40, true), "older than the current version");
        assertTrue(watch.onEndpointList(nowMs, currentCall(), 44, false));
        assertFalse(watch.onEndpointList(nowMs, currentCall(), 44, false));
        assertFalse(watch.onEndpointList(nowMs, currentCall() + 1, 50, true), "no such call");
        execute(watch.reopen(nowMs, true));
        assertEquals(List.of(new DiscoveryCommand.EndCall(0, false)), endCommands);
        assertFalse(watch.onEndpointList(nowMs, 0, 60, true), "a call that has ended");
        assertFalse(
                watch.onEndpointList(nowMs, currentCall(), 7, false),
                "changes from a moved discovery need a complete list first");
        assertTrue(watch.onEndpointList(nowMs, currentCall(), 7, true));
        assertEquals(7, watch.version());
        assertTrue(watch.acceptVersion(7, true)
                && !watch.acceptVersion(7, false)
                && !watch.acceptVersion(6, true)
                && watch.acceptVersion(8, false));
    }

    /**
     * Whatever discovery does, at most one call is open, a call is always open or scheduled, and there is no busy loop.
     */
    @Property(tries = 300, seed = "53")
    void watchIsAlwaysOpenOrScheduled(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        boolean shared = random.nextBoolean();
        start(shared ? SERVICE : AGENT, seed);
        double startMs = nowMs;
        int longPauses = 0;
        long version = 41;
        long lastCall = -1;
        boolean open = false;
        for (int i = 0; i < 400; i++) {
            for (DiscoveryCommand.OpenWatch opening :
                    openCommands.subList((int) Math.min(openCommands.size(), lastCall + 1), openCommands.size())) {
                assertEquals(lastCall + 1, opening.call());
                lastCall = opening.call();
                open = true;
            }
            for (DiscoveryCommand.EndCall ending : endCommands) {
                open &= ending.call() != lastCall;
            }
            endCommands.clear();
            assertEquals(open, watch.isOpen(lastCall));
            assertTrue(
                    nextWake != null && nextWake.atMs() <= nowMs + (openCommands.isEmpty() ? 4000 : SILENCE_MS),
                    "no timer is scheduled");
            if (open && watch.isOpen(lastCall)) {
                switch (random.nextInt(5)) {
                    case 0 -> {
                        execute(watch.onCallEnded(nowMs, lastCall));
                        open = false;
                    }
                    case 1 -> watch.onEndpointList(nowMs, lastCall, ++version, random.nextBoolean());
                    case 2 -> watch.onHeartbeat(nowMs, lastCall);
                    default -> {
                        watch.onHeartbeat(nowMs, lastCall - 1);
                        execute(watch.onCallEnded(nowMs, lastCall - 1));
                    }
                }
            }
            double pauseMs = random.nextDouble() * (random.nextInt(10) == 0 ? 5000 : 200);
            longPauses += pauseMs > 1000 ? 1 : 0;
            advance(pauseMs);
        }
        double seconds = (nowMs - startMs) / 1000;
        assertTrue(
                openCommands.size() < 8 + longPauses + seconds * (shared ? 2 : 10),
                openCommands.size() + " calls in " + seconds + " s");
    }
}
