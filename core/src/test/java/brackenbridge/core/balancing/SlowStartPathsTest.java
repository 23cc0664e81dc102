package brackenbridge.core.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The ways to a server that warms up, one at a time: what comes by each of them counts against the node's share. */
class SlowStartPathsTest {
    private static final long MS = Script.MS;
    private static final long SECOND = Script.SECOND;
    private static final long WINDOW = 4 * SECOND;
    /**
     * Before its first answer a node takes a response time of a quarter of a second: 4 requests a second in 4 s, at
     * 0.2 of the capacity in the beginning and 0.36 in the end.
     */
    private static final int MOST = 6;

    private static final long WARM = 1;
    private static final long COLD = 2;

    private static BalancerSettings settings(double multiple, long window) {
        return Script.settings(1, false, List.of(), Script.safe("read", 1)).withColdOverload(multiple, window);
    }

    /** A warm server and one that starts now. */
    private static Script beside(double multiple) {
        Script s = new Script(settings(multiple, WINDOW));
        return s.list(EndpointListKind.CACHED, Script.up(WARM, 1), Script.at(COLD, "here", s.now, EndpointState.UP));
    }

    private static long sentTo(Script s, long server) {
        return s.of("send").stream().filter(a -> a.endpoint() == server).count();
    }

    /** Ends all attempts that are out, at the cold server as the outcome says. */
    private static int answerFrom(Script s, int answered, AttemptOutcome warm, AttemptOutcome cold) {
        int next = answered;
        for (; next < s.of("send").size(); next++) {
            Script.Act sent = s.of("send").get(next);
            AttemptOutcome outcome = sent.endpoint() == WARM ? warm : cold;
            s.answer(sent.request(), s.attempts.get(sent.request()) - 1, outcome, 1);
        }
        return next;
    }

    /** What the warm server fails goes on to the cold one only within the share. */
    @Test
    void retries() {
        Script s = beside(1);
        int answered = 0;
        for (int i = 0; i < 320; i++) {
            s.ask(i, "read");
            answered = answerFrom(s, answered, AttemptOutcome.ERROR, AttemptOutcome.CANCELLED);
            s.balancer.onClientDisconnected(s.now, i);
            s.pass(10 * MS);
        }
        long sent = sentTo(s, COLD);
        assertTrue(sent >= 1 && sent <= MOST, "sent in 3.2 s: " + sent);
    }

    /** What waits at a busy warm server is taken over by the cold one only within the share. */
    @Test
    void takeOvers() {
        Script s = beside(1);
        for (int i = 0; i < 320; i++) {
            s.ask(i, "read");
            for (Script.Act a : List.copyOf(s.of("send"))) {
                if (a.endpoint() == COLD) {
                    s.answer(a.request(), 0, AttemptOutcome.CANCELLED, 1);
                }
            }
            s.pass(10 * MS);
        }
        long sent = sentTo(s, COLD);
        assertTrue(sent >= 1 && sent <= MOST, "sent in 3.2 s: " + sent);
    }

    /** Where settings allow two attempts at once, none the less one is out at a time. */
    @Test
    void hedgedRequestsAreNotMade() {
        Script s = beside(1000);
        for (int i = 0; i < 4; i++) {
            s.ask(i, "read");
        }
        s.pass(2 * SECOND);
        s.attempts.forEach((request, attempts) -> assertEquals(1, attempts, "attempts of request " + request));
    }

    @Test
    void noProbeIsSent() {
        Script s = beside(1);
        int answered = 0;
        for (int i = 0; i < 320; i++) {
            s.ask(i, "read");
            answered = answerFrom(
                    s, answered, AttemptOutcome.OK, i % 2 == 0 ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED);
            s.pass(10 * MS);
        }
        assertEquals(List.of(), s.of("probe"));
    }

    /** The server has restarted, and the word of it comes late: what it got meanwhile counts. */
    @Test
    void requestsBeforeTheStartIsToldCount() {
        Script s = new Script(settings(1, WINDOW));
        s.list(EndpointListKind.CACHED, Script.up(COLD, 1));
        int answered = 0;
        long start = s.now;
        for (int i = 0; i < 100; i++) {
            s.ask(i, "read");
            answered = answerFrom(s, answered, AttemptOutcome.OK, AttemptOutcome.CANCELLED);
            s.pass(10 * MS);
        }
        assertEquals(100, sentTo(s, COLD), "warm, as far as was told");
        s.list(EndpointListKind.CHANGES, Script.at(COLD, "here", start, EndpointState.UP));
        for (int i = 100; i < 390; i++) {
            s.ask(i, "read");
            answered = answerFrom(s, answered, AttemptOutcome.OK, AttemptOutcome.CANCELLED);
            s.balancer.onClientDisconnected(s.now, i);
            s.pass(10 * MS);
        }
        assertEquals(100, sentTo(s, COLD), "more in the window in which it got 100 already");
    }

