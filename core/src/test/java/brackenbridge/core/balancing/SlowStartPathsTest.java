package brackenbridge.core.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The ways to a server that warms up, one at a time: what comes by each of them counts against the node's share. */
class SlowStartPathsTest {
    private static final long MILLISECOND_US = ScriptedBalancer.MILLISECOND_US;
    private static final long SECOND_US = ScriptedBalancer.SECOND_US;
    private static final long WINDOW_US = 4 * SECOND_US;
    /**
     * Before its first answer a node takes a response time of a quarter of a second: 4 requests a second in 4 s, at
     * 0.2 of the capacity in the beginning and 0.36 in the end.
     */
    private static final int MAX_REQUESTS_IN_WINDOW = 6;

    private static final long WARM_SERVER = 1;
    private static final long COLD_SERVER = 2;

    private static BalancerSettings settings(double multiple, long window) {
        return ScriptedBalancer.settings(1, false, List.of(), ScriptedBalancer.idempotentClass("read", 1))
                .withColdOverload(multiple, window);
    }

    /** A warm server and one that starts now. */
    private static ScriptedBalancer warmAndColdServer(double multiple) {
        ScriptedBalancer script = new ScriptedBalancer(settings(multiple, WINDOW_US));
        return script.sendList(
                EndpointListKind.CACHED,
                ScriptedBalancer.endpointUp(WARM_SERVER, 1),
                ScriptedBalancer.endpoint(COLD_SERVER, "here", script.now, EndpointState.UP));
    }

    private static long sentTo(ScriptedBalancer script, long server) {
        return script.actionsOfType("startAttempt").stream()
                .filter(action -> action.endpoint() == server)
                .count();
    }

    /** Ends all attempts that are out, at the cold server as the outcome says. */
    private static int endAttemptsFrom(
            ScriptedBalancer script, int answered, AttemptOutcome warm, AttemptOutcome cold) {
        int next = answered;
        for (; next < script.actionsOfType("startAttempt").size(); next++) {
            ScriptedBalancer.Action sent = script.actionsOfType("startAttempt").get(next);
            AttemptOutcome outcome = sent.endpoint() == WARM_SERVER ? warm : cold;
            script.endAttempt(sent.request(), script.attempts.get(sent.request()) - 1, outcome, 1);
        }
        return next;
    }

    /** What the warm server fails goes on to the cold one only within the share. */
    @Test
    void retriesAreCharged() {
        ScriptedBalancer script = warmAndColdServer(1);
        int answered = 0;
        for (int i = 0; i < 320; i++) {
            script.submit(i, "read");
            answered = endAttemptsFrom(script, answered, AttemptOutcome.ERROR, AttemptOutcome.CANCELLED);
            script.balancer.onClientDisconnected(script.now, i);
            script.advance(10 * MILLISECOND_US);
        }
        long sent = sentTo(script, COLD_SERVER);
        assertTrue(sent >= 1 && sent <= MAX_REQUESTS_IN_WINDOW, "sent in 3.2 s: " + sent);
    }

    /** A list that leaves the cold server out, and one that names it again, give it no second share. */
    @Test
    void removalAndReturnGiveNoSecondShare() {
        ScriptedBalancer script = warmAndColdServer(1);
        Endpoint cold = ScriptedBalancer.endpoint(COLD_SERVER, "here", script.now, EndpointState.UP);
        int answered = 0;
        for (int i = 0; i < 320; i++) {
            script.submit(i, "read");
            answered = endAttemptsFrom(script, answered, AttemptOutcome.ERROR, AttemptOutcome.CANCELLED);
            script.balancer.onClientDisconnected(script.now, i);
            script.advance(10 * MILLISECOND_US);
            if (i % 80 == 79) {
                script.sendList(EndpointListKind.FULL, ScriptedBalancer.endpointUp(WARM_SERVER, 1));
                script.advance(10 * MILLISECOND_US);
                script.sendList(EndpointListKind.FULL, ScriptedBalancer.endpointUp(WARM_SERVER, 1), cold);
            }
        }
        long sent = sentTo(script, COLD_SERVER);
        assertTrue(sent >= 1 && sent <= MAX_REQUESTS_IN_WINDOW, "sent in 3.3 s: " + sent);
    }

