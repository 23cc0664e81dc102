package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.Event.ResponseKind;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.DeduplicationScope;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.core.balancing.RequestClass;
import brackenbridge.core.balancing.TenantShare;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Settings that change at random times, while requests are queued, in flight or between two attempts, amid streamed
 * bodies, drains and new endpoint lists. Guards against requests that are lost, answered twice or handled by other
 * rules than those in force at their receipt, and against leaked server capacity.
 */
class ChangingSettingsTest {
    private static final String[] CLASS_NAMES = {"a", "b", "c", "d"};

    /** The rules in force when a request was received. */
    private record InitialRules(RequestClass requestClass, int maxAttempts) {}

    private final Map<Long, InitialRules> initialRules = new HashMap<>();
    private final Map<Long, Integer> answerCounts = new HashMap<>();
    private final Map<Long, Integer> inFlight = new HashMap<>();
    private final Set<Long> written = new HashSet<>();
    private final Set<Long> mayHaveRun = new HashSet<>();
    private final Set<Long> disconnected = new HashSet<>();
    private final Set<Long> incomplete = new HashSet<>();
    private BalancerSettings settings;
    private int checkedEffects;
    private long version = 50;

    private static BalancerSettings settings(SplittableRandom random) {
        List<RequestClass> classes = new ArrayList<>();
        int first = random.nextInt(CLASS_NAMES.length);
        for (int i = 0, n = 1 + random.nextInt(CLASS_NAMES.length); i < n; i++) {
            long latencyObjective = 100_000 + random.nextInt(300_000);
            classes.add(new RequestClass(
                    CLASS_NAMES[(first + i) % CLASS_NAMES.length],
                    latencyObjective,
                    latencyObjective + random.nextInt(500_000),
                    random.nextBoolean()
                            ? brackenbridge.core.balancing.Idempotence.IDEMPOTENT
                            : brackenbridge.core.balancing.Idempotence.NOT_IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    false,
                    random.nextInt(4),
                    0.2));
        }
        List<TenantShare> tenants =
                random.nextBoolean() ? List.of() : List.of(new TenantShare("acme", 0.5, random.nextInt(3)));
        BalancerSettings base = ReducerHarness.settings(
                1 + random.nextInt(3), 1 + random.nextInt(5), classes.toArray(new RequestClass[0]));
        return new BalancerSettings(
                7,
                0,
                base.instanceCount(),
                0,
                random.nextBoolean() ? "room" : "other",
                classes,
                tenants,
                0.1,
                true,
                10_000_000,
                base.maxAttempts(),
                1 + random.nextInt(200),
                random.nextInt(2) * 1_000_000L,
                true,
                true,
                false,
                30_000_000,
                0.3,
                1_000_000,
                base.network());
    }

    private static boolean isIdempotent(InitialRules rules) {
        return rules.requestClass().idempotence() == brackenbridge.core.balancing.Idempotence.IDEMPOTENT;
    }

    /** Checks the effects since the previous call against the rules of their requests. */
    private void checkNewEffects(ReducerHarness harness) {
        for (; checkedEffects < harness.effects.size(); checkedEffects++) {
            Effect effect = harness.effects.get(checkedEffects);
            if (effect instanceof Effect.StartAttempt start) {
                InitialRules rules = initialRules.get(start.requestId());
                assertEquals(null, inFlight.put(start.requestId(), start.attempt()), "one attempt at a time");
                assertTrue(start.attempt() < rules.maxAttempts(), "more attempts than allowed at its receipt");
                assertTrue(
                        !mayHaveRun.contains(start.requestId()) || isIdempotent(rules),
                        "retry of a non-idempotent request that may have run");
                assertEquals(0, answerCounts.getOrDefault(start.requestId(), 0), "attempt of an answered request");
                written.remove(start.requestId());
            } else if (effect instanceof Effect.CancelAttempt cancel) {
                if (inFlight.remove(cancel.requestId(), cancel.attempt()) && written.contains(cancel.requestId())) {
                    mayHaveRun.add(cancel.requestId());
                }
            } else if (effect instanceof Effect.SendResponse send) {
                answerCounts.merge(send.requestId(), 1, Integer::sum);
            } else if (effect instanceof Effect.SendLocalReply send) {
                answerCounts.merge(send.requestId(), 1, Integer::sum);
                assertTrue(
                        send.reply() != Effect.LocalReply.REJECTED
                                || !mayHaveRun.contains(send.requestId())
                                || isIdempotent(initialRules.get(send.requestId())),
                        "rejected, but it may have run");
            } else if (effect instanceof Effect.ReportFault fault) {
                throw new AssertionError("fault", fault.cause());
            }
        }
    }

    private void openRequest(SplittableRandom random, ReducerHarness harness) {
        long id = 10_000 + initialRules.size();
        RequestClass requestClass =
                settings.classes().get(random.nextInt(settings.classes().size()));
        boolean complete = random.nextInt(6) > 0;
        initialRules.put(id, new InitialRules(requestClass, settings.maxAttempts()));
        if (!complete) {
            incomplete.add(id);
        }
        harness.send(new Event.RequestReceived(
                id,
                new ClientRequest(
                        requestClass.name(),
                        random.nextBoolean() ? "acme" : null,
                        random.nextInt(3) == 0 ? -1 : random.nextInt(600),
                        false,
                        complete,
                        "m")));
    }

