package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.Event.ServerReply;
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
 * Settings that change at any moment, among random events: while calls wait in a server's queues, are out, or lie
 * between two attempts, with long bodies, drains and lists in between. No flow is lost, none is answered twice, each
 * keeps the rules that it began under, and in the end every server is free again.
 */
class ChangingSettingsTest {
    private static final String[] NAMES = {"a", "b", "c", "d"};

    /** What a flow was promised when it came. */
    private record Promise(RequestClass under, int attempts) {}

    private final Map<Long, Promise> promises = new HashMap<>();
    private final Map<Long, Integer> answers = new HashMap<>();
    private final Map<Long, Integer> out = new HashMap<>();
    private final Set<Long> written = new HashSet<>();
    private final Set<Long> ran = new HashSet<>();
    private final Set<Long> gone = new HashSet<>();
    private final Set<Long> coming = new HashSet<>();
    private BalancerSettings settings;
    private int seen;
    private long version = 50;

    private static BalancerSettings settings(SplittableRandom r) {
        List<RequestClass> classes = new ArrayList<>();
        int first = r.nextInt(NAMES.length);
        for (int i = 0, n = 1 + r.nextInt(NAMES.length); i < n; i++) {
            long aim = 100_000 + r.nextInt(300_000);
            classes.add(new RequestClass(
                    NAMES[(first + i) % NAMES.length],
                    aim,
                    aim + r.nextInt(500_000),
                    r.nextBoolean()
                            ? brackenbridge.core.balancing.Idempotence.IDEMPOTENT
                            : brackenbridge.core.balancing.Idempotence.NOT_IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    false,
                    r.nextInt(4),
                    0.2));
        }
        List<TenantShare> tenants = r.nextBoolean() ? List.of() : List.of(new TenantShare("acme", 0.5, r.nextInt(3)));
        BalancerSettings s = Play.settings(1 + r.nextInt(3), 1 + r.nextInt(5), classes.toArray(new RequestClass[0]));
        return new BalancerSettings(
                7,
                0,
                s.instanceCount(),
                0,
                r.nextBoolean() ? "room" : "other",
                classes,
                tenants,
                0.1,
                true,
                10_000_000,
                s.maxAttempts(),
                1 + r.nextInt(200),
                r.nextInt(2) * 1_000_000L,
                true,
                true,
                false,
                30_000_000,
                0.3,
                1_000_000,
                s.network());
    }

    private static boolean isSafe(Promise promise) {
        return promise.under().idempotence() == brackenbridge.core.balancing.Idempotence.IDEMPOTENT;
    }

    /** Holds what the node has done since the last look against what it promised. */
    private void look(Play p) {
        for (; seen < p.effects.size(); seen++) {
            Effect e = p.effects.get(seen);
            if (e instanceof Effect.StartAttempt f) {
                Promise promise = promises.get(f.requestId());
                assertEquals(null, out.put(f.requestId(), f.attempt()), "one forward at a time");
                assertTrue(f.attempt() < promise.attempts(), "more attempts than it began with");
                assertTrue(!ran.contains(f.requestId()) || isSafe(promise), "unsafe, and may have run");
                assertEquals(0, answers.getOrDefault(f.requestId(), 0), "it has its answer");
                written.remove(f.requestId());
            } else if (e instanceof Effect.CancelAttempt c) {
                if (out.remove(c.requestId(), c.attempt()) && written.contains(c.requestId())) {
                    ran.add(c.requestId());
                }
            } else if (e instanceof Effect.SendResponse a) {
                answers.merge(a.requestId(), 1, Integer::sum);
            } else if (e instanceof Effect.SendLocalReply a) {
                answers.merge(a.requestId(), 1, Integer::sum);
                assertTrue(
                        a.reply() != Effect.LocalReply.REJECTED
                                || !ran.contains(a.requestId())
                                || isSafe(promises.get(a.requestId())),
                        "refused, but it may have run");
            } else if (e instanceof Effect.Fault f) {
                throw new AssertionError("fault", f.cause());
            }
        }
    }

    private void open(SplittableRandom r, Play p) {
        long id = 10_000 + promises.size();
        RequestClass c = settings.classes().get(r.nextInt(settings.classes().size()));
        boolean whole = r.nextInt(6) > 0;
        promises.put(id, new Promise(c, settings.maxAttempts()));
        if (!whole) {
            coming.add(id);
        }
        p.tell(new Event.RequestReceived(
                id,
                new ClientRequest(
                        c.name(),
                        r.nextBoolean() ? "acme" : null,
                        r.nextInt(3) == 0 ? -1 : r.nextInt(600),
                        false,
                        whole,
                        "m")));
    }

