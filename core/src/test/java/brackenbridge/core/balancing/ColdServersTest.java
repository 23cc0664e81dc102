package brackenbridge.core.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What all nodes together send to a cold server stays within what it bears, however many they are. */
class ColdServersTest {
    private static final long SECOND = 1_000_000;

    private static List<SlowStartBudget> budgets(int n) {
        List<SlowStartBudget> all = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            all.add(new SlowStartBudget());
        }
        return all;
    }

    private static int sendUntilDenied(List<SlowStartBudget> budgets, long now, double part, SplittableRandom random) {
        int sent = 0;
        for (SlowStartBudget b : budgets) {
            while (b.allows(now, part, SECOND, random)) {
                b.recordWritten(now, b.chargeRequest(now, SECOND), SECOND);
                sent++;
            }
        }
        return sent;
    }

    /** Thirty nodes that each rounded up to one call would be thirty calls. */
    @Test
    void fractionalShareIsRoundedAtRandom() {
        SplittableRandom random = new SplittableRandom(1);
        int all = 0;
        for (int i = 0; i < 1000; i++) {
            all += sendUntilDenied(budgets(30), 0, 0.3, random);
        }
        assertTrue(all > 8700 && all < 9300, "sent in 1000 instants by 30 nodes with 0.3 of a call each: " + all);
    }

    /** Whatever the instants at which calls come, and after however long a rest. */
    @Test
    void noWindowExceedsTheSumOfShares() {
        SplittableRandom random = new SplittableRandom(2);
        for (double part : new double[] {0.1, 0.5, 1, 2.4}) {
            int all = 0;
            for (int i = 0; i < 300; i++) {
                List<SlowStartBudget> nodes = budgets(30);
                sendUntilDenied(nodes, 0, part, random);
                long rest = 1 + random.nextLong(20 * SECOND);
                for (long at = rest; at < rest + SECOND; at += 1 + random.nextLong(SECOND / 5)) {
                    all += sendUntilDenied(nodes, at, part, random);
                }
            }
            double mean = all / 300.0;
            assertTrue(mean <= 30 * part * 1.03, "in a window, of " + 30 * part + ": " + mean);
            assertTrue(mean >= 30 * part * 0.5, "in a window, of " + 30 * part + ": " + mean);
        }
    }

    @Test
    void wonDrawIsValidAtItsTimeOnly() {
        SlowStartBudget b = new SlowStartBudget();
        SplittableRandom random = new SplittableRandom(3);
        assertTrue(b.allows(0, 1, SECOND, random));
        assertTrue(b.allows(0, 1, SECOND, random), "not sent yet");
        assertFalse(b.allows(1, 1, SECOND, random), "not made good later");
        assertTrue(b.allows(SECOND, 1, SECOND, random));
    }

    /** The rules' terms: twice the root of what it bears, and two, beside it. */
    @ParameterizedTest
    @EnumSource(ColdStartParameters.Scenario.class)
    void fleetOfAnySizeKeepsColdServersBelowTheirLimit(ColdStartParameters.Scenario day) {
        for (int nodes : new int[] {1, 5, 20, 30}) {
            for (long seed = 1; seed <= 4; seed++) {
                ColdStartResult brief = ColdStartSimulation.run(day, nodes, 0.9, 1.5, SECOND, seed);
                ColdStartResult usual = ColdStartSimulation.run(day, nodes, 0.9, 3, 2 * SECOND, seed);
                for (ColdStartResult seen : List.of(brief, usual)) {
                    assertTrue(seen.worstRatio() <= 1, nodes + " nodes, seed " + seed + ": " + seen);
                    assertTrue(
                            seen.incarnations() > 0 && seen.coldServed() > 10 * seen.incarnations(),
                            "starved: " + seen);
                    assertTrue(seen.served() > 0.7 * seen.requests(), "starved: " + seen);
                }
            }
        }
    }

    /** How many of 41 calls, one after another, go to server 2 of a warm and this one, which is told twice. */
    private static long attemptsAtSecondServer(Endpoint first, Endpoint then) {
        ScriptedBalancer s = new ScriptedBalancer(
                ScriptedBalancer.settings(1, false, List.of(), ScriptedBalancer.idempotentClass("read", 1))
                        .withColdOverload(0.001, SECOND));
        s.advance(7200 * SECOND);
        s.sendList(EndpointListKind.CACHED, ScriptedBalancer.endpointUp(1, 1), first);
        s.sendList(EndpointListKind.CHANGES, then);
        List<Long> targets = new ArrayList<>();
        for (int i = 0; i <= 40; i++) {
            s.submit(i, "read");
            targets.add(s.lastServerOf(i));
            s.advance(ScriptedBalancer.MILLISECOND_US)
                    .endAttempt(i, 0, AttemptOutcome.OK, ScriptedBalancer.MILLISECOND_US);
        }
        return targets.stream().filter(t -> t == 2).count();
    }

    /** Its start is told by a wall clock that was set back: earlier than its start before, long ago by this node's. */
    @Test
    void restartAfterWallClockWasSetBackBeginsSlowStart() {
        long hourAgo = 4600 * SECOND;
        Endpoint before = ScriptedBalancer.endpoint(2, "here", hourAgo, EndpointState.UP);
        long warm = attemptsAtSecondServer(before, before);
        long startedAgain = attemptsAtSecondServer(
                before, ScriptedBalancer.endpoint(2, "here", hourAgo - SECOND, EndpointState.UP));
        long noLongerTold = attemptsAtSecondServer(before, ScriptedBalancer.endpointUp(2, 1));
        assertTrue(warm > 10, "warm: " + warm);
        assertTrue(startedAgain <= 1, "started again: " + startedAgain);
        assertEquals(warm, noLongerTold, "a start that is no longer told is none");
    }

    @Test
    void requestBeyondColdBudgetGoesToBusyWarmServer() {
        ScriptedBalancer s = new ScriptedBalancer(
                ScriptedBalancer.settings(1, false, List.of(), ScriptedBalancer.idempotentClass("read", 1))
                        .withColdOverload(0.001, SECOND));
        s.sendList(
                EndpointListKind.CACHED,
                ScriptedBalancer.endpointUp(1, 1),
                ScriptedBalancer.endpoint(2, "here", s.now, EndpointState.UP));
        s.submit(0, "read");
        for (int i = 1; i <= 40; i++) {
            s.submit(i, "read");
            assertEquals(1, s.lastServerOf(i), "the warm server, while call 0 is out there: " + i);
            s.advance(ScriptedBalancer.MILLISECOND_US)
                    .endAttempt(i, 0, AttemptOutcome.OK, ScriptedBalancer.MILLISECOND_US);
        }
    }

    /** How a call may come to a server. */
    private enum SendPath {
        /** In its turn, or from the server's queue. */
        ROUND_ROBIN,
        /** Sent before it is whole. */
        STREAMED,
        /** As the trial of a server that is out. */
        TRIAL
    }

    /** Answers that teach nothing free the server at once; the fourth of a second that is guessed for a call stays. */
    @ParameterizedTest
    @EnumSource(SendPath.class)
    void everySendPathIsChargedToTheBudget(SendPath way) {
        ScriptedBalancer s = new ScriptedBalancer(
                ScriptedBalancer.settings(1, false, List.of(), ScriptedBalancer.idempotentClass("read", 1))
                        .withColdOverload(1, 4 * SECOND));
        s.sendList(EndpointListKind.CACHED, ScriptedBalancer.endpoint(1, "here", s.now, EndpointState.UP));
        int answered = 0;
        for (int i = 0; i < 399; i++) {
            if (way == SendPath.STREAMED) {
                s.balancer.onStreamedRequest(s.now, new BalancerRequest(i, "read", null, -1, 3 * SECOND, -1, false));
            } else {
                s.submit(i, "read").submit(1000 + i, "read");
            }
            for (; answered < s.actionsOfType("startAttempt").size(); answered++) {
                long id = s.actionsOfType("startAttempt").get(answered).request();
                s.endAttempt(
                        id,
                        s.attempts.get(id) - 1,
                        way == SendPath.TRIAL && answered == 0
                                ? AttemptOutcome.CONNECT_FAILED
                                : AttemptOutcome.CANCELLED,
                        1);
            }
            if (way == SendPath.TRIAL) {
                // Guards the trials, which only a new call makes, against calls that fill the room and wait.
                s.balancer.onClientDisconnected(s.now, i);
                s.balancer.onClientDisconnected(s.now, 1000 + i);
            }
            s.advance(10 * ScriptedBalancer.MILLISECOND_US);
        }
        // 4 calls a second, in 4 s, at 0.2 of its capacity in the beginning and 0.4 in the end.
        assertTrue(answered >= 2 && answered <= 7, "sent within 4 s: " + answered);
    }
}
