package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.Effect.LocalReply;
import brackenbridge.core.Event.ResponseKind;
import brackenbridge.core.balancing.AttemptOutcome;
import brackenbridge.core.balancing.BalancerActions;
import brackenbridge.core.balancing.BalancerApi;
import brackenbridge.core.balancing.BalancerRequest;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.DeduplicationScope;
import brackenbridge.core.balancing.Endpoint;
import brackenbridge.core.balancing.EndpointListKind;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.core.balancing.Idempotence;
import brackenbridge.core.balancing.LoadReport;
import brackenbridge.core.balancing.RequestClass;
import brackenbridge.counters.Counters;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** The node's own promises hold whatever its decisions are: each test's module does what no module should. */
class RecklessBalancerTest {
    private static final double NOW = 1_796_000_000_000.0;
    private static final double DRAIN_GRACE_MS = 500;
    /** A node may be held up so long before it reads, and between reading its clock and writing. */
    private static final double HOLD_UP_MS = 150;

    /** Does this with each request, and records each outcome that it receives. */
    private static final class RecklessBalancer implements BalancerApi {
        final BalancerActions out;
        final BiConsumer<BalancerActions, Long> with;
        final List<AttemptOutcome> outcomes = new ArrayList<>();
        Runnable next;
        /** From now on it throws at each event of the progress of a request. */
        boolean faults;

        RecklessBalancer(BalancerActions out, BiConsumer<BalancerActions, Long> with) {
            this.out = out;
            this.with = with;
        }

        @Override
        public void onEndpointList(long now, EndpointListKind kind, List<Endpoint> entries) {}

        @Override
        public void onRequest(long now, BalancerRequest request) {
            with.accept(out, request.id());
        }

        @Override
        public void onResponseStarted(long now, long request, int attempt) {}

        @Override
        public void onAttemptEnded(
                long now,
                long request,
                int attempt,
                boolean ended,
                AttemptOutcome outcome,
                long latency,
                LoadReport report) {
            outcomes.add(outcome);
            faultIfWanted();
        }

        @Override
        public void onClientDisconnected(long now, long request) {
            faultIfWanted();
        }

        @Override
        public void onRequestCompleted(long now, long request) {
            faultIfWanted();
        }

        @Override
        public long suggestedRetryAfter() {
            faultIfWanted();
            return 0;
        }

        private void faultIfWanted() {
            if (faults) {
                throw new IllegalStateException("a fault in a decision");
            }
        }

        @Override
        public void onTimer(long now, String token) {
            next.run();
        }
    }

    private RecklessBalancer balancer;
    private Reducer reducer;
    private final List<Effect> effects = new ArrayList<>();

    private void start(BiConsumer<BalancerActions, Long> with) {
        start(ReducerHarness.settings(1, 3, ReducerHarness.VIEW, ReducerHarness.FILE), with);
    }

    private void start(BalancerSettings rules, BiConsumer<BalancerActions, Long> with) {
        reducer = new Reducer(
                rules, new Counters(), (settings, actions) -> balancer = new RecklessBalancer(actions, with));
        send(
                NOW,
                new Event.Started(new EndpointList(
                        1,
                        true,
                        List.of(
                                ReducerHarness.endpoint("s-0", EndpointState.UP),
                                ReducerHarness.endpoint("s-1", EndpointState.UP)))));
        send(NOW, new Event.RequestReceived(7, new ClientRequest("file", null, 1000, false, true, "message")));
    }

    private void send(double now, Event event) {
        effects.addAll(reducer.reduce(now, event));
    }

    /** The module does this at its next timer. */
    private void onNextTimer(double now, Consumer<BalancerActions> what) {
        balancer.next = () -> what.accept(balancer.out);
        send(now, new Event.TimerFired(new TimerKey.BalancerTimer("next")));
    }