    /** What its process before got doesn't count against a server that has just started. */
    @Test
    void requestsToTheProcessBeforeDoNotCount() {
        Script s = new Script(settings(1, WINDOW));
        s.list(EndpointListKind.CACHED, Script.up(COLD, 1));
        for (int i = 0; i < 50; i++) {
            s.ask(i, "read").answer(i, 0, AttemptOutcome.CANCELLED, 1).pass(10 * MS);
        }
        s.list(EndpointListKind.CHANGES, Script.at(COLD, "here", s.now, EndpointState.UP));
        s.ask(100, "read");
        assertEquals(51, sentTo(s, COLD));
    }

    /** A longer time is named: what the shorter one has forgotten counts as if the share had been used. */
    @Test
    void settingsWithALongerTimeGiveNoSecondShare() {
        Script s = new Script(settings(1, SECOND));
        s.list(EndpointListKind.CACHED, Script.at(COLD, "here", s.now, EndpointState.UP));
        int answered = 0;
        for (int i = 0; i < 390; i++) {
            if (i == 290) {
                s.balancer.onSettings(s.now, settings(1, WINDOW));
            }
            s.ask(i, "read");
            answered = answerFrom(s, answered, AttemptOutcome.OK, AttemptOutcome.CANCELLED);
            s.balancer.onClientDisconnected(s.now, i);
            s.pass(10 * MS);
        }
        long sent = sentTo(s, COLD);
        assertTrue(sent >= 1 && sent <= MOST, "sent in 3.9 s: " + sent);
    }

    /** As after settings that named no time, under which nothing was counted. */
    @Test
    void settingsThatFirstNameATimeGiveNoWholeShare() {
        Script s = new Script(settings(1, 0));
        s.list(EndpointListKind.CACHED, Script.at(COLD, "here", s.now, EndpointState.UP));
        int answered = 0;
        for (int i = 0; i < 100; i++) {
            s.ask(i, "read");
            answered = answerFrom(s, answered, AttemptOutcome.OK, AttemptOutcome.CANCELLED);
            s.pass(10 * MS);
        }
        s.balancer.onSettings(s.now, settings(10, WINDOW));
        long before = sentTo(s, COLD);
        for (int i = 100; i < 200; i++) {
            s.ask(i, "read");
            answered = answerFrom(s, answered, AttemptOutcome.OK, AttemptOutcome.CANCELLED);
            s.balancer.onClientDisconnected(s.now, i);
            s.pass(10 * MS);
        }
        // The whole share is 32 to 46; a second of it is unknown in the beginning and still in the window.
        long sent = sentTo(s, COLD) - before;
        assertTrue(sent >= 1 && sent <= 34, "sent in the next second: " + sent);
    }

    /** A new process knows nothing of what its predecessor sent to a server that was warming up already. */
    @Test
    void newProcessBesideAServerThatHasJustStartedBeginsWithTheRestOfTheWindow() {
        Script s = new Script(settings(10, WINDOW));
        s.list(EndpointListKind.CACHED, Script.at(COLD, "here", s.now - SECOND, EndpointState.UP));
        int answered = 0;
        for (int i = 0; i < 100; i++) {
            s.ask(i, "read");
            answered = answerFrom(s, answered, AttemptOutcome.OK, AttemptOutcome.CANCELLED);
            s.balancer.onClientDisconnected(s.now, i);
            s.pass(MS);
        }
        // Of 39 at the most in 4 s, the one second before the process counts as used.
        long sent = sentTo(s, COLD);
        assertTrue(sent >= 1 && sent <= 30, "sent in its first tenth of a second: " + sent);
    }