    /** What waits at a busy warm server is taken over by the cold one only within the share. */
    @Test
    void takeOversAreCharged() {
        ScriptedBalancer script = warmAndColdServer(1);
        for (int i = 0; i < 320; i++) {
            script.submit(i, "read");
            for (ScriptedBalancer.Action action : List.copyOf(script.actionsOfType("startAttempt"))) {
                if (action.endpoint() == COLD_SERVER) {
                    script.endAttempt(action.request(), 0, AttemptOutcome.CANCELLED, 1);
                }
            }
            script.advance(10 * MILLISECOND_US);
        }
        long sent = sentTo(script, COLD_SERVER);
        assertTrue(sent >= 1 && sent <= MAX_REQUESTS_IN_WINDOW, "sent in 3.2 s: " + sent);
    }

    /** Where settings allow two attempts at once, none the less one is out at a time. */
    @Test
    void noHedgedRequestIsSent() {
        ScriptedBalancer script = warmAndColdServer(1000);
        for (int i = 0; i < 4; i++) {
            script.submit(i, "read");
        }
        script.advance(2 * SECOND_US);
        script.attempts.forEach((request, attempts) -> assertEquals(1, attempts, "attempts of request " + request));
    }

    @Test
    void noHealthCheckIsSent() {
        ScriptedBalancer script = warmAndColdServer(1);
        int answered = 0;
        for (int i = 0; i < 320; i++) {
            script.submit(i, "read");
            answered = endAttemptsFrom(
                    script,
                    answered,
                    AttemptOutcome.OK,
                    i % 2 == 0 ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED);
            script.advance(10 * MILLISECOND_US);
        }
        assertEquals(List.of(), script.actionsOfType("healthCheck"));
    }

    /** The server has restarted, and the word of it comes late: what it got meanwhile counts. */
    @Test
    void requestsSentBeforeTheRestartIsReportedCount() {
        ScriptedBalancer script = new ScriptedBalancer(settings(1, WINDOW_US));
        script.sendList(EndpointListKind.CACHED, ScriptedBalancer.endpointUp(COLD_SERVER, 1));
        int answered = 0;
        long start = script.now;
        for (int i = 0; i < 100; i++) {
            script.submit(i, "read");
            answered = endAttemptsFrom(script, answered, AttemptOutcome.OK, AttemptOutcome.CANCELLED);
            script.advance(10 * MILLISECOND_US);
        }
        assertEquals(100, sentTo(script, COLD_SERVER), "warm, as far as was told");
        script.sendList(
                EndpointListKind.CHANGES, ScriptedBalancer.endpoint(COLD_SERVER, "here", start, EndpointState.UP));
        for (int i = 100; i < 390; i++) {
            script.submit(i, "read");
            answered = endAttemptsFrom(script, answered, AttemptOutcome.OK, AttemptOutcome.CANCELLED);
            script.balancer.onClientDisconnected(script.now, i);
            script.advance(10 * MILLISECOND_US);
        }
        assertEquals(100, sentTo(script, COLD_SERVER), "more in the window in which it got 100 already");
    }

    /** What its process before got doesn't count against a server that has just started. */
    @Test
    void requestsToThePreviousProcessDoNotCount() {
        ScriptedBalancer script = new ScriptedBalancer(settings(1, WINDOW_US));
        script.sendList(EndpointListKind.CACHED, ScriptedBalancer.endpointUp(COLD_SERVER, 1));
        for (int i = 0; i < 50; i++) {
            script.submit(i, "read")
                    .endAttempt(i, 0, AttemptOutcome.CANCELLED, 1)
                    .advance(10 * MILLISECOND_US);
        }
        script.sendList(
                EndpointListKind.CHANGES, ScriptedBalancer.endpoint(COLD_SERVER, "here", script.now, EndpointState.UP));
        script.submit(100, "read");
        assertEquals(51, sentTo(script, COLD_SERVER));
    }

