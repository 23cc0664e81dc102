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

/**
 * The node's own guarantees hold whatever the balancer decides: the balancer of each test violates a rule or throws.
 */
class FaultyBalancerTest {
    private static final double START_MS = 1_796_000_000_000.0;
    private static final double DRAIN_GRACE_MS = 500;
    /** The longest assumed stall before a read, and between reading the clock and writing. */
    private static final double STALL_MS = 150;

    /** Runs a given handler for each request and records the outcomes that it receives. */
    private static final class FaultyBalancer implements BalancerApi {
        final BalancerActions actions;
        final BiConsumer<BalancerActions, Long> requestHandler;
        final List<AttemptOutcome> outcomes = new ArrayList<>();
        Runnable timerAction;
        /** Whether it throws at each event that follows the receipt of a request. */
        boolean throwing;

        FaultyBalancer(BalancerActions actions, BiConsumer<BalancerActions, Long> requestHandler) {
            this.actions = actions;
            this.requestHandler = requestHandler;
        }

        @Override
        public void onEndpointList(long now, EndpointListKind kind, List<Endpoint> entries) {}

        @Override
        public void onRequest(long now, BalancerRequest request) {
            requestHandler.accept(actions, request.id());
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
            throwIfFaulty();
        }

        @Override
        public void onClientDisconnected(long now, long request) {
            throwIfFaulty();
        }

        @Override
        public void onRequestCompleted(long now, long request) {
            throwIfFaulty();
        }

        @Override
        public long suggestedRetryAfter() {
            throwIfFaulty();
            return 0;
        }

        private void throwIfFaulty() {
            if (throwing) {
                throw new IllegalStateException("a fault in a decision");
            }
        }

        @Override
        public void onTimer(long now, String token) {
            timerAction.run();
        }
    }

    private FaultyBalancer balancer;
    private Reducer reducer;
    private final List<Effect> effects = new ArrayList<>();

    private void start(BiConsumer<BalancerActions, Long> requestHandler) {
        start(ReducerHarness.settings(1, 3, ReducerHarness.VIEW, ReducerHarness.FILE), requestHandler);
    }

    private void start(BalancerSettings settings, BiConsumer<BalancerActions, Long> requestHandler) {
        reducer = new Reducer(
                settings, new Counters(), (ignored, actions) -> balancer = new FaultyBalancer(actions, requestHandler));
        send(
                START_MS,
                new Event.Started(new EndpointList(
                        1,
                        true,
                        List.of(
                                ReducerHarness.endpoint("s-0", EndpointState.UP),
                                ReducerHarness.endpoint("s-1", EndpointState.UP)))));
        send(START_MS, new Event.RequestReceived(7, new ClientRequest("file", null, 1000, false, true, "message")));
    }

    private void send(double nowMs, Event event) {
        effects.addAll(reducer.reduce(nowMs, event));
    }

    /** Fires a balancer timer at which the balancer runs this action. */
    private void onNextTimer(double nowMs, Consumer<BalancerActions> action) {
        balancer.timerAction = () -> action.accept(balancer.actions);
        send(nowMs, new Event.TimerFired(new TimerKey.BalancerTimer("next")));
    }

