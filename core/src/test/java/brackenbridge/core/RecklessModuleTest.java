package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.Effect.LocalReply;
import brackenbridge.core.Event.ServerReply;
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
class RecklessModuleTest {
    private static final double NOW = 1_796_000_000_000.0;

    /** Does this with each request, and notes each outcome that it is told. */
    private static final class Reckless implements BalancerApi {
        final BalancerActions out;
        final BiConsumer<BalancerActions, Long> with;
        final List<AttemptOutcome> told = new ArrayList<>();
        Runnable next;
        /** From now on it faults at whatever it is told of a flow's progress. */
        boolean faults;

        Reckless(BalancerActions out, BiConsumer<BalancerActions, Long> with) {
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
            told.add(outcome);
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

    private Reckless module;
    private Reducer reducer;
    private final List<Effect> effects = new ArrayList<>();

    private void start(BiConsumer<BalancerActions, Long> with) {
        start(Play.settings(1, 3, Play.VIEW, Play.FILE), with);
    }

    private void start(BalancerSettings rules, BiConsumer<BalancerActions, Long> with) {
        reducer = new Reducer(rules, new Counters(), (settings, actions) -> module = new Reckless(actions, with));
        tell(
                NOW,
                new Event.Started(new EndpointList(
                        1, true, List.of(Play.target("s-0", EndpointState.UP), Play.target("s-1", EndpointState.UP)))));
        tell(NOW, new Event.RequestReceived(7, new ClientRequest("file", null, 1000, false, true, "message")));
    }

    private void tell(double now, Event event) {
        effects.addAll(reducer.reduce(now, event));
    }

    /** The module does this at its next timer. */
    private void does(double now, Consumer<BalancerActions> what) {
        module.next = () -> what.accept(module.out);
        tell(now, new Event.TimerFired(new TimerKey.BalancerTimer("next")));
    }

    private <E extends Effect> List<E> of(Class<E> kind) {
        return effects.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    private static long id(String host) {
        return HostIds.numberOf(host);
    }

    @Test
    void secondForwardWhileOneIsOutNeverBegins() {
        start((out, flow) -> {
            out.startAttempt(flow, id("s-0"), 900_000);
            out.startAttempt(flow, id("s-1"), 900_000);
        });
        assertEquals(1, of(Effect.StartAttempt.class).size());
        assertEquals(List.of(AttemptOutcome.NEVER_STARTED), module.told);
    }

    @Test
    void forwardForAClientThatIsGoneOrHiddenNeverBegins() {
        for (Event end : List.of(new Event.ClientDisconnected(7), new Event.ClientPresenceUnknown(7))) {
            start((out, flow) -> {});
            tell(NOW + 1, end);
            does(NOW + 2, out -> out.startAttempt(7, id("s-0"), 900_000));
        }
        assertEquals(List.of(), of(Effect.StartAttempt.class), "first");
        start((out, flow) -> out.startAttempt(flow, id("s-0"), 900_000));
        tell(NOW + 1, new Event.AttemptWritten(7, 0));
        tell(NOW + 2, new Event.ClientDisconnected(7));
        does(NOW + 3, out -> out.startAttempt(7, id("s-1"), 900_000));
        assertEquals(1, of(Effect.StartAttempt.class).size(), "or further");
    }

    @Test
    void secondAnswerIsNeverGiven() {
        start((out, flow) -> {
            out.reject(flow, 1000);
            out.reject(flow, 1000);
            out.fail(flow);
        });
        assertEquals(
                List.of(LocalReply.REJECTED),
                of(Effect.SendLocalReply.class).stream().map(r -> r.reply()).toList());
        start((out, flow) -> {
            out.startAttempt(flow, id("s-0"), 900_000);
            out.fail(flow);
            out.fail(flow);
            out.reject(flow, 1000);
        });
        assertEquals(
                List.of(LocalReply.REJECTED, LocalReply.FAILED),
                of(Effect.SendLocalReply.class).stream().map(r -> r.reply()).toList(),
                "also while its forward is out");
        tell(NOW + 1, new Event.AttemptWritten(7, 0));
        tell(NOW + 2, new Event.AttemptAnswered(7, 0, ServerReply.SERVED, "body", null));
        assertEquals(List.of(), of(Effect.SendResponse.class), "it has failed already");
    }

    @Test
    void moreForwardsThanAreAllowedNeverBegin() {
        start((out, flow) -> out.startAttempt(flow, id("s-0"), 900_000));
        for (int i = 0; i < 5; i++) {
            tell(NOW + i, new Event.AttemptConnectionLost(7, i));
            does(NOW + i, out -> out.startAttempt(7, id("s-1"), 900_000));
        }
        assertEquals(
                List.of(0, 1, 2),
                of(Effect.StartAttempt.class).stream()
                        .map(Effect.StartAttempt::attempt)
                        .toList());
    }

    @Test
    void forwardToNobodyOrAfterTheDeadlineNeverBegins() {
        start((out, flow) -> out.startAttempt(flow, 12345, 900_000));
        assertEquals(List.of(), of(Effect.StartAttempt.class));
        does(NOW + 996, out -> out.startAttempt(7, id("s-0"), 900_000));
        assertEquals(List.of(), of(Effect.StartAttempt.class));
        assertEquals(List.of(AttemptOutcome.NEVER_STARTED, AttemptOutcome.NEVER_STARTED), module.told);
    }

    @Test
    void moduleThatForgetsOrFaultsStillAnswersAtTheDeadline() {
        start((out, flow) -> {
            throw new IllegalStateException("a fault in a decision");
        });
        assertEquals(1, of(Effect.Fault.class).size());
        assertTrue(of(Effect.SendLocalReply.class).isEmpty());
        tell(NOW + 995, new Event.TimerFired(new TimerKey.RequestDeadline(7)));
        assertEquals(
                List.of(LocalReply.REJECTED),
                of(Effect.SendLocalReply.class).stream().map(r -> r.reply()).toList());
    }

    private List<LocalReply> fixed(long flow) {
        return of(Effect.SendLocalReply.class).stream()
                .filter(r -> r.requestId() == flow)
                .map(Effect.SendLocalReply::reply)
                .toList();
    }

    @Test
    void moduleThatFaultsAtTheOutcomeOfADeadlineLeavesNoFlowUnanswered() {
        start((out, flow) -> out.startAttempt(flow, id("s-0"), 0));
        tell(NOW + 1, new Event.AttemptWritten(7, 0));
        module.faults = true;
        tell(NOW + 995, new Event.TimerFired(new TimerKey.RequestDeadline(7)));
        assertEquals(List.of(LocalReply.TIMED_OUT), fixed(7));
        assertEquals(List.of(new Effect.CancelAttempt(7, 0)), of(Effect.CancelAttempt.class));
    }

    @Test
    void moduleThatFaultsAtAStopLeavesNoFlowUnanswered() {
        start((out, flow) -> out.startAttempt(flow, id("s-0"), 0));
        for (long flow = 8; flow < 12; flow++) {
            tell(NOW, new Event.RequestReceived(flow, new ClientRequest("file", null, 9000, false, true, "message")));
        }
        tell(NOW + 1, new Event.AttemptWritten(7, 0));
        module.faults = true;
        tell(NOW + 2, new Event.StopRequested());
        tell(NOW + 900, new Event.TimerFired(new TimerKey.AnswerAll()));
        assertEquals(List.of(LocalReply.TIMED_OUT), fixed(7));
        for (long flow = 8; flow < 12; flow++) {
            assertEquals(List.of(LocalReply.REJECTED), fixed(flow), "flow " + flow);
        }
    }

    @Test
    void moduleThatCanNotAdviseARetryStillRefuses() {
        start((out, flow) -> {});
        module.faults = true;
        tell(NOW + 995, new Event.TimerFired(new TimerKey.RequestDeadline(7)));
        assertEquals(List.of(LocalReply.REJECTED), fixed(7));
    }

    @Test
    void moduleThatFaultsWhenABodyIsWholeStillAnswersAtTheDeadline() {
        start((out, flow) -> {});
        tell(NOW, new Event.RequestReceived(8, new ClientRequest("file", null, 1000, false, false, "part")));
        module.faults = true;
        effects.clear();
        tell(NOW + 5000, new Event.RequestCompleted(8));
        assertTrue(
                of(Effect.SetTimer.class).contains(new Effect.SetTimer(NOW + 5995, new TimerKey.RequestDeadline(8))));
    }

    @Test
    void forwardOfAGoneClientIsCalledOffAlsoIfTheModuleFaults() {
        start((out, flow) -> out.startAttempt(flow, id("s-0"), 0));
        tell(NOW + 1, new Event.AttemptWritten(7, 0));
        module.faults = true;
        tell(NOW + 2, new Event.ClientDisconnected(7));
        assertEquals(List.of(new Effect.CancelAttempt(7, 0)), of(Effect.CancelAttempt.class));
    }

    @Test
    void whatMayHaveRunIsNeverRefusedAtTheDeadlineEvenIfTheModuleForgetsIt() {
        start((out, flow) -> out.startAttempt(flow, id("s-0"), 900_000));
        tell(NOW + 1, new Event.AttemptWritten(7, 0));
        tell(NOW + 2, new Event.AttemptConnectionLost(7, 0));
        tell(NOW + 995, new Event.TimerFired(new TimerKey.RequestDeadline(7)));
        assertEquals(
                List.of(LocalReply.TIMED_OUT),
                of(Effect.SendLocalReply.class).stream().map(r -> r.reply()).toList());
    }

    @Test
    void hostThatDrainsGetsNothingAfterHalfOfItsGrace() {
        start((out, flow) -> {});
        tell(
                NOW,
                new Event.EndpointListInherited(
                        new EndpointList(2, true, List.of(Play.target("s-1", EndpointState.UP)))));
        long watch = of(Effect.WatchDiscovery.class).get(0).call();
        tell(
                NOW + 1,
                new Event.EndpointListReceived(
                        watch, new EndpointList(3, true, List.of(Play.target("s-1", EndpointState.DRAINING)))));
        tell(NOW + 240, new Event.RequestReceived(8, new ClientRequest("file", null, 1000, false, true, "message")));
        does(NOW + 240, out -> out.startAttempt(8, id("s-1"), 900_000));
        does(NOW + 255, out -> out.startAttempt(7, id("s-1"), 900_000));
        assertEquals(
                List.of(8L),
                of(Effect.StartAttempt.class).stream()
                        .map(Effect.StartAttempt::requestId)
                        .toList());
        assertEquals(List.of(AttemptOutcome.NEVER_STARTED), module.told);
    }

    @Test
    void forwardThatWaitsForItsConnectionAtTheEndOfTheGraceIsCalledOff() {
        start((out, flow) -> out.startAttempt(flow, id("s-1"), 900_000));
        tell(
                NOW,
                new Event.EndpointListInherited(
                        new EndpointList(2, true, List.of(Play.target("s-1", EndpointState.DRAINING)))));
        tell(NOW + 250, new Event.TimerFired(new TimerKey.DrainCutoff("s-1")));
        assertEquals(List.of(new Effect.CancelAttempt(7, 0)), of(Effect.CancelAttempt.class));
        assertEquals(List.of(AttemptOutcome.CONNECT_FAILED), module.told);
    }

    private void startDraining(String host) {
        tell(
                NOW,
                new Event.EndpointListInherited(
                        new EndpointList(2, true, List.of(Play.target(host, EndpointState.UP)))));
        long watch = of(Effect.WatchDiscovery.class).get(0).call();
        tell(
                NOW,
                new Event.EndpointListReceived(
                        watch, new EndpointList(3, true, List.of(Play.target(host, EndpointState.DRAINING)))));
    }

    @Test
    void forwardIsToldWhatIsLeftWhenItIsWritten() {
        start((out, flow) -> out.startAttempt(flow, id("s-1"), 900_000));
        assertEquals(900, reducer.timeLeftMs(NOW, 7, 0), 1e-6);
        assertEquals(300, reducer.timeLeftMs(NOW + 600, 7, 0), 1e-6);
        assertEquals(0, reducer.timeLeftMs(NOW + 900, 7, 0), "the module gives it up then");
        assertEquals(0, reducer.timeLeftMs(NOW, 7, 1), "one that is not out");
        assertEquals(0, reducer.timeLeftMs(NOW, 8, 0), "of a flow that is not open");
    }

    @Test
    void nothingIsLeftForAForwardToAHostWhoseGraceIsOver() {
        start((out, flow) -> out.startAttempt(flow, id("s-1"), 0));
        startDraining("s-1");
        assertEquals(995 - 249, reducer.timeLeftMs(NOW + 249, 7, 0), 1e-6);
        assertEquals(0, reducer.timeLeftMs(NOW + 250, 7, 0), "though its timer has not fired");
        tell(NOW + 251, new Event.AttemptNotStarted(7, 0));
        assertEquals(List.of(AttemptOutcome.CONNECT_FAILED), module.told, "it may go elsewhere");
    }

    @Test
    void forwardThatMustNotBeginHasNeverRun() {
        start((out, flow) -> out.startAttempt(flow, id("s-1"), 0));
        tell(NOW + 999, new Event.AttemptNotStarted(7, 0));
        assertEquals(List.of(AttemptOutcome.NEVER_STARTED), module.told);
    }

    /** Its last byte may have waited in the kernel as long as its connection. */
    @Test
    void clientThatMayHaveWaitedUnseenHasItsFirstAttemptWithWhatIsSurelyLeft() {
        start((out, flow) -> out.startAttempt(flow, id("s-1"), 0));
        tell(NOW, new Event.RequestReceived(8, new ClientRequest("file", null, 1000, false, true, 600, "message")));
        assertEquals(395, reducer.timeLeftMs(NOW, 8, 0), 1e-6);
        assertEquals(1, reducer.timeLeftMs(NOW + 500, 8, 0), 1e-6, "it may still be waiting");
        assertEquals(0, reducer.timeLeftMs(NOW + 995, 8, 0));
        tell(NOW + 100, new Event.AttemptConnectionLost(8, 0));
        does(NOW + 100, out -> out.startAttempt(8, id("s-0"), 0));
        assertEquals(295, reducer.timeLeftMs(NOW + 100, 8, 1), 1e-6);
        assertEquals(0, reducer.timeLeftMs(NOW + 395, 8, 1), "a further one is not made beyond it");
    }

    @Test
    void longRequestIsToldNoMoreThanIfItHadBeenWholeWhenItWasSentAndMayBeginLater() {
        start((out, flow) -> out.startAttempt(flow, id("s-1"), 0));
        tell(NOW, new Event.RequestReceived(8, new ClientRequest("file", null, 1000, false, false, "message")));
        does(NOW, out -> out.startAttempt(8, id("s-0"), 0));
        assertEquals(495, reducer.timeLeftMs(NOW + 500, 8, 0), 1e-6);
        assertEquals(1, reducer.timeLeftMs(NOW + 4000, 8, 0), 1e-6);
        tell(NOW + 4000, new Event.RequestCompleted(8));
        assertEquals(1, reducer.timeLeftMs(NOW + 4100, 8, 0), 1e-6);
        assertEquals(0, reducer.timeLeftMs(NOW + 4995, 8, 0));
    }

    /** Its servers remember for so long what they have run; a write may come 150 ms later than decided. */
    @Test
    void repeatOfAKeyedRequestDoesNotOutlastTheWindowHoweverLateItsConnection() {
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
        start(Play.settings(1, 5, keyed), (out, flow) -> out.startAttempt(flow, id("s-0"), 0));
        tell(NOW + 10, new Event.AttemptWritten(7, 0));
        tell(NOW + 20, new Event.AttemptConnectionLost(7, 0));
        does(NOW + 30, out -> out.startAttempt(7, id("s-0"), 0));
        assertEquals(2, of(Effect.StartAttempt.class).size());
        assertTrue(reducer.timeLeftMs(NOW + 249, 7, 1) > 0);
        assertEquals(0, reducer.timeLeftMs(NOW + 250, 7, 1));
        tell(NOW + 260, new Event.AttemptNotStarted(7, 1));
        does(NOW + 260, out -> out.startAttempt(7, id("s-1"), 0));
        assertEquals(2, of(Effect.StartAttempt.class).size(), "nor is another begun");
        assertEquals(
                List.of(AttemptOutcome.RESET, AttemptOutcome.NEVER_STARTED, AttemptOutcome.NEVER_STARTED), module.told);
    }
}