    private void change(SplittableRandom r, Play p) {
        settings = settings(r);
        p.tell(new Event.Reconfigured(settings, new EndpointList(41, true, List.of()), r.nextInt(4) == 0));
    }

    private void list(SplittableRandom r, Play p) {
        List<ServerEndpoint> targets = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            if (r.nextInt(4) > 0) {
                targets.add(Play.target("s-" + i, r.nextInt(5) > 0 ? EndpointState.UP : EndpointState.DRAINING));
            }
        }
        p.tell(new Event.EndpointListInherited(new EndpointList(version++, true, targets)));
    }

    private void forward(SplittableRandom r, Play p, long f) {
        Integer number = out.get(f);
        if (number == null) {
            return;
        }
        if (!written.contains(f) && r.nextBoolean() && !coming.contains(f)) {
            written.add(f);
            p.tell(new Event.AttemptWritten(f, number));
            return;
        }
        out.remove(f);
        if (!written.contains(f) || r.nextInt(3) == 0) {
            if (written.contains(f)) {
                ran.add(f);
            }
            p.tell(new Event.AttemptConnectionLost(f, number));
        } else {
            ServerReply reply = ServerReply.values()[r.nextInt(4)];
            if (reply == ServerReply.ERROR) {
                ran.add(f);
            }
            p.tell(new Event.AttemptAnswered(f, number, reply, "b", null));
        }
    }

    @Property(seed = "77", tries = 300)
    void everyFlowKeepsItsRulesAndGetsItsOneAnswer(@ForAll long seed) {
        promises.clear();
        answers.clear();
        out.clear();
        written.clear();
        ran.clear();
        gone.clear();
        coming.clear();
        seen = 0;
        SplittableRandom r = new SplittableRandom(seed);
        Play p = new Play(3, 2);
        settings = p.settings;
        for (int i = 0; i < 250; i++) {
            long f = 10_000 + (promises.isEmpty() ? 0 : r.nextInt(promises.size()));
            switch (r.nextInt(12)) {
                case 0, 1, 2, 3 -> open(r, p);
                case 4, 5, 6 -> {
                    List<Long> busy = new ArrayList<>(out.keySet());
                    if (!busy.isEmpty()) {
                        forward(r, p, busy.get(r.nextInt(busy.size())));
                    }
                }
                case 7 -> {
                    if (coming.remove(f)) {
                        p.tell(new Event.RequestCompleted(f));
                    } else if (r.nextInt(3) == 0 && answers.getOrDefault(f, 0) == 0 && promises.containsKey(f)) {
                        gone.add(f);
                        p.tell(new Event.ClientDisconnected(f));
                    }
                }
                case 8 -> change(r, p);
                case 9 -> list(r, p);
                case 10 -> p.tell(new Event.DrainRequested(r.nextInt(4) == 0));
                default -> p.pass(r.nextInt(80));
            }
            look(p);
        }
        p.tell(new Event.DrainRequested(false));
        coming.forEach(f -> p.tell(new Event.RequestCompleted(f)));
        p.pass(9000);
        look(p);
        promises.keySet()
                .forEach(f -> assertEquals(
                        gone.contains(f) ? 0 : 1, answers.getOrDefault(f, 0), (gone.contains(f) ? "gone " : "") + f));
        assertTrue(out.isEmpty(), "forwards that are still out: " + out);
        freeAgain(p);
    }

    /** Every server has room again: one call after the other finds one at once, and none is forgotten. */
    private void freeAgain(Play p) {
        settings = Play.settings(1, 5, Play.VIEW);
        p.tell(new Event.Reconfigured(settings, new EndpointList(41, true, List.of()), false));
        List<ServerEndpoint> targets = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            ServerEndpoint t = Play.target("s-" + i, EndpointState.UP);
            targets.add(new ServerEndpoint(t.host(), t.address(), t.zone(), t.cell(), 1, p.clock.nowMs(), t.state()));
        }
        p.tell(new Event.EndpointListInherited(new EndpointList(version++, true, targets)));
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            long f = p.open(Play.VIEW, 5000);
            assertEquals(1, p.forwards(f).size(), "sent at once");
            used.add(p.forwards(f).get(0).host());
            p.tell(new Event.AttemptWritten(f, 0)).pass(5);
            p.tell(new Event.AttemptAnswered(f, 0, ServerReply.SERVED, "b", null));
        }
        assertEquals(5, used.size(), "servers that take turns");
    }
}
