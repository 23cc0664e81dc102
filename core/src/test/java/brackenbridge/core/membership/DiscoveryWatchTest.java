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

/** A discovery played by hand, which may say anything at any time; the node's own timers fire as asked. */
class DiscoveryWatchTest {
    private static final double SILENCE_MS = 3000;
    private static final DiscoverySource AGENT = new DiscoverySource(false, 0);
    private static final DiscoverySource SERVICE = new DiscoverySource(true, 10_000);

    private final List<DiscoveryCommand.OpenWatch> opened = new ArrayList<>();
    private final List<DiscoveryCommand.EndCall> ended = new ArrayList<>();
    private double nowMs = 1000;
    private DiscoveryCommand.Wake nextWake;
    private DiscoveryWatch watch;

    private DiscoveryWatchTest start(DiscoverySource source, long seed) {
        opened.clear();
        ended.clear();
        nextWake = null;
        watch = new DiscoveryWatch(source, SILENCE_MS, new SplittableRandom(seed));
        execute(watch.start(nowMs, 41));
        return this;
    }

    private void execute(List<DiscoveryCommand> steps) {
        for (DiscoveryCommand step : steps) {
            if (step instanceof DiscoveryCommand.OpenWatch opening) {
                opened.add(opening);
            } else if (step instanceof DiscoveryCommand.EndCall ending) {
                ended.add(ending);
            } else if (step instanceof DiscoveryCommand.Wake wake) {
                assertTrue(nextWake == null || nextWake.timer() < wake.timer(), "each turn is asked for once");
                nextWake = wake;
            }
        }
    }

