package brackenbridge.core.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards each path by which a request can reach a server that is warming up: all of them count against the node's
 * share.
 */
class SlowStartPathsTest {
    private static final long MILLISECOND_US = ScriptedBalancer.MILLISECOND_US;
    private static final long SECOND_US = ScriptedBalancer.SECOND_US;
    private static final long WINDOW_US = 4 * SECOND_US;
    /**
     * Before its first response a node assumes a response time of 250 ms: 4 requests per second for 4 s, at a capacity
     * ratio of 0.2 at the beginning and 0.36 at the end.
     */
    private static final int MAX_REQUESTS_IN_WINDOW = 6;

    private static final long WARM_SERVER = 1;
    private static final long COLD_SERVER = 2;

    private static BalancerSettings settings(double multiple, long window) {
        return ScriptedBalancer.settings(1, false, List.of(), ScriptedBalancer.idempotentClass("read", 1))
                .withColdOverload(multiple, window);
    }

    /** Lists a warm server and one that has just started. */
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

    /** Ends the attempts from this index on with the outcome of their server; returns the index after the last one. */
    private static int endAttemptsFrom(ScriptedBalancer script, int ended, AttemptOutcome warm, AttemptOutcome cold) {
        int next = ended;
        for (; next < script.actionsOfType("startAttempt").size(); next++) {
            ScriptedBalancer.Action sent = script.actionsOfType("startAttempt").get(next);
            AttemptOutcome outcome = sent.endpoint() == WARM_SERVER ? warm : cold;
            script.endAttempt(sent.request(), script.attempts.get(sent.request()) - 1, outcome, 1);
        }
        return next;
    }

    /** Requests that fail at the warm server are retried at the cold one only within the share. */
    @Test
    void retriesAreCharged() {
        ScriptedBalancer script = warmAndColdServer(1);
        int ended = 0;
        for (int i = 0; i < 320; i++) {
            script.submit(i, "read");
            ended = endAttemptsFrom(script, ended, AttemptOutcome.ERROR, AttemptOutcome.CANCELLED);
            script.balancer.onClientDisconnected(script.now, i);
            script.advance(10 * MILLISECOND_US);
        }
        long sent = sentTo(script, COLD_SERVER);
        assertTrue(sent >= 1 && sent <= MAX_REQUESTS_IN_WINDOW, "sent in 3.2 s: " + sent);
    }