    private <E extends Effect> List<E> effects(Class<E> kind) {
        return effects.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    private static long idOf(String host) {
        return HostIds.hashOf(host);
    }

    @Test
    void secondAttemptDuringAnotherNeverStarts() {
        start((actions, requestId) -> {
            actions.startAttempt(requestId, idOf("s-0"), 900_000);
            actions.startAttempt(requestId, idOf("s-1"), 900_000);
        });
        assertEquals(1, effects(Effect.StartAttempt.class).size());
        assertEquals(List.of(AttemptOutcome.NEVER_STARTED), balancer.outcomes);
    }

    @Test
    void attemptForADisconnectedOrUnknownClientNeverStarts() {
        for (Event end : List.of(new Event.ClientDisconnected(7), new Event.ClientPresenceUnknown(7))) {
            start((actions, requestId) -> {});
            send(START_MS + 1, end);
            onNextTimer(START_MS + 2, actions -> actions.startAttempt(7, idOf("s-0"), 900_000));
        }
        assertEquals(List.of(), effects(Effect.StartAttempt.class), "first attempt");
        start((actions, requestId) -> actions.startAttempt(requestId, idOf("s-0"), 900_000));
        send(START_MS + 1, new Event.AttemptWritten(7, 0));
        send(START_MS + 2, new Event.ClientDisconnected(7));
        onNextTimer(START_MS + 3, actions -> actions.startAttempt(7, idOf("s-1"), 900_000));
        assertEquals(1, effects(Effect.StartAttempt.class).size(), "further attempt");
    }

    @Test
    void requestIsAnsweredOnlyOnce() {
        start((actions, requestId) -> {
            actions.reject(requestId, 1000);
            actions.reject(requestId, 1000);
            actions.fail(requestId);
        });
        assertEquals(
                List.of(LocalReply.REJECTED),
                effects(Effect.SendLocalReply.class).stream()
                        .map(r -> r.reply())
                        .toList());
        start((actions, requestId) -> {
            actions.startAttempt(requestId, idOf("s-0"), 900_000);
            actions.fail(requestId);
            actions.fail(requestId);
            actions.reject(requestId, 1000);
        });
        assertEquals(
                List.of(LocalReply.REJECTED, LocalReply.FAILED),
                effects(Effect.SendLocalReply.class).stream()
                        .map(r -> r.reply())
                        .toList(),
                "also with an attempt in flight");
        send(START_MS + 1, new Event.AttemptWritten(7, 0));
        send(START_MS + 2, new Event.ResponseReceived(7, 0, ResponseKind.SERVED, "body", null));
        assertEquals(List.of(), effects(Effect.SendResponse.class), "already answered with a failure");
    }

    @Test
    void attemptsBeyondTheLimitNeverStart() {
        start((actions, requestId) -> actions.startAttempt(requestId, idOf("s-0"), 900_000));
        for (int i = 0; i < 5; i++) {
            send(START_MS + i, new Event.AttemptConnectionLost(7, i));
            onNextTimer(START_MS + i, actions -> actions.startAttempt(7, idOf("s-1"), 900_000));
        }
        assertEquals(
                List.of(0, 1, 2),
                effects(Effect.StartAttempt.class).stream()
                        .map(Effect.StartAttempt::attempt)
                        .toList());
    }

    @Test
    void attemptToAnUnknownEndpointOrAfterTheDeadlineNeverStarts() {
        start((actions, requestId) -> actions.startAttempt(requestId, 12345, 900_000));
        assertEquals(List.of(), effects(Effect.StartAttempt.class));
        onNextTimer(START_MS + 996, actions -> actions.startAttempt(7, idOf("s-0"), 900_000));
        assertEquals(List.of(), effects(Effect.StartAttempt.class));
        assertEquals(List.of(AttemptOutcome.NEVER_STARTED, AttemptOutcome.NEVER_STARTED), balancer.outcomes);
    }

    @Test
    void requestOfAFaultyBalancerIsAnsweredAtItsDeadline() {
        start((actions, requestId) -> {
            throw new IllegalStateException("a fault in a decision");
        });
        assertEquals(1, effects(Effect.ReportFault.class).size());
        assertTrue(effects(Effect.SendLocalReply.class).isEmpty());
        send(START_MS + 995, new Event.TimerFired(new TimerKey.RequestDeadline(7)));
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
        start((actions, requestId) -> actions.startAttempt(requestId, idOf("s-0"), 0));
        send(START_MS + 1, new Event.AttemptWritten(7, 0));
        balancer.throwing = true;
        send(START_MS + 995, new Event.TimerFired(new TimerKey.RequestDeadline(7)));
        assertEquals(List.of(LocalReply.TIMED_OUT), localReplies(7));
        assertEquals(List.of(new Effect.CancelAttempt(7, 0)), effects(Effect.CancelAttempt.class));
    }

    @Test
    void faultDuringAStopLeavesNoRequestUnanswered() {
        start((actions, requestId) -> actions.startAttempt(requestId, idOf("s-0"), 0));
        for (long requestId = 8; requestId < 12; requestId++) {
            send(
                    START_MS,
                    new Event.RequestReceived(
                            requestId, new ClientRequest("file", null, 9000, false, true, "message")));
        }
        send(START_MS + 1, new Event.AttemptWritten(7, 0));
        balancer.throwing = true;
        send(START_MS + 2, new Event.StopRequested());
        send(START_MS + 900, new Event.TimerFired(new TimerKey.AnswerAll()));
        assertEquals(List.of(LocalReply.TIMED_OUT), localReplies(7));
        for (long requestId = 8; requestId < 12; requestId++) {
            assertEquals(List.of(LocalReply.REJECTED), localReplies(requestId), "request " + requestId);
        }
    }

    @Test
    void faultInTheRetryAfterStillRejects() {
        start((actions, requestId) -> {});
        balancer.throwing = true;
        send(START_MS + 995, new Event.TimerFired(new TimerKey.RequestDeadline(7)));
        assertEquals(List.of(LocalReply.REJECTED), localReplies(7));
    }

    @Test
    void faultWhenARequestIsCompletedStillSetsItsDeadline() {
        start((actions, requestId) -> {});
        send(START_MS, new Event.RequestReceived(8, new ClientRequest("file", null, 1000, false, false, "part")));
        balancer.throwing = true;
        effects.clear();
        send(START_MS + 5000, new Event.RequestCompleted(8));
        assertTrue(effects(Effect.SetTimer.class)
                .contains(new Effect.SetTimer(START_MS + 5995, new TimerKey.RequestDeadline(8))));
    }

    @Test
    void attemptOfADisconnectedClientIsCancelledDespiteAFault() {
        start((actions, requestId) -> actions.startAttempt(requestId, idOf("s-0"), 0));
        send(START_MS + 1, new Event.AttemptWritten(7, 0));
        balancer.throwing = true;
        send(START_MS + 2, new Event.ClientDisconnected(7));
        assertEquals(List.of(new Effect.CancelAttempt(7, 0)), effects(Effect.CancelAttempt.class));
    }

    @Test
    void requestThatMayHaveRunIsNeverRejectedAtItsDeadline() {
        start((actions, requestId) -> actions.startAttempt(requestId, idOf("s-0"), 900_000));
        send(START_MS + 1, new Event.AttemptWritten(7, 0));
        send(START_MS + 2, new Event.AttemptConnectionLost(7, 0));
        send(START_MS + 995, new Event.TimerFired(new TimerKey.RequestDeadline(7)));
        assertEquals(
                List.of(LocalReply.TIMED_OUT),
                effects(Effect.SendLocalReply.class).stream()
                        .map(r -> r.reply())
                        .toList());
    }

    @Test
    void nothingIsSentToADrainingHostAfterTheCutoff() {
        start((actions, requestId) -> {});
        send(
                START_MS,
                new Event.EndpointListInherited(
                        new EndpointList(2, true, List.of(ReducerHarness.endpoint("s-1", EndpointState.UP)))));
        long watch = effects(Effect.WatchDiscovery.class).get(0).call();
        send(
                START_MS + 1,
                new Event.EndpointListReceived(
                        watch,
                        new EndpointList(3, true, List.of(ReducerHarness.endpoint("s-1", EndpointState.DRAINING)))));
        send(
                START_MS + 190,
                new Event.RequestReceived(8, new ClientRequest("file", null, 1000, false, true, "message")));
        onNextTimer(START_MS + 190, actions -> actions.startAttempt(8, idOf("s-1"), 900_000));
        onNextTimer(START_MS + 205, actions -> actions.startAttempt(7, idOf("s-1"), 900_000));
        assertEquals(
                List.of(8L),
                effects(Effect.StartAttempt.class).stream()
                        .map(Effect.StartAttempt::requestId)
                        .toList());
        assertEquals(List.of(AttemptOutcome.NEVER_STARTED), balancer.outcomes);
    }

    /** Guards a draining host against a node that stalls before it reads of the drain and again before it writes. */
    @Test
    void nodeThatStallsTwiceSendsNothingAfterTheDrainGrace() {
        start((actions, requestId) -> {});
        send(
                START_MS,
                new Event.EndpointListInherited(
                        new EndpointList(2, true, List.of(ReducerHarness.endpoint("s-1", EndpointState.UP)))));
        long watch = effects(Effect.WatchDiscovery.class).get(0).call();
        send(
                START_MS + STALL_MS,
                new Event.EndpointListReceived(
                        watch,
                        new EndpointList(3, true, List.of(ReducerHarness.endpoint("s-1", EndpointState.DRAINING)))));
        double lastStartInTimeMs = START_MS + DRAIN_GRACE_MS - STALL_MS;
        onNextTimer(lastStartInTimeMs + 1, actions -> actions.startAttempt(7, idOf("s-1"), 900_000));
        assertEquals(List.of(), effects(Effect.StartAttempt.class));
    }

    @Test
    void attemptWithoutAConnectionIsCancelledAtTheCutoff() {
        start((actions, requestId) -> actions.startAttempt(requestId, idOf("s-1"), 900_000));
        send(
                START_MS,
                new Event.EndpointListInherited(
                        new EndpointList(2, true, List.of(ReducerHarness.endpoint("s-1", EndpointState.DRAINING)))));
        send(START_MS + 200, new Event.TimerFired(new TimerKey.DrainCutoff("s-1")));
        assertEquals(List.of(new Effect.CancelAttempt(7, 0)), effects(Effect.CancelAttempt.class));
        assertEquals(List.of(AttemptOutcome.CONNECT_FAILED), balancer.outcomes);
    }

    private void startDraining(String host) {
        send(
                START_MS,
                new Event.EndpointListInherited(
                        new EndpointList(2, true, List.of(ReducerHarness.endpoint(host, EndpointState.UP)))));
        long watch = effects(Effect.WatchDiscovery.class).get(0).call();
        send(
                START_MS,
                new Event.EndpointListReceived(
                        watch,
                        new EndpointList(3, true, List.of(ReducerHarness.endpoint(host, EndpointState.DRAINING)))));
    }

    @Test
    void timeLeftIsComputedWhenTheAttemptIsWritten() {
        start((actions, requestId) -> actions.startAttempt(requestId, idOf("s-1"), 900_000));
        assertEquals(900, reducer.timeLeftMs(START_MS, 7, 0), 1e-6);
        assertEquals(300, reducer.timeLeftMs(START_MS + 600, 7, 0), 1e-6);
        assertEquals(0, reducer.timeLeftMs(START_MS + 900, 7, 0), "the balancer's timeout");
        assertEquals(0, reducer.timeLeftMs(START_MS, 7, 1), "an attempt that is not in flight");
        assertEquals(0, reducer.timeLeftMs(START_MS, 8, 0), "a request that is not open");
    }

    @Test
    void noTimeIsLeftForAnAttemptAfterTheCutoff() {
        start((actions, requestId) -> actions.startAttempt(requestId, idOf("s-1"), 0));
        startDraining("s-1");
        assertEquals(995 - 199, reducer.timeLeftMs(START_MS + 199, 7, 0), 1e-6);
        assertEquals(0, reducer.timeLeftMs(START_MS + 200, 7, 0), "the cut-off, before its timer fires");
        send(START_MS + 201, new Event.AttemptNotStarted(7, 0));
        assertEquals(List.of(AttemptOutcome.CONNECT_FAILED), balancer.outcomes, "a retry at another host is allowed");
    }

    @Test
    void attemptThatIsNotStartedHasNeverRun() {
        start((actions, requestId) -> actions.startAttempt(requestId, idOf("s-1"), 0));
        send(START_MS + 999, new Event.AttemptNotStarted(7, 0));
        assertEquals(List.of(AttemptOutcome.NEVER_STARTED), balancer.outcomes);
    }

    /** The last byte of a request may have waited in the kernel as long as its connection waited in the backlog. */
    @Test
    void backlogWaitShortensTheTimeLeftOfTheFirstAttemptNotItsStart() {
        start((actions, requestId) -> actions.startAttempt(requestId, idOf("s-1"), 0));
        send(
                START_MS,
                new Event.RequestReceived(8, new ClientRequest("file", null, 1000, false, true, 600, "message")));
        assertEquals(395, reducer.timeLeftMs(START_MS, 8, 0), 1e-6);
        assertEquals(
                1, reducer.timeLeftMs(START_MS + 500, 8, 0), 1e-6, "minimum, since the client may still be waiting");
        assertEquals(0, reducer.timeLeftMs(START_MS + 995, 8, 0));
        send(START_MS + 100, new Event.AttemptConnectionLost(8, 0));
        onNextTimer(START_MS + 100, actions -> actions.startAttempt(8, idOf("s-0"), 0));
        assertEquals(295, reducer.timeLeftMs(START_MS + 100, 8, 1), 1e-6);
        assertEquals(0, reducer.timeLeftMs(START_MS + 395, 8, 1), "no retry beyond the certain deadline");
    }

    /** Guards servers against working for a client that has given up while its request waited in the backlog. */
    @Test
    void requestWhoseTimeMayHaveEndedInTheBacklogIsNotSent() {
        start((actions, requestId) -> actions.startAttempt(requestId, idOf("s-1"), 0));
        send(START_MS, new Event.RequestReceived(8, new ClientRequest("file", null, 400, false, true, 540, "message")));
        assertEquals(1, reducer.timeLeftMs(START_MS, 8, 0), 1e-6, "145 ms late: within the slack");
        send(START_MS, new Event.RequestReceived(9, new ClientRequest("file", null, 400, false, true, 550, "message")));
        assertEquals(0, reducer.timeLeftMs(START_MS, 9, 0), "155 ms late");
    }

    @Test
    void timeLeftOfAStreamedRequestCountsFromItsSending() {
        start((actions, requestId) -> actions.startAttempt(requestId, idOf("s-1"), 0));
        send(START_MS, new Event.RequestReceived(8, new ClientRequest("file", null, 1000, false, false, "message")));
        onNextTimer(START_MS, actions -> actions.startAttempt(8, idOf("s-0"), 0));
        assertEquals(495, reducer.timeLeftMs(START_MS + 500, 8, 0), 1e-6);
        assertEquals(1, reducer.timeLeftMs(START_MS + 4000, 8, 0), 1e-6);
        send(START_MS + 4000, new Event.RequestCompleted(8));
        assertEquals(1, reducer.timeLeftMs(START_MS + 4100, 8, 0), 1e-6);
        assertEquals(0, reducer.timeLeftMs(START_MS + 4995, 8, 0));
    }

    /**
     * Servers deduplicate requests until the idempotency key expires. Guards against a retry after that, given that a
     * write may follow its decision by 150 ms.
     */
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
        start(
                ReducerHarness.settings(1, 5, keyed),
                (actions, requestId) -> actions.startAttempt(requestId, idOf("s-0"), 0));
        send(START_MS + 10, new Event.AttemptWritten(7, 0));
        send(START_MS + 20, new Event.AttemptConnectionLost(7, 0));
        onNextTimer(START_MS + 30, actions -> actions.startAttempt(7, idOf("s-0"), 0));
        assertEquals(2, effects(Effect.StartAttempt.class).size());
        assertTrue(reducer.timeLeftMs(START_MS + 249, 7, 1) > 0);
        assertEquals(0, reducer.timeLeftMs(START_MS + 250, 7, 1));
        send(START_MS + 260, new Event.AttemptNotStarted(7, 1));
        onNextTimer(START_MS + 260, actions -> actions.startAttempt(7, idOf("s-1"), 0));
        assertEquals(2, effects(Effect.StartAttempt.class).size(), "no further attempt starts");
        assertEquals(
                List.of(AttemptOutcome.RESET, AttemptOutcome.NEVER_STARTED, AttemptOutcome.NEVER_STARTED),
                balancer.outcomes);
    }
}