    @Test
    void requestThatWaitsForItsConnectionStaysCharged() {
        SlowStartBudget budget = new SlowStartBudget();
        SplittableRandom random = new SplittableRandom(1);
        assertTrue(budget.allows(0, 1, SECOND, random));
        double amount = budget.spend(0, SECOND);
        assertTrue(!budget.allows(3 * SECOND, 1, SECOND, random), "it may still arrive");
        budget.written(3 * SECOND, amount, SECOND);
        assertTrue(!budget.allows(4 * SECOND - 1, 1, SECOND, random), "a window from its arrival");
        assertTrue(budget.allows(4 * SECOND, 1, SECOND, random));
    }

    /** All first connections may come up together, a second after the first draw, when the next window begins. */
    @Test
    void lostDrawCountsAsLongAsTheFirstConnectionsMayTake() {
        int late = 0;
        int usual = 0;
        for (int seed = 0; seed < 1000; seed++) {
            SlowStartBudget budget = new SlowStartBudget();
            SplittableRandom random = new SplittableRandom(seed);
            for (long at = 0; at < 2 * SECOND; at += SECOND / 10) {
                if (budget.allows(at, 0.25, SECOND, random, SECOND)) {
                    budget.spend(at, SECOND);
                    late++;
                }
            }
            usual += budget.allows(3 * SECOND, 0.25, SECOND, random, SECOND) ? 1 : 0;
        }
        assertTrue(late > 200 && late < 300, "a quarter of 1000 draws: " + late);
        assertTrue(usual > 130 && usual < 250, "of those that have nothing on its way: " + usual);
    }

    /** Answers of servers that are gone tell nothing of what those that are left can do. */
    @Test
    void serversThatLeaveRaiseNoShare() {
        // With ten peers, so that its part of one request at a time is small beside what it gets answered.
        Script s = new Script(
                Script.settings(10, false, List.of(), Script.safe("read", 1)).withColdOverload(0.5, SECOND));
        for (int i = 1; i <= 10; i++) {
            s.list(EndpointListKind.CHANGES, Script.up(10 + i, 1));
        }
        s.list(EndpointListKind.CHANGES, Script.at(COLD, "here", s.now, EndpointState.UP));
        for (int i = 0; i < 300; i++) {
            s.ask(i, "read").answer(i, 0, AttemptOutcome.OK, 10 * MS).pass(10 * MS);
        }
        for (int i = 1; i <= 9; i++) {
            s.list(EndpointListKind.CHANGES, Script.at(10 + i, "here", 0, EndpointState.REMOVED));
        }
        long before = sentTo(s, COLD);
        int answered = s.of("send").size();
        for (int i = 300; i < 380; i++) {
            s.ask(i, "read");
            answered = answerFrom(s, answered, AttemptOutcome.CANCELLED, AttemptOutcome.CANCELLED);
            s.pass(10 * MS);
        }
        // Half of 10 answers a second for each unit of capacity, at 0.33 of it: 1.7 in a window, and some of the next.
        long sent = sentTo(s, COLD) - before;
        assertTrue(sent <= 4, "sent in 0.8 s: " + sent);
    }

    /** The node tells when a request is written; until then it counts, though it was chosen a window ago. */
    @Test
    void nodeTellsWhenARequestIsWritten() {
        List<Long> sent = new ArrayList<>();
        Balancer balancer = new Balancer(
                Script.settings(6, false, List.of(), Script.safe("read", 1)).withColdOverload(6, SECOND),
                new ToldActions(sent));
        long start = 1000 * SECOND;
        balancer.onEndpointList(
                start, EndpointListKind.CACHED, List.of(Script.at(COLD, "here", start, EndpointState.UP)));
        for (int i = 0; i < 200; i++) {
            balancer.onStreamedRequest(
                    start + i * 20 * MS, new BalancerRequest(i, "read", null, -1, 60 * SECOND, -1, false));
        }
        assertTrue(sent.size() <= 3, "none was written, and the share is under 3: " + sent.size());
        sent.forEach(id -> balancer.onAttemptWritten(start + 4 * SECOND, id, 0));
        int before = sent.size();
        for (int i = 200; i < 300; i++) {
            balancer.onStreamedRequest(
                    start + i * 20 * MS, new BalancerRequest(i, "read", null, -1, 60 * SECOND, -1, false));
        }
        assertTrue(sent.size() > before, "a window later their charge is over");
    }

    /** Notes what is sent, of a node that tells when requests are written. */
    private record ToldActions(List<Long> sent) implements BalancerActions {
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
