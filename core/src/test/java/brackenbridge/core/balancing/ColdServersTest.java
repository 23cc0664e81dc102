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

/**
 * Guards cold servers against overload: the requests of all nodes together stay below the server's limit, however many
 * nodes there are.
 */
class ColdServersTest {
    private static final long SECOND = 1_000_000;

    private static List<SlowStartBudget> budgets(int n) {
        List<SlowStartBudget> all = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            all.add(new SlowStartBudget());
        }
        return all;
    }

    private static int sendUntilDenied(List<SlowStartBudget> budgets, long now, double share, SplittableRandom random) {
        int sent = 0;
        for (SlowStartBudget budget : budgets) {
            while (budget.allows(now, share, SECOND, random)) {
                budget.recordWritten(now, budget.chargeRequest(now, SECOND), SECOND);
                sent++;
            }
        }
        return sent;
    }

    /** If thirty nodes each rounded 0.3 requests up, thirty requests would arrive together. */
    @Test
    void fractionalShareIsRoundedAtRandom() {
        SplittableRandom random = new SplittableRandom(1);
        int sent = 0;
        for (int i = 0; i < 1000; i++) {
            sent += sendUntilDenied(budgets(30), 0, 0.3, random);
        }
        assertTrue(sent > 8700 && sent < 9300, "sent in 1000 rounds by 30 nodes with a share of 0.3 each: " + sent);
    }

    /** Holds for random arrival times and after an idle time of any length. */
    @Test
    void noWindowExceedsTheSumOfShares() {
        SplittableRandom random = new SplittableRandom(2);
        for (double share : new double[] {0.1, 0.5, 1, 2.4}) {
            int sent = 0;
            for (int i = 0; i < 300; i++) {
                List<SlowStartBudget> nodes = budgets(30);
                sendUntilDenied(nodes, 0, share, random);
                long idleTime = 1 + random.nextLong(20 * SECOND);
                for (long at = idleTime; at < idleTime + SECOND; at += 1 + random.nextLong(SECOND / 5)) {
                    sent += sendUntilDenied(nodes, at, share, random);
                }
            }
            double mean = sent / 300.0;
            assertTrue(mean <= 30 * share * 1.03, "sent per window, with shares of " + 30 * share + ": " + mean);
            assertTrue(mean >= 30 * share * 0.5, "sent per window, with shares of " + 30 * share + ": " + mean);
        }
    }

    @Test
    void wonDrawIsValidAtItsTimeOnly() {
        SlowStartBudget budget = new SlowStartBudget();
        SplittableRandom random = new SplittableRandom(3);
        assertTrue(budget.allows(0, 1, SECOND, random));
        assertTrue(budget.allows(0, 1, SECOND, random), "the won request was not sent yet");
        assertFalse(budget.allows(1, 1, SECOND, random), "an unused win is not carried over");
        assertTrue(budget.allows(SECOND, 1, SECOND, random));
    }

    /** The limit of the specification is N + 2 sqrt(N) + 2 requests in a window. */
    @ParameterizedTest
    @EnumSource(ColdStartParameters.Scenario.class)
    void fleetOfAnySizeKeepsColdServersBelowTheirLimit(ColdStartParameters.Scenario scenario) {
        for (int nodes : new int[] {1, 5, 20, 30}) {
            for (long seed = 1; seed <= 4; seed++) {
                ColdStartResult shortWindow = ColdStartSimulation.run(scenario, nodes, 0.9, 1.5, SECOND, seed);
                ColdStartResult longWindow = ColdStartSimulation.run(scenario, nodes, 0.9, 3, 2 * SECOND, seed);
                for (ColdStartResult result : List.of(shortWindow, longWindow)) {
                    assertTrue(result.worstRatio() <= 1, nodes + " nodes, seed " + seed + ": " + result);
                    assertTrue(
                            result.incarnations() > 0 && result.coldServed() > 10 * result.incarnations(),
                            "too few requests served: " + result);
                    assertTrue(result.served() > 0.7 * result.requests(), "too few requests served: " + result);
                }
            }
        }
    }

    /**
     * Lists a warm server and server 2, updates server 2 and returns how many of 41 sequential requests it receives.
     */
    private static long attemptsAtSecondServer(Endpoint initial, Endpoint update) {
        ScriptedBalancer script = new ScriptedBalancer(
                ScriptedBalancer.settings(1, false, List.of(), ScriptedBalancer.idempotentClass("read", 1))
                        .withColdOverload(0.001, SECOND));
        script.advance(7200 * SECOND);
        script.sendList(EndpointListKind.CACHED, ScriptedBalancer.endpointUp(1, 1), initial);
        script.sendList(EndpointListKind.CHANGES, update);
        List<Long> servers = new ArrayList<>();
        for (int i = 0; i <= 40; i++) {
            script.submit(i, "read");
            servers.add(script.lastServerOf(i));
            script.advance(ScriptedBalancer.MILLISECOND_US)
                    .endAttempt(i, 0, AttemptOutcome.OK, ScriptedBalancer.MILLISECOND_US);
        }
        return servers.stream().filter(server -> server == 2).count();
    }

    /**
     * After the server's wall clock was set back, the start time of a restart is earlier than the previous one and long
     * ago by this node's clock.
     */
    @Test
    void restartAfterWallClockWasSetBackBeginsSlowStart() {
        long hourAgo = 4600 * SECOND;
        Endpoint before = ScriptedBalancer.endpoint(2, "here", hourAgo, EndpointState.UP);
        long warm = attemptsAtSecondServer(before, before);
        long restarted = attemptsAtSecondServer(
                before, ScriptedBalancer.endpoint(2, "here", hourAgo - SECOND, EndpointState.UP));
        long startNotListed = attemptsAtSecondServer(before, ScriptedBalancer.endpointUp(2, 1));
        assertTrue(warm > 10, "warm: " + warm);
        assertTrue(restarted <= 1, "restarted: " + restarted);
        assertEquals(warm, startNotListed, "a start time that is no longer listed is no restart");
    }

    @Test
    void requestBeyondColdBudgetGoesToBusyWarmServer() {
        ScriptedBalancer script = new ScriptedBalancer(
                ScriptedBalancer.settings(1, false, List.of(), ScriptedBalancer.idempotentClass("read", 1))
                        .withColdOverload(0.001, SECOND));
        script.sendList(
                EndpointListKind.CACHED,
                ScriptedBalancer.endpointUp(1, 1),
                ScriptedBalancer.endpoint(2, "here", script.now, EndpointState.UP));
        script.submit(0, "read");
        for (int i = 1; i <= 40; i++) {
            script.submit(i, "read");
            assertEquals(
                    1, script.lastServerOf(i), "sent to the warm server although request 0 is in flight there: " + i);
            script.advance(ScriptedBalancer.MILLISECOND_US)
                    .endAttempt(i, 0, AttemptOutcome.OK, ScriptedBalancer.MILLISECOND_US);
        }
    }

    /** How a request may be sent to a server. */
    private enum SendPath {
        /** By the round robin, or from the server's queue. */
        ROUND_ROBIN,
        /** Sent before it has arrived completely. */
        STREAMED,
        /** As the trial of an ejected server. */
        TRIAL
    }

    /**
     * Cancelled attempts free the server at once without a measured response time, so the initial estimate of 250 ms
     * remains in use.
     */
    @ParameterizedTest
    @EnumSource(SendPath.class)
    void everySendPathIsChargedToTheBudget(SendPath path) {
        ScriptedBalancer script = new ScriptedBalancer(
                ScriptedBalancer.settings(1, false, List.of(), ScriptedBalancer.idempotentClass("read", 1))
                        .withColdOverload(1, 4 * SECOND));
        script.sendList(EndpointListKind.CACHED, ScriptedBalancer.endpoint(1, "here", script.now, EndpointState.UP));
        int answered = 0;
        for (int i = 0; i < 399; i++) {
            if (path == SendPath.STREAMED) {
                script.balancer.onStreamedRequest(
                        script.now, new BalancerRequest(i, "read", null, -1, 3 * SECOND, -1, false));
            } else {
                script.submit(i, "read").submit(1000 + i, "read");
            }
            for (; answered < script.actionsOfType("startAttempt").size(); answered++) {
                long id = script.actionsOfType("startAttempt").get(answered).request();
                script.endAttempt(
                        id,
                        script.attempts.get(id) - 1,
                        path == SendPath.TRIAL && answered == 0
                                ? AttemptOutcome.CONNECT_FAILED
                                : AttemptOutcome.CANCELLED,
                        1);
            }
            if (path == SendPath.TRIAL) {
                // Guards against queued requests that reach the admission limit: only a new request can be a trial.
                script.balancer.onClientDisconnected(script.now, i);
                script.balancer.onClientDisconnected(script.now, 1000 + i);
            }
            script.advance(10 * ScriptedBalancer.MILLISECOND_US);
        }
        // 4 requests per second for 4 s, at a capacity ratio of 0.2 at the beginning and 0.4 at the end.
        assertTrue(answered >= 2 && answered <= 7, "attempts started within 4 s: " + answered);
    }
}