    /** A longer time is named: what the shorter one has forgotten counts as if the share had been used. */
    @Test
    void longerOverloadWindowGivesNoSecondShare() {
        ScriptedBalancer script = new ScriptedBalancer(settings(1, SECOND_US));
        script.sendList(
                EndpointListKind.CACHED, ScriptedBalancer.endpoint(COLD_SERVER, "here", script.now, EndpointState.UP));
        int answered = 0;
        for (int i = 0; i < 390; i++) {
            if (i == 290) {
                script.balancer.onSettings(script.now, settings(1, WINDOW_US));
            }
            script.submit(i, "read");
            answered = endAttemptsFrom(script, answered, AttemptOutcome.OK, AttemptOutcome.CANCELLED);
            script.balancer.onClientDisconnected(script.now, i);
            script.advance(10 * MILLISECOND_US);
        }
        long sent = sentTo(script, COLD_SERVER);
        assertTrue(sent >= 1 && sent <= MAX_REQUESTS_IN_WINDOW, "sent in 3.9 s: " + sent);
    }

    /** As after settings that named no time, under which nothing was counted. */
    @Test
    void firstOverloadWindowGivesNoFullShare() {
        ScriptedBalancer script = new ScriptedBalancer(settings(1, 0));
        script.sendList(
                EndpointListKind.CACHED, ScriptedBalancer.endpoint(COLD_SERVER, "here", script.now, EndpointState.UP));
        int answered = 0;
        for (int i = 0; i < 100; i++) {
            script.submit(i, "read");
            answered = endAttemptsFrom(script, answered, AttemptOutcome.OK, AttemptOutcome.CANCELLED);
            script.advance(10 * MILLISECOND_US);
        }
        script.balancer.onSettings(script.now, settings(10, WINDOW_US));
        long before = sentTo(script, COLD_SERVER);
        for (int i = 100; i < 200; i++) {
            script.submit(i, "read");
            answered = endAttemptsFrom(script, answered, AttemptOutcome.OK, AttemptOutcome.CANCELLED);
            script.balancer.onClientDisconnected(script.now, i);
            script.advance(10 * MILLISECOND_US);
        }
        // The whole share is 32 to 46; a second of it is unknown in the beginning and still in the window.
        long sent = sentTo(script, COLD_SERVER) - before;
        assertTrue(sent >= 1 && sent <= 34, "sent in the next second: " + sent);
    }

    /** A new process knows nothing of what its predecessor sent to a server that was warming up already. */
    @Test
    void newProcessCountsTheTimeBeforeItsStartAsUsed() {
        ScriptedBalancer script = new ScriptedBalancer(settings(10, WINDOW_US));
        script.sendList(
                EndpointListKind.CACHED,
                ScriptedBalancer.endpoint(COLD_SERVER, "here", script.now - SECOND_US, EndpointState.UP));
        int answered = 0;
        for (int i = 0; i < 100; i++) {
            script.submit(i, "read");
            answered = endAttemptsFrom(script, answered, AttemptOutcome.OK, AttemptOutcome.CANCELLED);
            script.balancer.onClientDisconnected(script.now, i);
            script.advance(MILLISECOND_US);
        }
        // Of 39 at the most in 4 s, the one second before the process counts as used.
        long sent = sentTo(script, COLD_SERVER);
        assertTrue(sent >= 1 && sent <= 30, "sent in its first tenth of a second: " + sent);
    }

    @Test
    void requestThatWaitsForItsConnectionStaysCharged() {
        SlowStartBudget budget = new SlowStartBudget();
        SplittableRandom random = new SplittableRandom(1);
        assertTrue(budget.allows(0, 1, SECOND_US, random));
        double amount = budget.chargeRequest(0, SECOND_US);
        assertTrue(!budget.allows(3 * SECOND_US, 1, SECOND_US, random), "it may still arrive");
        budget.recordWritten(3 * SECOND_US, amount, SECOND_US);
        assertTrue(!budget.allows(4 * SECOND_US - 1, 1, SECOND_US, random), "a window from its arrival");
        assertTrue(budget.allows(4 * SECOND_US, 1, SECOND_US, random));
    }

    /** All first connections may come up together, a second after the first draw, when the next window begins. */
    @Test
    void lostDrawCountsUntilFirstConnectionsAreOpen() {
        int late = 0;
        int usual = 0;
        for (int seed = 0; seed < 1000; seed++) {
            SlowStartBudget budget = new SlowStartBudget();
            SplittableRandom random = new SplittableRandom(seed);
            for (long at = 0; at < 2 * SECOND_US; at += SECOND_US / 10) {
                if (budget.allows(at, 0.25, SECOND_US, random, SECOND_US)) {
                    budget.chargeRequest(at, SECOND_US);
                    late++;
                }
            }
            usual += budget.allows(3 * SECOND_US, 0.25, SECOND_US, random, SECOND_US) ? 1 : 0;
        }
        assertTrue(late > 200 && late < 300, "a quarter of 1000 draws: " + late);
        assertTrue(usual > 130 && usual < 250, "of those that have nothing on its way: " + usual);
    }

