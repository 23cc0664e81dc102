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
    private double now = 1000;
    private DiscoveryCommand.Wake next;
    private DiscoveryWatch watch;

    private DiscoveryWatchTest start(DiscoverySource source, long seed) {
        opened.clear();
        ended.clear();
        next = null;
        watch = new DiscoveryWatch(source, SILENCE_MS, new SplittableRandom(seed));
        run(watch.start(now, 41));
        return this;
    }

    private void run(List<DiscoveryCommand> steps) {
        for (DiscoveryCommand step : steps) {
            if (step instanceof DiscoveryCommand.OpenWatch opening) {
                opened.add(opening);
            } else if (step instanceof DiscoveryCommand.EndCall ending) {
                ended.add(ending);
            } else if (step instanceof DiscoveryCommand.Wake wake) {
                assertTrue(next == null || next.timer() < wake.timer(), "each turn is asked for once");
                next = wake;
            }
        }
    }

    /** Time passes, and the machine is woken as it asked. */
    private void pass(double ms) {
        double until = now + ms;
        while (next != null && next.atMs() <= until) {
            now = Math.max(now, next.atMs());
            DiscoveryCommand.Wake due = next;
            next = null;
            run(watch.onTimer(now, due.timer()));
        }
        now = until;
    }

    private long call() {
        return opened.get(opened.size() - 1).call();
    }

    @Test
    void agentIsAskedAtOnceAndAServiceAfterAWhile() {
        start(AGENT, 1);
        assertEquals(List.of(new DiscoveryCommand.OpenWatch(0, 41)), opened);
        start(SERVICE, 1);
        assertEquals(List.of(), opened);
        pass(4000);
        assertEquals(1, opened.size());
    }

    @Test
    void agentThatFallsSilentIsAskedAgainInTheSameMomentAndAServiceIsSpared() {
        start(AGENT, 1);
        watch.onHeartbeat(now, call());
        pass(2999);
        assertEquals(0, ended.size());
        pass(1);
        assertEquals(List.of(new DiscoveryCommand.EndCall(0, true)), ended);
        assertEquals(2, opened.size());
        pass(30_000);
        assertEquals(12, opened.size(), "one call each 3 s, however long it is silent");

        start(SERVICE, 1);
        pass(4000);
        int before = opened.size();
        now = next.atMs();
        run(watch.onTimer(now, next.timer()));
        assertEquals(before, opened.size());
        pass(1500);
        assertEquals(before + 1, opened.size());
    }

    @Test
    void agentThatEndsEachCallAfterItsListIsNotSpunAt() {
        start(AGENT, 3);
        for (double from = now; now < from + 20_000; ) {
            long on = call();
            assertTrue(watch.onEndpointList(now, on, 42, true));
            run(watch.onCallEnded(now, on));
            while (call() == on) {
                pass(1);
            }
        }
        assertTrue(opened.size() > 133 && opened.size() < 267, "one each 75 to 150 ms, in 20 s: " + opened.size());
    }

    @Test
    void watchThatStoodIsOpenedAgainSoonHoweverOftenItFailedBefore() {
        start(AGENT, 3);
        for (int i = 0; i < 12; i++) {
            run(watch.onCallEnded(now, call()));
            pass(150);
            assertEquals(i + 2, opened.size(), "what an agent has counts as told at once");
        }
        watch.onEndpointList(now, call(), 42, true);
        pass(1000);
        int before = opened.size();
        run(watch.onCallEnded(now, call()));
        pass(75);
        assertEquals(before + 1, opened.size());
    }

    /** The 6 s of the terms, less the time that discovery's answer may take in its line. */
    private static final double KNOWN_WITHIN_MS = 6000;

    private static final double LINE_MS = 2000;
    private static final double LONGEST_PAUSE_MS = 1600;

    /** However long discovery was down and however often it refused, and whether a call hangs as it comes back. */
    @Test
    void serviceThatIsBackIsHeardWithinSixSeconds() {
        for (long seed = 1; seed <= 40; seed++) {
            for (boolean hangs : List.of(false, true)) {
                start(SERVICE, seed);
                double downUntil = now + 4000 + 500 * seed;
                while (now < downUntil) {
                    pass(10);
                    if (!opened.isEmpty() && watch.isOpen(call())) {
                        run(watch.onCallEnded(now, call()));
                    }
                }
                if (hangs) {
                    // Sent in the last moment in which it is down, and never answered.
                    while (!watch.isOpen(call())) {
                        pass(10);
                    }
                }
                double back = now;
                long hanging = hangs ? call() : -1;
                while (!watch.isOpen(call()) || call() == hanging) {
                    pass(10);
                }
                assertTrue(now + LINE_MS - back < KNOWN_WITHIN_MS, (now - back) + " ms, seed " + seed);
            }
        }
    }

    /** A service that is short of turns refuses whole fleets: each call that it refuses has cost it a place. */
    @Test
    void serviceThatRefusesIsAskedEverLess() {
        for (long seed = 1; seed <= 40; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            for (int failures = 1; failures < 20; failures++) {
                double pause = Math.min(400 * Math.pow(2, failures - 1), LONGEST_PAUSE_MS);
                double drawn = SERVICE.retryDelayMs(failures, random);
                assertTrue(drawn >= pause / 2 && drawn <= pause * 1.5, drawn + " ms after " + failures);
            }
        }
    }

    /** A change just after the last word, and a call that is refused at once behind the silence. */
    @Test
    void serviceThatFallsSilentIsHeardAgainWithinSixSeconds() {
        for (long seed = 1; seed <= 40; seed++) {
            start(SERVICE, seed);
            pass(4000);
            run(watch.onCallEnded(now, call()));
            pass(900);
            watch.onHeartbeat(now, call());
            double lastWord = now;
            for (int calls = opened.size(); opened.size() == calls; ) {
                pass(10);
            }
            run(watch.onCallEnded(now, call()));
            for (int calls = opened.size(); opened.size() == calls; ) {
                pass(10);
            }
            assertTrue(now + LINE_MS - lastWord < KNOWN_WITHIN_MS, (now - lastWord) + " ms, seed " + seed);
        }
    }

    @Test
    void watchThatOnlySaysThatNothingChangesHasNotFailed() {
        start(SERVICE, 5);
        pass(4000);
        for (int i = 0; i < 20; i++) {
            for (int beats = 0; beats < 3; beats++) {
                watch.onHeartbeat(now, call());
                pass(1500);
            }
            int before = opened.size();
            run(watch.onCallEnded(now, call()));
            pass(600);
            assertEquals(before + 1, opened.size());
        }
    }

    @Test
    void movedDiscoveryDoesNotInheritTheOldOnesFailures() {
        // The longest draws: a further failure would be put off longer than a first one.
        watch = new DiscoveryWatch(SERVICE, SILENCE_MS, new java.util.Random() {
            @Override
            public double nextDouble() {
                return 0.999;
            }
        });
        run(watch.start(now, 41));
        pass(4000);
        for (int i = 0; i < 5; i++) {
            run(watch.onCallEnded(now, call()));
            pass(900);
        }
        run(watch.reopen(now, true));
        int before = opened.size();
        run(watch.onCallEnded(now, call()));
        pass(600);
        assertEquals(before + 1, opened.size());
    }

    @Test
    void callThatWasPutOffGoesByTheNewSettings() {
        start(new DiscoverySource(true, 60_000), 7);
        run(watch.changeSource(now, AGENT));
        pass(75);
        assertEquals(1, opened.size(), "the first call would have been seconds away");
    }

    /** Jitter: of a hundred nodes whose calls were refused in one moment no tenth of a second gets over a quarter. */
    @Test
    void fleetIsSpreadOverItsPause() {
        int[] calls = new int[25];
        for (long seed = 0; seed < 100; seed++) {
            calls[(int) (SERVICE.retryDelayMs(3, new SplittableRandom(seed)) / 100)]++;
        }
        for (int tenth = 0; tenth < calls.length; tenth++) {
            assertTrue(calls[tenth] <= 25, calls[tenth] + " calls in tenth " + tenth);
        }
    }

    @Test
    void overtakenWordHoldsNothing() {
        start(AGENT, 1);
        assertFalse(watch.onEndpointList(now, call(), 40, true), "older than what is held");
        assertTrue(watch.onEndpointList(now, call(), 44, false));
        assertFalse(watch.onEndpointList(now, call(), 44, false));
        assertFalse(watch.onEndpointList(now, call() + 1, 50, true), "no such call");
        run(watch.reopen(now, true));
        assertEquals(List.of(new DiscoveryCommand.EndCall(0, false)), ended);
        assertFalse(watch.onEndpointList(now, 0, 60, true), "a call that is over");
        assertFalse(watch.onEndpointList(now, call(), 7, false), "changes of another discovery say nothing");
        assertTrue(watch.onEndpointList(now, call(), 7, true));
        assertEquals(7, watch.version());
        assertTrue(watch.acceptVersion(7, true)
                && !watch.acceptVersion(7, false)
                && !watch.acceptVersion(6, true)
                && watch.acceptVersion(8, false));
    }

    /** Whatever discovery does: one call at a time, never neither a call nor a time for the next, never a spin. */
    @Property(tries = 300, seed = "53")
    void thereIsAlwaysACallOrATimeForTheNext(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        boolean shared = random.nextBoolean();
        start(shared ? SERVICE : AGENT, seed);
        double began = now;
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
            assertTrue(next != null && next.atMs() <= now + (opened.isEmpty() ? 4000 : SILENCE_MS), "nothing is due");
            if (open && watch.isOpen(last)) {
                switch (random.nextInt(5)) {
                    case 0 -> {
                        run(watch.onCallEnded(now, last));
                        open = false;
                    }
                    case 1 -> watch.onEndpointList(now, last, ++version, random.nextBoolean());
                    case 2 -> watch.onHeartbeat(now, last);
                    default -> {
                        watch.onHeartbeat(now, last - 1);
                        run(watch.onCallEnded(now, last - 1));
                    }
                }
            }
            double step = random.nextDouble() * (random.nextInt(10) == 0 ? 5000 : 200);
            longSteps += step > 1000 ? 1 : 0;
            pass(step);
        }
        double seconds = (now - began) / 1000;
        assertTrue(
                opened.size() < 8 + longSteps + seconds * (shared ? 2 : 10),
                opened.size() + " calls in " + seconds + " s");
    }
}