    private void changeSettings(SplittableRandom random, ReducerHarness harness) {
        settings = settings(random);
        harness.send(new Event.Reconfigured(settings, new EndpointList(41, true, List.of()), random.nextInt(4) == 0));
    }

    private void changeEndpoints(SplittableRandom random, ReducerHarness harness) {
        List<ServerEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            if (random.nextInt(4) > 0) {
                endpoints.add(ReducerHarness.endpoint(
                        "s-" + i, random.nextInt(5) > 0 ? EndpointState.UP : EndpointState.DRAINING));
            }
        }
        harness.send(new Event.EndpointListInherited(new EndpointList(version++, true, endpoints)));
    }

    private void advanceAttempt(SplittableRandom random, ReducerHarness harness, long requestId) {
        Integer number = inFlight.get(requestId);
        if (number == null) {
            return;
        }
        if (!written.contains(requestId) && random.nextBoolean() && !incomplete.contains(requestId)) {
            written.add(requestId);
            harness.send(new Event.AttemptWritten(requestId, number));
            return;
        }
        inFlight.remove(requestId);
        if (!written.contains(requestId) || random.nextInt(3) == 0) {
            if (written.contains(requestId)) {
                mayHaveRun.add(requestId);
            }
            harness.send(new Event.AttemptConnectionLost(requestId, number));
        } else {
            ResponseKind reply = ResponseKind.values()[random.nextInt(4)];
            if (reply == ResponseKind.ERROR) {
                mayHaveRun.add(requestId);
            }
            harness.send(new Event.ResponseReceived(requestId, number, reply, "b", null));
        }
    }

    @Property(seed = "77", tries = 300)
    void everyRequestKeepsItsRulesAndGetsOneAnswer(@ForAll long seed) {
        initialRules.clear();
        answerCounts.clear();
        inFlight.clear();
        written.clear();
        mayHaveRun.clear();
        disconnected.clear();
        incomplete.clear();
        checkedEffects = 0;
        SplittableRandom random = new SplittableRandom(seed);
        ReducerHarness harness = new ReducerHarness(3, 2);
        settings = harness.settings;
        for (int i = 0; i < 250; i++) {
            long requestId = 10_000 + (initialRules.isEmpty() ? 0 : random.nextInt(initialRules.size()));
            switch (random.nextInt(12)) {
                case 0, 1, 2, 3 -> openRequest(random, harness);
                case 4, 5, 6 -> {
                    List<Long> requestIds = new ArrayList<>(inFlight.keySet());
                    if (!requestIds.isEmpty()) {
                        advanceAttempt(random, harness, requestIds.get(random.nextInt(requestIds.size())));
                    }
                }
                case 7 -> {
                    if (incomplete.remove(requestId)) {
                        harness.send(new Event.RequestCompleted(requestId));
                    } else if (random.nextInt(3) == 0
                            && answerCounts.getOrDefault(requestId, 0) == 0
                            && initialRules.containsKey(requestId)) {
                        disconnected.add(requestId);
                        harness.send(new Event.ClientDisconnected(requestId));
                    }
                }
                case 8 -> changeSettings(random, harness);
                case 9 -> changeEndpoints(random, harness);
                case 10 -> harness.send(new Event.DrainRequested(random.nextInt(4) == 0));
                default -> harness.advance(random.nextInt(80));
            }
            checkNewEffects(harness);
        }
        harness.send(new Event.DrainRequested(false));
        incomplete.forEach(requestId -> harness.send(new Event.RequestCompleted(requestId)));
        harness.advance(9000);
        checkNewEffects(harness);
        initialRules
                .keySet()
                .forEach(requestId -> assertEquals(
                        disconnected.contains(requestId) ? 0 : 1,
                        answerCounts.getOrDefault(requestId, 0),
                        (disconnected.contains(requestId) ? "disconnected client, request " : "request ") + requestId));
        assertTrue(inFlight.isEmpty(), "attempts still in flight: " + inFlight);
        assertEveryServerIsAvailable(harness);
    }

    /** Checks that sequential requests start at once and reach every server. */
    private void assertEveryServerIsAvailable(ReducerHarness harness) {
        settings = ReducerHarness.settings(1, 5, ReducerHarness.VIEW);
        harness.send(new Event.Reconfigured(settings, new EndpointList(41, true, List.of()), false));
        List<ServerEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            ServerEndpoint endpoint = ReducerHarness.endpoint("s-" + i, EndpointState.UP);
            endpoints.add(new ServerEndpoint(
                    endpoint.host(),
                    endpoint.address(),
                    endpoint.zone(),
                    endpoint.cell(),
                    1,
                    harness.clock.nowMs(),
                    endpoint.state()));
        }
        harness.send(new Event.EndpointListInherited(new EndpointList(version++, true, endpoints)));
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            long requestId = harness.open(ReducerHarness.VIEW, 5000);
            assertEquals(1, harness.attempts(requestId).size(), "started at once");
            used.add(harness.attempts(requestId).get(0).host());
            harness.send(new Event.AttemptWritten(requestId, 0)).advance(5);
            harness.send(new Event.ResponseReceived(requestId, 0, ResponseKind.SERVED, "b", null));
        }
        assertEquals(5, used.size(), "servers in use");
    }
}