    private <E extends Effect> List<E> effects(Class<E> kind) {
        return effects.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    private static long id(String host) {
        return HostIds.hashOf(host);
    }

    @Test
    void secondAttemptDuringAnotherNeverStarts() {
        start((out, requestId) -> {
            out.startAttempt(requestId, id("s-0"), 900_000);
            out.startAttempt(requestId, id("s-1"), 900_000);
        });
        assertEquals(1, effects(Effect.StartAttempt.class).size());
        assertEquals(List.of(AttemptOutcome.NEVER_STARTED), balancer.outcomes);
    }

    @Test
    void attemptForADisconnectedOrUnknownClientNeverStarts() {
        for (Event end : List.of(new Event.ClientDisconnected(7), new Event.ClientPresenceUnknown(7))) {
            start((out, requestId) -> {});
            send(NOW + 1, end);
            onNextTimer(NOW + 2, out -> out.startAttempt(7, id("s-0"), 900_000));
        }
        assertEquals(List.of(), effects(Effect.StartAttempt.class), "first");
        start((out, requestId) -> out.startAttempt(requestId, id("s-0"), 900_000));
        send(NOW + 1, new Event.AttemptWritten(7, 0));
        send(NOW + 2, new Event.ClientDisconnected(7));
        onNextTimer(NOW + 3, out -> out.startAttempt(7, id("s-1"), 900_000));
        assertEquals(1, effects(Effect.StartAttempt.class).size(), "or further");
    }

    @Test
    void requestIsAnsweredOnlyOnce() {
        start((out, requestId) -> {
            out.reject(requestId, 1000);
            out.reject(requestId, 1000);
            out.fail(requestId);
        });
        assertEquals(
                List.of(LocalReply.REJECTED),
                effects(Effect.SendLocalReply.class).stream()
                        .map(r -> r.reply())
                        .toList());
        start((out, requestId) -> {
            out.startAttempt(requestId, id("s-0"), 900_000);
            out.fail(requestId);
            out.fail(requestId);
            out.reject(requestId, 1000);
        });
        assertEquals(
                List.of(LocalReply.REJECTED, LocalReply.FAILED),
                effects(Effect.SendLocalReply.class).stream()
                        .map(r -> r.reply())
                        .toList(),
                "also while its attempt is in flight");
        send(NOW + 1, new Event.AttemptWritten(7, 0));
        send(NOW + 2, new Event.ResponseReceived(7, 0, ResponseKind.SERVED, "body", null));
        assertEquals(List.of(), effects(Effect.SendResponse.class), "it has failed already");
    }

    @Test
    void attemptsBeyondTheLimitNeverStart() {
        start((out, requestId) -> out.startAttempt(requestId, id("s-0"), 900_000));
        for (int i = 0; i < 5; i++) {
            send(NOW + i, new Event.AttemptConnectionLost(7, i));
            onNextTimer(NOW + i, out -> out.startAttempt(7, id("s-1"), 900_000));
        }
        assertEquals(
                List.of(0, 1, 2),
                effects(Effect.StartAttempt.class).stream()
                        .map(Effect.StartAttempt::attempt)
                        .toList());
    }

    @Test
    void attemptToAnUnknownEndpointOrAfterTheDeadlineNeverStarts() {
        start((out, requestId) -> out.startAttempt(requestId, 12345, 900_000));
        assertEquals(List.of(), effects(Effect.StartAttempt.class));
        onNextTimer(NOW + 996, out -> out.startAttempt(7, id("s-0"), 900_000));
        assertEquals(List.of(), effects(Effect.StartAttempt.class));
        assertEquals(List.of(AttemptOutcome.NEVER_STARTED, AttemptOutcome.NEVER_STARTED), balancer.outcomes);
    }

    @Test
    void requestOfAFaultyBalancerIsAnsweredAtItsDeadline() {
        start((out, requestId) -> {
            throw new IllegalStateException("a fault in a decision");
        });
        assertEquals(1, effects(Effect.ReportFault.class).size());
        assertTrue(effects(Effect.SendLocalReply.class).isEmpty());
        send(NOW + 995, new Event.TimerFired(new TimerKey.RequestDeadline(7)));
        assertEquals(
                List.of(LocalReply.REJECTED),
                effects(Effect.SendLocalReply.class).stream()
                        .map(r -> r.reply())
                        .toList());
    }

    private List<LocalReply> localReplies(long requestId) {
        return effects(Effect.SendLocalReply.class).stream()
                .filter(r -> r.requestId() == requestId)
                .map(Effect.SendLocalReply::reply)
                .toList();
    }

    @Test
    void faultAtTheOutcomeOfADeadlineLeavesNoRequestUnanswered() {
        start((out, requestId) -> out.startAttempt(requestId, id("s-0"), 0));
        send(NOW + 1, new Event.AttemptWritten(7, 0));
        balancer.faults = true;
        send(NOW + 995, new Event.TimerFired(new TimerKey.RequestDeadline(7)));
        assertEquals(List.of(LocalReply.TIMED_OUT), localReplies(7));
        assertEquals(List.of(new Effect.CancelAttempt(7, 0)), effects(Effect.CancelAttempt.class));
    }

    @Test
    void faultDuringAStopLeavesNoRequestUnanswered() {
        start((out, requestId) -> out.startAttempt(requestId, id("s-0"), 0));
        for (long requestId = 8; requestId < 12; requestId++) {
            send(
                    NOW,
                    new Event.RequestReceived(
                            requestId, new ClientRequest("file", null, 9000, false, true, "message")));
        }
        send(NOW + 1, new Event.AttemptWritten(7, 0));
        balancer.faults = true;
        send(NOW + 2, new Event.StopRequested());
        send(NOW + 900, new Event.TimerFired(new TimerKey.AnswerAll()));
        assertEquals(List.of(LocalReply.TIMED_OUT), localReplies(7));
        for (long requestId = 8; requestId < 12; requestId++) {
            assertEquals(List.of(LocalReply.REJECTED), localReplies(requestId), "request " + requestId);
        }
    }

    @Test
    void faultInTheRetryAfterStillRejects() {
        start((out, requestId) -> {});
        balancer.faults = true;
        send(NOW + 995, new Event.TimerFired(new TimerKey.RequestDeadline(7)));
        assertEquals(List.of(LocalReply.REJECTED), localReplies(7));
    }

    @Test
    void faultWhenARequestIsCompletedStillSetsItsDeadline() {
        start((out, requestId) -> {});
        send(NOW, new Event.RequestReceived(8, new ClientRequest("file", null, 1000, false, false, "part")));
        balancer.faults = true;
        effects.clear();
        send(NOW + 5000, new Event.RequestCompleted(8));
        assertTrue(effects(Effect.SetTimer.class)
                .contains(new Effect.SetTimer(NOW + 5995, new TimerKey.RequestDeadline(8))));
    }

    @Test
    void attemptOfADisconnectedClientIsCancelledDespiteAFault() {
        start((out, requestId) -> out.startAttempt(requestId, id("s-0"), 0));
        send(NOW + 1, new Event.AttemptWritten(7, 0));
        balancer.faults = true;
        send(NOW + 2, new Event.ClientDisconnected(7));
        assertEquals(List.of(new Effect.CancelAttempt(7, 0)), effects(Effect.CancelAttempt.class));
    }

    @Test
    void requestThatMayHaveRunIsNeverRejectedAtItsDeadline() {
        start((out, requestId) -> out.startAttempt(requestId, id("s-0"), 900_000));
        send(NOW + 1, new Event.AttemptWritten(7, 0));
        send(NOW + 2, new Event.AttemptConnectionLost(7, 0));
        send(NOW + 995, new Event.TimerFired(new TimerKey.RequestDeadline(7)));
        assertEquals(
                List.of(LocalReply.TIMED_OUT),
                effects(Effect.SendLocalReply.class).stream()
                        .map(r -> r.reply())
                        .toList());
    }

    @Test
    void nothingIsSentToADrainingHostAfterTheCutoff() {
        start((out, requestId) -> {});
        send(
                NOW,
                new Event.EndpointListInherited(
                        new EndpointList(2, true, List.of(ReducerHarness.endpoint("s-1", EndpointState.UP)))));
        long watch = effects(Effect.WatchDiscovery.class).get(0).call();
        send(
                NOW + 1,
                new Event.EndpointListReceived(
                        watch,
                        new EndpointList(3, true, List.of(ReducerHarness.endpoint("s-1", EndpointState.DRAINING)))));
        send(NOW + 190, new Event.RequestReceived(8, new ClientRequest("file", null, 1000, false, true, "message")));
        onNextTimer(NOW + 190, out -> out.startAttempt(8, id("s-1"), 900_000));
        onNextTimer(NOW + 205, out -> out.startAttempt(7, id("s-1"), 900_000));
        assertEquals(
                List.of(8L),
                effects(Effect.StartAttempt.class).stream()
                        .map(Effect.StartAttempt::requestId)
                        .toList());
        assertEquals(List.of(AttemptOutcome.NEVER_STARTED), balancer.outcomes);
    }

    /** Guards a host that drains against a node that is held up before it reads of the drain, and before it writes. */
    @Test
    void nodeHeldUpTwiceSendsNothingAfterTheDrainGrace() {
        start((out, requestId) -> {});
        send(
                NOW,
                new Event.EndpointListInherited(
                        new EndpointList(2, true, List.of(ReducerHarness.endpoint("s-1", EndpointState.UP)))));
        long watch = effects(Effect.WatchDiscovery.class).get(0).call();
        send(
                NOW + HOLD_UP_MS,
                new Event.EndpointListReceived(
                        watch,
                        new EndpointList(3, true, List.of(ReducerHarness.endpoint("s-1", EndpointState.DRAINING)))));
        double lastStartInTimeMs = NOW + DRAIN_GRACE_MS - HOLD_UP_MS;
        onNextTimer(lastStartInTimeMs + 1, out -> out.startAttempt(7, id("s-1"), 900_000));
        assertEquals(List.of(), effects(Effect.StartAttempt.class));
    }

    @Test
    void attemptWithoutAConnectionIsCancelledAtTheCutoff() {
        start((out, requestId) -> out.startAttempt(requestId, id("s-1"), 900_000));
        send(
                NOW,
                new Event.EndpointListInherited(
                        new EndpointList(2, true, List.of(ReducerHarness.endpoint("s-1", EndpointState.DRAINING)))));
        send(NOW + 200, new Event.TimerFired(new TimerKey.DrainCutoff("s-1")));
        assertEquals(List.of(new Effect.CancelAttempt(7, 0)), effects(Effect.CancelAttempt.class));
        assertEquals(List.of(AttemptOutcome.CONNECT_FAILED), balancer.outcomes);
    }

    private void startDraining(String host) {
        send(
                NOW,
                new Event.EndpointListInherited(
                        new EndpointList(2, true, List.of(ReducerHarness.endpoint(host, EndpointState.UP)))));
        long watch = effects(Effect.WatchDiscovery.class).get(0).call();
        send(
                NOW,
                new Event.EndpointListReceived(
                        watch,
                        new EndpointList(3, true, List.of(ReducerHarness.endpoint(host, EndpointState.DRAINING)))));
    }

    @Test
    void timeLeftIsThatOfTheMomentOfWriting() {
        start((out, requestId) -> out.startAttempt(requestId, id("s-1"), 900_000));
        assertEquals(900, reducer.timeLeftMs(NOW, 7, 0), 1e-6);
        assertEquals(300, reducer.timeLeftMs(NOW + 600, 7, 0), 1e-6);
        assertEquals(0, reducer.timeLeftMs(NOW + 900, 7, 0), "the module gives it up then");
        assertEquals(0, reducer.timeLeftMs(NOW, 7, 1), "one that is not out");
        assertEquals(0, reducer.timeLeftMs(NOW, 8, 0), "of a request that is not open");
    }

    @Test
    void noTimeIsLeftForAnAttemptAfterTheCutoff() {
        start((out, requestId) -> out.startAttempt(requestId, id("s-1"), 0));
        startDraining("s-1");
        assertEquals(995 - 199, reducer.timeLeftMs(NOW + 199, 7, 0), 1e-6);
        assertEquals(0, reducer.timeLeftMs(NOW + 200, 7, 0), "though its timer has not fired");
        send(NOW + 201, new Event.AttemptNotStarted(7, 0));
        assertEquals(List.of(AttemptOutcome.CONNECT_FAILED), balancer.outcomes, "it may go elsewhere");
    }

    @Test
    void attemptThatIsNotStartedHasNeverRun() {
        start((out, requestId) -> out.startAttempt(requestId, id("s-1"), 0));
        send(NOW + 999, new Event.AttemptNotStarted(7, 0));
        assertEquals(List.of(AttemptOutcome.NEVER_STARTED), balancer.outcomes);
    }

    /** Its last byte may have waited in the kernel as long as its connection. */
    @Test
    void unseenWaitShortensTheTimeLeftOfTheFirstAttemptNotItsStart() {
        start((out, requestId) -> out.startAttempt(requestId, id("s-1"), 0));
        send(NOW, new Event.RequestReceived(8, new ClientRequest("file", null, 1000, false, true, 600, "message")));
        assertEquals(395, reducer.timeLeftMs(NOW, 8, 0), 1e-6);
        assertEquals(1, reducer.timeLeftMs(NOW + 500, 8, 0), 1e-6, "it may still be waiting");
        assertEquals(0, reducer.timeLeftMs(NOW + 995, 8, 0));
        send(NOW + 100, new Event.AttemptConnectionLost(8, 0));
        onNextTimer(NOW + 100, out -> out.startAttempt(8, id("s-0"), 0));
        assertEquals(295, reducer.timeLeftMs(NOW + 100, 8, 1), 1e-6);
        assertEquals(0, reducer.timeLeftMs(NOW + 395, 8, 1), "a further one is not made beyond it");
    }

    @Test
    void timeLeftOfAStreamedRequestCountsFromItsSending() {
        start((out, requestId) -> out.startAttempt(requestId, id("s-1"), 0));
        send(NOW, new Event.RequestReceived(8, new ClientRequest("file", null, 1000, false, false, "message")));
        onNextTimer(NOW, out -> out.startAttempt(8, id("s-0"), 0));
        assertEquals(495, reducer.timeLeftMs(NOW + 500, 8, 0), 1e-6);
        assertEquals(1, reducer.timeLeftMs(NOW + 4000, 8, 0), 1e-6);
        send(NOW + 4000, new Event.RequestCompleted(8));
        assertEquals(1, reducer.timeLeftMs(NOW + 4100, 8, 0), 1e-6);
        assertEquals(0, reducer.timeLeftMs(NOW + 4995, 8, 0));
    }

    /** Its servers remember for so long what they have run; a write may come 150 ms later than decided. */
    @Test
    void retryWithAnIdempotencyKeyDoesNotOutlastTheKey() {
        RequestClass keyed = new RequestClass(
                "file",
                3_000_000,
                6_000_000,
                Idempotence.IDEMPOTENCY_KEY,
                DeduplicationScope.ALL,
                400_000,
                false,
                1,
                0);
        start(ReducerHarness.settings(1, 5, keyed), (out, requestId) -> out.startAttempt(requestId, id("s-0"), 0));
        send(NOW + 10, new Event.AttemptWritten(7, 0));
        send(NOW + 20, new Event.AttemptConnectionLost(7, 0));
        onNextTimer(NOW + 30, out -> out.startAttempt(7, id("s-0"), 0));
        assertEquals(2, effects(Effect.StartAttempt.class).size());
        assertTrue(reducer.timeLeftMs(NOW + 249, 7, 1) > 0);
        assertEquals(0, reducer.timeLeftMs(NOW + 250, 7, 1));
        send(NOW + 260, new Event.AttemptNotStarted(7, 1));
        onNextTimer(NOW + 260, out -> out.startAttempt(7, id("s-1"), 0));
        assertEquals(2, effects(Effect.StartAttempt.class).size(), "nor is another begun");
        assertEquals(
                List.of(AttemptOutcome.RESET, AttemptOutcome.NEVER_STARTED, AttemptOutcome.NEVER_STARTED),
                balancer.outcomes);
    }
}
