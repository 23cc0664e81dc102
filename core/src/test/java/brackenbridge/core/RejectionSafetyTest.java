package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.Effect.LocalReply;
import brackenbridge.core.Event.ResponseKind;
import brackenbridge.core.balancing.DeduplicationScope;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.core.balancing.Idempotence;
import brackenbridge.core.balancing.RequestClass;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/**
 * A rejection tells the client that its request has not run. Whatever happens to an attempt whose last byte was
 * written, its request is neither rejected nor sent again, unless its class or its server's response allows it.
 */
class RejectionSafetyTest {
    private static final RequestClass KEYED = new RequestClass(
            "keyed",
            3_000_000,
            6_000_000,
            Idempotence.IDEMPOTENCY_KEY,
            DeduplicationScope.ZONE,
            500_000,
            false,
            10,
            0.25);
    private static final int STEPS = 120;
    private static final int SERVERS = 4;

    /** What servers and clients know of one request. */
    private static final class ObservedRequest {
        final long id;
        final RequestClass requestClass;
        boolean complete;
        boolean bodyReleased;
        boolean mayHaveRun;
        /** The attempt in flight; negative if there is none. */
        int attempt = -1;

        boolean written;

        ObservedRequest(long id, RequestClass requestClass, boolean complete) {
            this.id = id;
            this.requestClass = requestClass;
            this.complete = complete;
        }

        void endAttempt(boolean neverRan) {
            mayHaveRun |= written && !neverRan;
            attempt = -1;
            written = false;
        }
    }

    private final List<ObservedRequest> requests = new ArrayList<>();
    private ReducerHarness harness;
    private SplittableRandom random;
    private int effectsSeen;
    private long listVersion = 41;

    private void send(Event event) {
        harness.send(event);
        observe();
    }

    /** Checks the effects since the last call, in their order. */
    private void observe() {
        for (; effectsSeen < harness.effects.size(); effectsSeen++) {
            Effect effect = harness.effects.get(effectsSeen);
            if (effect instanceof Effect.StartAttempt start) {
                ObservedRequest request = requests.get((int) start.requestId());
                assertTrue(request.attempt < 0, "two attempts at once of " + request.id);
                assertTrue(
                        !request.mayHaveRun || request.requestClass.idempotence() != Idempotence.NOT_IDEMPOTENT,
                        "request " + request.id + " is sent again although it may have run");
                request.attempt = start.attempt();
            } else if (effect instanceof Effect.CancelAttempt cancel) {
                requests.get((int) cancel.requestId()).endAttempt(false);
            } else if (effect instanceof Effect.SendLocalReply reply && reply.reply() == LocalReply.REJECTED) {
                ObservedRequest request = requests.get((int) reply.requestId());
                boolean mayHaveRun = request.mayHaveRun || request.written;
                assertTrue(
                        !mayHaveRun || request.requestClass.idempotence() == Idempotence.IDEMPOTENT,
                        "request " + request.id + " is rejected although it may have run");
            }
        }
    }

    private void open() {
        RequestClass[] classes = {ReducerHarness.VIEW, ReducerHarness.FILE, ReducerHarness.FILE, KEYED};
        RequestClass requestClass = classes[random.nextInt(classes.length)];
        boolean complete = random.nextInt(3) > 0;
        ObservedRequest request = new ObservedRequest(requests.size(), requestClass, complete);
        requests.add(request);
        send(new Event.RequestReceived(
                request.id,
                new ClientRequest(requestClass.name(), null, random.nextInt(50, 3000), false, complete, "message")));
    }

    /** A step of the request's client or of its attempt in flight. */
    private void stepOf(ObservedRequest request) {
        if (!request.complete) {
            stepOfIncomplete(request);
        } else if (request.attempt >= 0) {
            stepOfAttempt(request);
        } else if (random.nextInt(4) == 0) {
            send(new Event.ClientPresenceUnknown(request.id));
        }
    }