    /** Time passes, and the machine is woken as it asked. */
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
        return opened.get(opened.size() - 1).call();
    }

    @Test
    void firstCallIsImmediateAtAgentAndDelayedAtService() {
        start(AGENT, 1);
        assertEquals(List.of(new DiscoveryCommand.OpenWatch(0, 41)), opened);
        start(SERVICE, 1);
        assertEquals(List.of(), opened);
        advance(4000);
        assertEquals(1, opened.size());
    }

    @Test
    void silentWatchIsReopenedAtOnceAtAgentAndDelayedAtService() {
        start(AGENT, 1);
        watch.onHeartbeat(nowMs, currentCall());
        advance(2999);
        assertEquals(0, ended.size());
        advance(1);
        assertEquals(List.of(new DiscoveryCommand.EndCall(0, true)), ended);
        assertEquals(2, opened.size());
        advance(30_000);
        assertEquals(12, opened.size(), "one call each 3 s, however long it is silent");

        start(SERVICE, 1);
        advance(4000);
        int before = opened.size();
        nowMs = nextWake.atMs();
        execute(watch.onTimer(nowMs, nextWake.timer()));
        assertEquals(before, opened.size());
        advance(1500);
        assertEquals(before + 1, opened.size());
    }

    @Test
    void agentThatEndsEachCallAfterItsListCausesNoBusyLoop() {
        start(AGENT, 3);
        for (double from = nowMs; nowMs < from + 20_000; ) {
            long on = currentCall();
            assertTrue(watch.onEndpointList(nowMs, on, 42, true));
            execute(watch.onCallEnded(nowMs, on));
            while (currentCall() == on) {
                advance(1);
            }
        }
        assertTrue(opened.size() > 133 && opened.size() < 267, "one each 75 to 150 ms, in 20 s: " + opened.size());
    }

    @Test
    void stableWatchResetsTheBackoff() {
        start(AGENT, 3);
        for (int i = 0; i < 12; i++) {
            execute(watch.onCallEnded(nowMs, currentCall()));
            advance(150);
            assertEquals(i + 2, opened.size(), "what an agent has counts as told at once");
        }
        watch.onEndpointList(nowMs, currentCall(), 42, true);
        advance(1000);
        int before = opened.size();
        execute(watch.onCallEnded(nowMs, currentCall()));
        advance(75);
        assertEquals(before + 1, opened.size());
    }

    /** The 6 s of the terms, less the time that discovery's answer may take in its line. */
    private static final double NOTIFIED_WITHIN_MS = 6000;

    private static final double MAX_QUEUE_TIME_MS = 2000;
    private static final double MAX_RETRY_DELAY_MS = 1600;

    /** However long discovery was down and however often it refused, and whether a call hangs as it comes back. */
    @Test
    void listArrivesWithinSixSecondsOfServiceRecovery() {
        for (long seed = 1; seed <= 40; seed++) {
            for (boolean hangs : List.of(false, true)) {
                start(SERVICE, seed);
                double downUntil = nowMs + 4000 + 500 * seed;
                while (nowMs < downUntil) {
                    advance(10);
                    if (!opened.isEmpty() && watch.isOpen(currentCall())) {
                        execute(watch.onCallEnded(nowMs, currentCall()));
                    }
                }
                if (hangs) {
                    // Sent in the last moment in which it is down, and never answered.
                    while (!watch.isOpen(currentCall())) {
                        advance(10);
                    }
                }
                double back = nowMs;
                long hanging = hangs ? currentCall() : -1;
                while (!watch.isOpen(currentCall()) || currentCall() == hanging) {
                    advance(10);
                }
                assertTrue(nowMs + MAX_QUEUE_TIME_MS - back < NOTIFIED_WITHIN_MS, (nowMs - back) + " ms, seed " + seed);
            }
        }
    }

    /** A service that is short of turns refuses whole fleets: each call that it refuses has cost it a place. */
    @Test
    void rejectedCallsBackOffExponentially() {
        for (long seed = 1; seed <= 40; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            for (int failures = 1; failures < 20; failures++) {
                double pause = Math.min(400 * Math.pow(2, failures - 1), MAX_RETRY_DELAY_MS);
                double drawn = SERVICE.retryDelayMs(failures, random);
                assertTrue(drawn >= pause / 2 && drawn <= pause * 1.5, drawn + " ms after " + failures);
            }
        }
    }

    /** A change just after the last word, and a call that is refused at once behind the silence. */
    @Test
    void silentServiceIsCalledAgainWithinSixSeconds() {
        for (long seed = 1; seed <= 40; seed++) {
            start(SERVICE, seed);
            advance(4000);
            execute(watch.onCallEnded(nowMs, currentCall()));
            advance(900);
            watch.onHeartbeat(nowMs, currentCall());
            double lastWord = nowMs;
            for (int calls = opened.size(); opened.size() == calls; ) {
                advance(10);
            }
            execute(watch.onCallEnded(nowMs, currentCall()));
            for (int calls = opened.size(); opened.size() == calls; ) {
                advance(10);
            }
            assertTrue(
                    nowMs + MAX_QUEUE_TIME_MS - lastWord < NOTIFIED_WITHIN_MS,
                    (nowMs - lastWord) + " ms, seed " + seed);
        }
    }

    @Test
    void watchWithHeartbeatsOnlyHasNotFailed() {
        start(SERVICE, 5);
        advance(4000);
        for (int i = 0; i < 20; i++) {
            for (int beats = 0; beats < 3; beats++) {
                watch.onHeartbeat(nowMs, currentCall());
                advance(1500);
            }
            int before = opened.size();
            execute(watch.onCallEnded(nowMs, currentCall()));
            advance(600);
            assertEquals(before + 1, opened.size());
        }
    }

    @Test
    void movedDiscoveryDoesNotInheritFailures() {
        // The longest draws: a further failure would be put off longer than a first one.
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
        int before = opened.size();
        execute(watch.onCallEnded(nowMs, currentCall()));
        advance(600);
        assertEquals(before + 1, opened.size());
    }

    @Test
    void delayedCallFollowsTheNewSource() {
        start(new DiscoverySource(true, 60_000), 7);
        execute(watch.changeSource(nowMs, AGENT));
        advance(75);
        assertEquals(1, opened.size(), "the first call would have been seconds away");
    }

    /** Jitter: of a hundred nodes whose calls were refused in one moment no tenth of a second gets over a quarter. */
    @Test
    void jitterSpreadsTheRetriesOfAFleet() {
        int[] calls = new int[25];
        for (long seed = 0; seed < 100; seed++) {
            calls[(int) (SERVICE.retryDelayMs(3, new SplittableRandom(seed)) / 100)]++;
        }
        for (int tenth = 0; tenth < calls.length; tenth++) {
            assertTrue(calls[tenth] <= 25, calls[tenth] + " calls in tenth " + tenth);
        }
    }

    @Test
    void supersededMessagesAreIgnored() {
        start(AGENT, 1);
        assertFalse(watch.onEndpointList(nowMs, currentCall(), 40, true), "older than what is held");
        assertTrue(watch.onEndpointList(nowMs, currentCall(), 44, false));
        assertFalse(watch.onEndpointList(nowMs, currentCall(), 44, false));
        assertFalse(watch.onEndpointList(nowMs, currentCall() + 1, 50, true), "no such call");
        execute(watch.reopen(nowMs, true));
        assertEquals(List.of(new DiscoveryCommand.EndCall(0, false)), ended);
        assertFalse(watch.onEndpointList(nowMs, 0, 60, true), "a call that is over");
        assertFalse(watch.onEndpointList(nowMs, currentCall(), 7, false), "changes of another discovery say nothing");
        assertTrue(watch.onEndpointList(nowMs, currentCall(), 7, true));
        assertEquals(7, watch.version());
        assertTrue(watch.acceptVersion(7, true)
                && !watch.acceptVersion(7, false)
                && !watch.acceptVersion(6, true)
                && watch.acceptVersion(8, false));
    }

    /** Whatever discovery does: one call at a time, never neither a call nor a time for the next, never a spin. */
    @Property(tries = 300, seed = "53")
    void watchIsAlwaysOpenOrScheduled(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        boolean shared = random.nextBoolean();
        start(shared ? SERVICE : AGENT, seed);
        double began = nowMs;
        int longSteps = 0;
        long version = 41;
        long last = -1;
        boolean open = false;
        for (int i = 0; i < 400; i++) {
            for (DiscoveryCommand.OpenWatch opening :
                    opened.subList((int) Math.min(opened.size(), last + 1), opened.size())) {
                assertEquals(last + 1, opening.call());
                last = opening.call();
                open = true;
            }
            for (DiscoveryCommand.EndCall ending : ended) {
                open &= ending.call() != last;
            }
            ended.clear();
            assertEquals(open, watch.isOpen(last));
            assertTrue(
                    nextWake != null && nextWake.atMs() <= nowMs + (opened.isEmpty() ? 4000 : SILENCE_MS),
                    "nothing is due");
            if (open && watch.isOpen(last)) {
                switch (random.nextInt(5)) {
                    case 0 -> {
                        execute(watch.onCallEnded(nowMs, last));
                        open = false;
                    }
                    case 1 -> watch.onEndpointList(nowMs, last, ++version, random.nextBoolean());
                    case 2 -> watch.onHeartbeat(nowMs, last);
                    default -> {
                        watch.onHeartbeat(nowMs, last - 1);
                        execute(watch.onCallEnded(nowMs, last - 1));
                    }
                }
            }
            double step = random.nextDouble() * (random.nextInt(10) == 0 ? 5000 : 200);
            longSteps += step > 1000 ? 1 : 0;
            advance(step);
        }
        double seconds = (nowMs - began) / 1000;
        assertTrue(
                opened.size() < 8 + longSteps + seconds * (shared ? 2 : 10),
                opened.size() + " calls in " + seconds + " s");
    }
}