    /** Removing the cold server and listing it again gives it no second share. */
    @Test
    void removalAndReturnGiveNoSecondShare() {
        ScriptedBalancer script = warmAndColdServer(1);
        Endpoint cold = ScriptedBalancer.endpoint(COLD_SERVER, "here", script.now, EndpointState.UP);
        int ended = 0;
        for (int i = 0; i < 320; i++) {
            script.submit(i, "read");
            ended = endAttemptsFrom(script, ended, AttemptOutcome.ERROR, AttemptOutcome.CANCELLED);
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

    /** The cold server takes over requests queued at the busy warm one only within the share. */
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

    /** Even if the settings allow hedged requests, only one attempt is in flight at a time. */
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
        int ended = 0;
        for (int i = 0; i < 320; i++) {
            script.submit(i, "read");
            ended = endAttemptsFrom(
                    script,
                    ended,
                    AttemptOutcome.OK,
                    i % 2 == 0 ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED);
            script.advance(10 * MILLISECOND_US);
        }
        assertEquals(List.of(), script.actionsOfType("healthCheck"));
    }

    /** If a restart is reported late, the requests sent in the meantime count. */
    @Test
    void requestsSentBeforeTheRestartIsReportedCount() {
        ScriptedBalancer script = new ScriptedBalancer(settings(1, WINDOW_US));
        script.sendList(EndpointListKind.CACHED, ScriptedBalancer.endpointUp(COLD_SERVER, 1));
        int ended = 0;
        long start = script.now;
        for (int i = 0; i < 100; i++) {
            script.submit(i, "read");
            ended = endAttemptsFrom(script, ended, AttemptOutcome.OK, AttemptOutcome.CANCELLED);
            script.advance(10 * MILLISECOND_US);
        }
        assertEquals(100, sentTo(script, COLD_SERVER), "treated as warm until the restart is reported");
        script.sendList(
                EndpointListKind.CHANGES, ScriptedBalancer.endpoint(COLD_SERVER, "here", start, EndpointState.UP));
        for (int i = 100; i < 390; i++) {
            script.submit(i, "read");
            ended = endAttemptsFrom(script, ended, AttemptOutcome.OK, AttemptOutcome.CANCELLED);
            script.balancer.onClientDisconnected(script.now, i);
            script.advance(10 * MILLISECOND_US);
        }
        assertEquals(100, sentTo(script, COLD_SERVER), "no more requests in the window that already has 100");
    }

    /** Requests sent to the previous process of a server don't count after its restart. */
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

    /**
     * When a longer overload window is set, the time before the end of the shorter one counts as if the share had been
     * used.
     */
    @Test
    void longerOverloadWindowGivesNoSecondShare() {
        ScriptedBalancer script = new ScriptedBalancer(settings(1, SECOND_US));
        script.sendList(
                EndpointListKind.CACHED, ScriptedBalancer.endpoint(COLD_SERVER, "here", script.now, EndpointState.UP));
        int ended = 0;
        for (int i = 0; i < 390; i++) {
            if (i == 290) {
                script.balancer.onSettings(script.now, settings(1, WINDOW_US));
            }
            script.submit(i, "read");
            ended = endAttemptsFrom(script, ended, AttemptOutcome.OK, AttemptOutcome.CANCELLED);
            script.balancer.onClientDisconnected(script.now, i);
            script.advance(10 * MILLISECOND_US);
        }
        long sent = sentTo(script, COLD_SERVER);
        assertTrue(sent >= 1 && sent <= MAX_REQUESTS_IN_WINDOW, "sent in 3.9 s: " + sent);
    }

    /** The same after settings without an overload window, under which nothing was counted. */
    @Test
    void firstOverloadWindowGivesNoFullShare() {
        ScriptedBalancer script = new ScriptedBalancer(settings(1, 0));
        script.sendList(
                EndpointListKind.CACHED, ScriptedBalancer.endpoint(COLD_SERVER, "here", script.now, EndpointState.UP));
        int ended = 0;
        for (int i = 0; i < 100; i++) {
            script.submit(i, "read");
            ended = endAttemptsFrom(script, ended, AttemptOutcome.OK, AttemptOutcome.CANCELLED);
            script.advance(10 * MILLISECOND_US);
        }
        script.balancer.onSettings(script.now, settings(10, WINDOW_US));
        long before = sentTo(script, COLD_SERVER);
        for (int i = 100; i < 200; i++) {
            script.submit(i, "read");
            ended = endAttemptsFrom(script, ended, AttemptOutcome.OK, AttemptOutcome.CANCELLED);
            script.balancer.onClientDisconnected(script.now, i);
            script.advance(10 * MILLISECOND_US);
        }
        // The full share is 32 to 46; the first second is unknown and still within the window.
        long sent = sentTo(script, COLD_SERVER) - before;
        assertTrue(sent >= 1 && sent <= 34, "sent in the next second: " + sent);
    }

    /** A new process doesn't know what its predecessor sent to a server that was already warming up. */
    @Test
    void newProcessCountsTheTimeBeforeItsStartAsUsed() {
        ScriptedBalancer script = new ScriptedBalancer(settings(10, WINDOW_US));
        script.sendList(
                EndpointListKind.CACHED,
                ScriptedBalancer.endpoint(COLD_SERVER, "here", script.now - SECOND_US, EndpointState.UP));
        int ended = 0;
        for (int i = 0; i < 100; i++) {
            script.submit(i, "read");
            ended = endAttemptsFrom(script, ended, AttemptOutcome.OK, AttemptOutcome.CANCELLED);
            script.balancer.onClientDisconnected(script.now, i);
            script.advance(MILLISECOND_US);
        }
        // At most 39 are allowed in 4 s, and the second before the start of the process counts as used.
        long sent = sentTo(script, COLD_SERVER);
        assertTrue(sent >= 1 && sent <= 30, "sent in its first tenth of a second: " + sent);
    }

    @Test
    void requestThatWaitsForItsConnectionStaysCharged() {
        SlowStartBudget budget = new SlowStartBudget();
        SplittableRandom random = new SplittableRandom(1);
        assertTrue(budget.allows(0, 1, SECOND_US, random));
        double amount = budget.chargeRequest(0, SECOND_US);
        assertTrue(!budget.allows(3 * SECOND_US, 1, SECOND_US, random), "it has not been written yet");
        budget.recordWritten(3 * SECOND_US, amount, SECOND_US);
        assertTrue(!budget.allows(4 * SECOND_US - 1, 1, SECOND_US, random), "less than a window after it was written");
        assertTrue(budget.allows(4 * SECOND_US, 1, SECOND_US, random));
    }

    /** All first connections may be opened at once, a second after the first draw, when the next window begins. */
    @Test
    void lostDrawCountsUntilFirstConnectionsAreOpen() {
        int wonEarly = 0;
        int wonLater = 0;
        for (int seed = 0; seed < 1000; seed++) {
            SlowStartBudget budget = new SlowStartBudget();
            SplittableRandom random = new SplittableRandom(seed);
            for (long at = 0; at < 2 * SECOND_US; at += SECOND_US / 10) {
                if (budget.allows(at, 0.25, SECOND_US, random, SECOND_US)) {
                    budget.chargeRequest(at, SECOND_US);
                    wonEarly++;
                }
            }
            wonLater += budget.allows(3 * SECOND_US, 0.25, SECOND_US, random, SECOND_US) ? 1 : 0;
        }
        assertTrue(wonEarly > 200 && wonEarly < 300, "won before connections are open, of 1000: " + wonEarly);
        assertTrue(wonLater > 130 && wonLater < 250, "won a window later, of 1000: " + wonLater);
    }

    /** Responses of removed servers say nothing about the capacity of the remaining ones. */
    @Test
    void removedServersDoNotRaiseTheShare() {
        // With ten instances, so that the share of one request at a time is small compared to the rate of responses.
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
        int ended = script.actionsOfType("startAttempt").size();
        for (int i = 300; i < 380; i++) {
            script.submit(i, "read");
            ended = endAttemptsFrom(script, ended, AttemptOutcome.CANCELLED, AttemptOutcome.CANCELLED);
            script.advance(10 * MILLISECOND_US);
        }
        // Half of 10 responses per second per unit of capacity, at a capacity ratio of 0.33: 1.7 per window, and some
        // of the next.
        long sent = sentTo(script, COLD_SERVER) - before;
        assertTrue(sent <= 4, "sent in 0.8 s: " + sent);
    }

    /** A request counts until the node reports it as written, even if it was sent more than a window ago. */
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
        assertTrue(sent.size() <= 3, "sent although none was written, with a share below 3: " + sent.size());
        sent.forEach(id -> balancer.onAttemptWritten(start + 4 * SECOND_US, id, 0));
        int before = sent.size();
        for (int i = 200; i < 300; i++) {
            balancer.onStreamedRequest(
                    start + i * 20 * MILLISECOND_US,
                    new BalancerRequest(i, "read", null, -1, 60 * SECOND_US, -1, false));
        }
        assertTrue(sent.size() > before, "the charges expire a window after the requests were written");
    }

    /** Records the attempts of a node that reports when requests are written. */
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