    private void stepOfIncomplete(ObservedRequest request) {
        switch (random.nextInt(5)) {
            case 0 -> {
                request.bodyReleased = true;
                send(new Event.RequestBodyReleased(request.id));
            }
            case 1 -> send(new Event.ClientPresenceUnknown(request.id));
            case 2 -> send(new Event.ClientDisconnected(request.id));
            default -> {
                request.complete = true;
                boolean writtenFirst = request.attempt >= 0 && request.bodyReleased;
                if (writtenFirst) {
                    request.written = true;
                    send(new Event.AttemptWritten(request.id, request.attempt));
                }
                send(new Event.RequestCompleted(request.id));
            }
        }
    }

    private void stepOfAttempt(ObservedRequest request) {
        int attempt = request.attempt;
        if (!request.written) {
            switch (random.nextInt(6)) {
                case 0 -> endUnwritten(request, new Event.AttemptConnectionLost(request.id, attempt));
                case 1 -> endUnwritten(request, new Event.AttemptNotStarted(request.id, attempt));
                case 2 -> endUnwritten(request, new Event.AttemptFailedLocally(request.id, attempt));
                case 3 -> send(new Event.ClientPresenceUnknown(request.id));
                default -> {
                    request.written = true;
                    send(new Event.AttemptWritten(request.id, attempt));
                }
            }
            return;
        }
        switch (random.nextInt(7)) {
            case 0 -> {
                request.endAttempt(false);
                send(new Event.AttemptConnectionLost(request.id, attempt));
            }
            case 1 -> send(new Event.ClientPresenceUnknown(request.id));
            case 2 -> send(new Event.ClientDisconnected(request.id));
            case 3 -> respond(request, attempt, ResponseKind.SERVER_FULL);
            case 4 -> respond(request, attempt, ResponseKind.ERROR);
            case 5 -> respond(request, attempt, ResponseKind.SERVED);
            default -> advance(random.nextInt(1, 1500));
        }
    }

    private void endUnwritten(ObservedRequest request, Event outcome) {
        request.endAttempt(true);
        send(outcome);
    }

    private void respond(ObservedRequest request, int attempt, ResponseKind kind) {
        request.endAttempt(kind == ResponseKind.SERVER_FULL);
        send(new Event.ResponseReceived(request.id, attempt, kind, "body", null));
    }

    private void advance(double ms) {
        harness.advance(ms);
        observe();
    }

    /** A list in which one server is up, drains or is left out. */
    private void changeList() {
        List<ServerEndpoint> endpoints = new ArrayList<>();
        int changed = random.nextInt(SERVERS);
        for (int i = 0; i < SERVERS; i++) {
            boolean drains = i == changed && random.nextBoolean();
            if (i != changed || drains) {
                endpoints.add(ReducerHarness.endpoint("s-" + i, drains ? EndpointState.DRAINING : EndpointState.UP));
            }
        }
        send(new Event.Reconfigured(
                ReducerHarness.settings(1, random.nextInt(1, 5), ReducerHarness.VIEW, ReducerHarness.FILE, KEYED),
                new EndpointList(++listVersion, true, endpoints),
                false));
    }

    @Property(tries = 400, seed = "64")
    void requestThatMayHaveRunIsNeitherRejectedNorSentAgain(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        random = new SplittableRandom(seed);
        requests.clear();
        effectsSeen = 0;
        harness = new ReducerHarness(SERVERS, 1, ReducerHarness.VIEW, ReducerHarness.FILE, KEYED);
        int stopAt = random.nextInt(STEPS * 2);
        for (int step = 0; step < STEPS; step++) {
            int choice = random.nextInt(10);
            if (step == stopAt) {
                send(new Event.StopRequested());
            } else if (choice < 3 || requests.isEmpty()) {
                open();
            } else if (choice == 3) {
                changeList();
            } else if (choice == 4) {
                advance(random.nextInt(1, 400));
            } else {
                stepOf(requests.get(random.nextInt(Math.max(0, requests.size() - 8), requests.size())));
            }
        }
        advance(20_000);
        assertEquals(0, harness.effects(Effect.ReportFault.class).size());
    }
}
