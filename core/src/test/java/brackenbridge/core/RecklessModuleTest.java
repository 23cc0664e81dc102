package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.Effect.Fixed;
import brackenbridge.core.Event.Reply;
import brackenbridge.core.balancing.BalancerApi;
import brackenbridge.core.balancing.BalancerApi.Actions;
import brackenbridge.core.balancing.BalancerApi.Endpoint;
import brackenbridge.core.balancing.BalancerApi.EndpointState;
import brackenbridge.core.balancing.BalancerApi.ListKind;
import brackenbridge.core.balancing.BalancerApi.Outcome;
import brackenbridge.core.balancing.BalancerApi.Report;
import brackenbridge.core.balancing.BalancerApi.Request;
import brackenbridge.core.balancing.BalancerApi.RequestClass;
import brackenbridge.core.balancing.BalancerApi.Settings;
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
        final Actions out;
        final BiConsumer<Actions, Long> with;
        final List<Outcome> told = new ArrayList<>();
        Runnable next;
        /** From now on it faults at whatever it is told of a flow's progress. */
        boolean faults;

        Reckless(Actions out, BiConsumer<Actions, Long> with) {
            this.out = out;
            this.with = with;
        }

        @Override
        public void onList(long now, ListKind kind, List<Endpoint> entries) {}

        @Override
        public void onRequest(long now, Request request) {
            with.accept(out, request.id());
        }

        @Override
        public void onFirstByte(long now, long request, int attempt) {}

        @Override
        public void onOutcome(
                long now, long request, int attempt, boolean ended, Outcome outcome, long latency, Report report) {
            told.add(outcome);
            faultIfWanted();
        }

        @Override
        public void onGone(long now, long request) {
            faultIfWanted();
        }

        @Override
        public void onWhole(long now, long request) {
            faultIfWanted();
        }

        @Override
        public long retryAfter() {
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

    private void start(BiConsumer<Actions, Long> with) {
        start(Play.settings(1, 3, Play.VIEW, Play.FILE), with);
    }

    private void start(Settings rules, BiConsumer<Actions, Long> with) {
        reducer = new Reducer(rules, new Counters(), (settings, actions) -> module = new Reckless(actions, with));
        tell(
                NOW,
                new Event.Started(new EndpointList(
                        1, true, List.of(Play.target("s-0", EndpointState.UP), Play.target("s-1", EndpointState.UP)))));
        tell(NOW, new Event.FlowOpened(7, new ClientRequest("file", null, 1000, false, true, "message")));
    }

    private void tell(double now, Event event) {
        effects.addAll(reducer.reduce(now, event));
    }

    /** The module does this at its next timer. */
    private void does(double now, Consumer<Actions> what) {
        module.next = () -> what.accept(module.out);
        tell(now, new Event.TimerFired(new TimerKey.Module("next")));
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
            out.send(flow, id("s-0"), 900_000);
            out.send(flow, id("s-1"), 900_000);
        });
        assertEquals(1, of(Effect.Forward.class).size());
        assertEquals(List.of(Outcome.MOOT), module.told);
    }

    @Test
    void forwardForAClientThatIsGoneOrHiddenNeverBegins() {
        for (Event end : List.of(new Event.FlowGone(7), new Event.ClientHidden(7))) {
            start((out, flow) -> {});
            tell(NOW + 1, end);
            does(NOW + 2, out -> out.send(7, id("s-0"), 900_000));
        }
        assertEquals(List.of(), of(Effect.Forward.class), "first");
        start((out, flow) -> out.send(flow, id("s-0"), 900_000));
        tell(NOW + 1, new Event.ForwardWritten(7, 0));
        tell(NOW + 2, new Event.FlowGone(7));
        does(NOW + 3, out -> out.send(7, id("s-1"), 900_000));
        assertEquals(1, of(Effect.Forward.class).size(), "or further");
    }

    @Test
    void secondAnswerIsNeverGiven() {
        start((out, flow) -> {
            out.refuse(flow, 1000);
            out.refuse(flow, 1000);
            out.fail(flow);
        });
        assertEquals(
                List.of(Fixed.REFUSED),
                of(Effect.FixedResponse.class).stream().map(r -> r.kind()).toList());
        start((out, flow) -> {
            out.send(flow, id("s-0"), 900_000);
            out.fail(flow);
            out.fail(flow);
            out.refuse(flow, 1000);
        });
        assertEquals(
                List.of(Fixed.REFUSED, Fixed.FAILED),
                of(Effect.FixedResponse.class).stream().map(r -> r.kind()).toList(),
                "also while its forward is out");
        tell(NOW + 1, new Event.ForwardWritten(7, 0));
        tell(NOW + 2, new Event.ForwardAnswered(7, 0, Reply.SERVED, "body", null));
        assertEquals(List.of(), of(Effect.Respond.class), "it has failed already");
    }

    @Test
    void moreForwardsThanAreAllowedNeverBegin() {
        start((out, flow) -> out.send(flow, id("s-0"), 900_000));
        for (int i = 0; i < 5; i++) {
            tell(NOW + i, new Event.ForwardBroken(7, i));
            does(NOW + i, out -> out.send(7, id("s-1"), 900_000));
        }
        assertEquals(
                List.of(0, 1, 2),
                of(Effect.Forward.class).stream().map(Effect.Forward::forward).toList());
    }

    @Test
    void forwardToNobodyOrAfterTheDeadlineNeverBegins() {
        start((out, flow) -> out.send(flow, 12345, 900_000));
        assertEquals(List.of(), of(Effect.Forward.class));
        does(NOW + 996, out -> out.send(7, id("s-0"), 900_000));
        assertEquals(List.of(), of(Effect.Forward.class));
        assertEquals(List.of(Outcome.MOOT, Outcome.MOOT), module.told);
    }

    @Test
    void moduleThatForgetsOrFaultsStillAnswersAtTheDeadline() {
        start((out, flow) -> {
            throw new IllegalStateException("a fault in a decision");
        });
        assertEquals(1, of(Effect.Fault.class).size());
        assertTrue(of(Effect.FixedResponse.class).isEmpty());
        tell(NOW + 995, new Event.TimerFired(new TimerKey.Deadline(7)));
        assertEquals(
                List.of(Fixed.REFUSED),
                of(Effect.FixedResponse.class).stream().map(r -> r.kind()).toList());
    }

    private List<Fixed> fixed(long flow) {
        return of(Effect.FixedResponse.class).stream()
                .filter(r -> r.flow() == flow)
                .map(Effect.FixedResponse::kind)
                .toList();
    }

    @Test
    void moduleThatFaultsAtTheOutcomeOfADeadlineLeavesNoFlowUnanswered() {
        start((out, flow) -> out.send(flow, id("s-0"), 0));
        tell(NOW + 1, new Event.ForwardWritten(7, 0));
        module.faults = true;
        tell(NOW + 995, new Event.TimerFired(new TimerKey.Deadline(7)));
        assertEquals(List.of(Fixed.TIMED_OUT), fixed(7));
        assertEquals(List.of(new Effect.CancelForward(7, 0)), of(Effect.CancelForward.class));
    }

    @Test
    void moduleThatFaultsAtAStopLeavesNoFlowUnanswered() {
        start((out, flow) -> out.send(flow, id("s-0"), 0));
        for (long flow = 8; flow < 12; flow++) {
            tell(NOW, new Event.FlowOpened(flow, new ClientRequest("file", null, 9000, false, true, "message")));
        }
        tell(NOW + 1, new Event.ForwardWritten(7, 0));
        module.faults = true;
        tell(NOW + 2, new Event.StopAsked());
        tell(NOW + 900, new Event.TimerFired(new TimerKey.StopLimit()));
        assertEquals(List.of(Fixed.TIMED_OUT), fixed(7));
        for (long flow = 8; flow < 12; flow++) {
            assertEquals(List.of(Fixed.REFUSED), fixed(flow), "flow " + flow);
        }
    }

    @Test
    void moduleThatCanNotAdviseARetryStillRefuses() {
        start((out, flow) -> {});
        module.faults = true;
        tell(NOW + 995, new Event.TimerFired(new TimerKey.Deadline(7)));
        assertEquals(List.of(Fixed.REFUSED), fixed(7));
    }

    @Test
    void moduleThatFaultsWhenABodyIsWholeStillAnswersAtTheDeadline() {
        start((out, flow) -> {});
        tell(NOW, new Event.FlowOpened(8, new ClientRequest("file", null, 1000, false, false, "part")));
        module.faults = true;
        effects.clear();
        tell(NOW + 5000, new Event.FlowWhole(8));
        assertTrue(of(Effect.SetTimer.class).contains(new Effect.SetTimer(NOW + 5995, new TimerKey.Deadline(8))));
    }

    @Test
    void forwardOfAGoneClientIsCalledOffAlsoIfTheModuleFaults() {
        start((out, flow) -> out.send(flow, id("s-0"), 0));
        tell(NOW + 1, new Event.ForwardWritten(7, 0));
        module.faults = true;
        tell(NOW + 2, new Event.FlowGone(7));
        assertEquals(List.of(new Effect.CancelForward(7, 0)), of(Effect.CancelForward.class));
    }

    @Test
    void whatMayHaveRunIsNeverRefusedAtTheDeadlineEvenIfTheModuleForgetsIt() {
        start((out, flow) -> out.send(flow, id("s-0"), 900_000));
        tell(NOW + 1, new Event.ForwardWritten(7, 0));
        tell(NOW + 2, new Event.ForwardBroken(7, 0));
        tell(NOW + 995, new Event.TimerFired(new TimerKey.Deadline(7)));
        assertEquals(
                List.of(Fixed.TIMED_OUT),
                of(Effect.FixedResponse.class).stream().map(r -> r.kind()).toList());
    }

    @Test
    void hostThatDrainsGetsNothingAfterHalfOfItsGrace() {
        start((out, flow) -> {});
        tell(NOW, new Event.Inherited(new EndpointList(2, true, List.of(Play.target("s-1", EndpointState.UP)))));
        long watch = of(Effect.Watch.class).get(0).call();
        tell(
                NOW + 1,
                new Event.TargetsTold(
                        watch, new EndpointList(3, true, List.of(Play.target("s-1", EndpointState.DRAINING)))));
        tell(NOW + 240, new Event.FlowOpened(8, new ClientRequest("file", null, 1000, false, true, "message")));
        does(NOW + 240, out -> out.send(8, id("s-1"), 900_000));
        does(NOW + 255, out -> out.send(7, id("s-1"), 900_000));
        assertEquals(
                List.of(8L),
                of(Effect.Forward.class).stream().map(Effect.Forward::flow).toList());
        assertEquals(List.of(Outcome.MOOT), module.told);
    }

    @Test
    void forwardThatWaitsForItsConnectionAtTheEndOfTheGraceIsCalledOff() {
        start((out, flow) -> out.send(flow, id("s-1"), 900_000));
        tell(NOW, new Event.Inherited(new EndpointList(2, true, List.of(Play.target("s-1", EndpointState.DRAINING)))));
        tell(NOW + 250, new Event.TimerFired(new TimerKey.DrainCutoff("s-1")));
        assertEquals(List.of(new Effect.CancelForward(7, 0)), of(Effect.CancelForward.class));
        assertEquals(List.of(Outcome.CONNECT_FAILED), module.told);
    }

    private void startDraining(String host) {
        tell(NOW, new Event.Inherited(new EndpointList(2, true, List.of(Play.target(host, EndpointState.UP)))));
        long watch = of(Effect.Watch.class).get(0).call();
        tell(
                NOW,
                new Event.TargetsTold(
                        watch, new EndpointList(3, true, List.of(Play.target(host, EndpointState.DRAINING)))));
    }

    @Test
    void forwardIsToldWhatIsLeftWhenItIsWritten() {
        start((out, flow) -> out.send(flow, id("s-1"), 900_000));
        assertEquals(900, reducer.timeLeftMs(NOW, 7, 0), 1e-6);
        assertEquals(300, reducer.timeLeftMs(NOW + 600, 7, 0), 1e-6);
        assertEquals(0, reducer.timeLeftMs(NOW + 900, 7, 0), "the module gives it up then");
        assertEquals(0, reducer.timeLeftMs(NOW, 7, 1), "one that is not out");
        assertEquals(0, reducer.timeLeftMs(NOW, 8, 0), "of a flow that is not open");
    }

    @Test
    void nothingIsLeftForAForwardToAHostWhoseGraceIsOver() {
        start((out, flow) -> out.send(flow, id("s-1"), 0));
        startDraining("s-1");
        assertEquals(995 - 249, reducer.timeLeftMs(NOW + 249, 7, 0), 1e-6);
        assertEquals(0, reducer.timeLeftMs(NOW + 250, 7, 0), "though its timer has not fired");
        tell(NOW + 251, new Event.ForwardNotBegun(7, 0));
        assertEquals(List.of(Outcome.CONNECT_FAILED), module.told, "it may go elsewhere");
    }

    @Test
    void forwardThatMustNotBeginHasNeverRun() {
        start((out, flow) -> out.send(flow, id("s-1"), 0));
        tell(NOW + 999, new Event.ForwardNotBegun(7, 0));
        assertEquals(List.of(Outcome.MOOT), module.told);
    }

    /** Its last byte may have waited in the kernel as long as its connection. */
    @Test
    void clientThatMayHaveWaitedUnseenHasItsFirstAttemptWithWhatIsSurelyLeft() {
        start((out, flow) -> out.send(flow, id("s-1"), 0));
        tell(NOW, new Event.FlowOpened(8, new ClientRequest("file", null, 1000, false, true, 600, "message")));
        assertEquals(395, reducer.timeLeftMs(NOW, 8, 0), 1e-6);
        assertEquals(1, reducer.timeLeftMs(NOW + 500, 8, 0), 1e-6, "it may still be waiting");
        assertEquals(0, reducer.timeLeftMs(NOW + 995, 8, 0));
        tell(NOW + 100, new Event.ForwardBroken(8, 0));
        does(NOW + 100, out -> out.send(8, id("s-0"), 0));
        assertEquals(295, reducer.timeLeftMs(NOW + 100, 8, 1), 1e-6);
        assertEquals(0, reducer.timeLeftMs(NOW + 395, 8, 1), "a further one is not made beyond it");
    }

    @Test
    void longRequestIsToldNoMoreThanIfItHadBeenWholeWhenItWasSentAndMayBeginLater() {
        start((out, flow) -> out.send(flow, id("s-1"), 0));
        tell(NOW, new Event.FlowOpened(8, new ClientRequest("file", null, 1000, false, false, "message")));
        does(NOW, out -> out.send(8, id("s-0"), 0));
        assertEquals(495, reducer.timeLeftMs(NOW + 500, 8, 0), 1e-6);
        assertEquals(1, reducer.timeLeftMs(NOW + 4000, 8, 0), 1e-6);
        tell(NOW + 4000, new Event.FlowWhole(8));
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
                BalancerApi.Effect.KEYED,
                BalancerApi.DedupScope.ALL,
                400_000,
                false,
                1,
                0);
        start(Play.settings(1, 5, keyed), (out, flow) -> out.send(flow, id("s-0"), 0));
        tell(NOW + 10, new Event.ForwardWritten(7, 0));
        tell(NOW + 20, new Event.ForwardBroken(7, 0));
        does(NOW + 30, out -> out.send(7, id("s-0"), 0));
        assertEquals(2, of(Effect.Forward.class).size());
        assertTrue(reducer.timeLeftMs(NOW + 249, 7, 1) > 0);
        assertEquals(0, reducer.timeLeftMs(NOW + 250, 7, 1));
        tell(NOW + 260, new Event.ForwardNotBegun(7, 1));
        does(NOW + 260, out -> out.send(7, id("s-1"), 0));
        assertEquals(2, of(Effect.Forward.class).size(), "nor is another begun");
        assertEquals(List.of(Outcome.RESET, Outcome.MOOT, Outcome.MOOT), module.told);
    }
}