    /** Answers of servers that are gone tell nothing of what those that are left can do. */
    @Test
    void removedServersDoNotRaiseTheShare() {
        // With ten peers, so that its part of one request at a time is small beside what it gets answered.
        ScriptedBalancer script = new ScriptedBalancer(
                ScriptedBalancer.settings(10, false, List.of(), ScriptedBalancer.idempotentClass("read", 1))
                        .withColdOverload(0.5, SECOND_US));
        for (int i = 1; i <= 10; i++) {
            script.sendList(EndpointListKind.CHANGES, ScriptedBalancer.endpointUp(10 + i, 1));
        }
        script.sendList(
                EndpointListKind.CHANGES, ScriptedBalancer.endpoint(COLD_SERVER, "here", script.now, EndpointState.UP));
        for (int i = 0; i < 300; i++) {
            script.submit(i, "read")
                    .endAttempt(i, 0, AttemptOutcome.OK, 10 * MILLISECOND_US)
                    .advance(10 * MILLISECOND_US);
        }
        for (int i = 1; i <= 9; i++) {
            script.sendList(
                    EndpointListKind.CHANGES, ScriptedBalancer.endpoint(10 + i, "here", 0, EndpointState.REMOVED));
        }
        long before = sentTo(script, COLD_SERVER);
        int answered = script.actionsOfType("startAttempt").size();
        for (int i = 300; i < 380; i++) {
            script.submit(i, "read");
            answered = endAttemptsFrom(script, answered, AttemptOutcome.CANCELLED, AttemptOutcome.CANCELLED);
            script.advance(10 * MILLISECOND_US);
        }
        // Half of 10 answers a second for each unit of capacity, at 0.33 of it: 1.7 in a window, and some of the next.
        long sent = sentTo(script, COLD_SERVER) - before;
        assertTrue(sent <= 4, "sent in 0.8 s: " + sent);
    }

    /** The node tells when a request is written; until then it counts, though it was chosen a window ago. */
    @Test
    void requestIsChargedUntilItIsReportedWritten() {
        List<Long> sent = new ArrayList<>();
        Balancer balancer = new Balancer(
                ScriptedBalancer.settings(6, false, List.of(), ScriptedBalancer.idempotentClass("read", 1))
                        .withColdOverload(6, SECOND_US),
                new WriteReportingActions(sent));
        long start = 1000 * SECOND_US;
        balancer.onEndpointList(
                start,
                EndpointListKind.CACHED,
                List.of(ScriptedBalancer.endpoint(COLD_SERVER, "here", start, EndpointState.UP)));
        for (int i = 0; i < 200; i++) {
            balancer.onStreamedRequest(
                    start + i * 20 * MILLISECOND_US,
                    new BalancerRequest(i, "read", null, -1, 60 * SECOND_US, -1, false));
        }
        assertTrue(sent.size() <= 3, "none was written, and the share is under 3: " + sent.size());
        sent.forEach(id -> balancer.onAttemptWritten(start + 4 * SECOND_US, id, 0));
        int before = sent.size();
        for (int i = 200; i < 300; i++) {
            balancer.onStreamedRequest(
                    start + i * 20 * MILLISECOND_US,
                    new BalancerRequest(i, "read", null, -1, 60 * SECOND_US, -1, false));
        }
        assertTrue(sent.size() > before, "a window later their charge is over");
    }

    /** Notes what is sent, of a node that tells when requests are written. */
    private record WriteReportingActions(List<Long> sent) implements BalancerActions {
        @Override
        public void startAttempt(long request, long endpoint, long timeout) {
            sent.add(request);
        }

        @Override
        public boolean reportsWritten() {
            return true;
        }

        @Override
        public void reject(long request, long retryAfter) {}

        @Override
        public void fail(long request) {}

        @Override
        public void setTimer(long at, String token) {}

        @Override
        public void startHealthCheck(long endpoint) {}
    }
}
