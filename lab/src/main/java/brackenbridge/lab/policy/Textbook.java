package brackenbridge.lab.policy;

import brackenbridge.core.balancing.AttemptOutcome;
import brackenbridge.core.balancing.BalancerActions;
import brackenbridge.core.balancing.BalancerApi;
import brackenbridge.core.balancing.BalancerRequest;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.Endpoint;
import brackenbridge.core.balancing.EndpointListKind;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.core.balancing.Idempotence;
import brackenbridge.core.balancing.LoadReport;
import brackenbridge.core.balancing.RequestClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What all compared policies share, so that they differ in the choice of a server alone: each request goes out at
 * once; one that may run again does so within a retry budget and while its time lasts; what can't is refused if it has
 * never run or may be repeated, and fails otherwise. The budget is Finagle's: a fifth of the requests, and ten a
 * second whatever they are.
 */
final class Textbook implements BalancerApi {
    private static final double RETRIES_A_REQUEST = 0.2;
    private static final double RETRIES_A_MICROSECOND = 10 / 1e6;
    private static final double MOST_SAVED = 100;
    private static final double NEWEST = 0.05;

    private static final class Call {
        final RequestClass kind;
        final long deadline;
        Peer at;
        Peer before;
        int attempts;
        boolean mayHaveRun;

        Call(RequestClass kind, long deadline) {
            this.kind = kind;
            this.deadline = deadline;
        }
    }

    private final BalancerSettings settings;
    private final BalancerActions out;
    private final Chooser chooser;
    private final Map<String, RequestClass> kinds = new HashMap<>();
    private final Map<Long, Peer> peers = new LinkedHashMap<>();
    private final Map<Long, Call> calls = new HashMap<>();
    private List<Peer> open = new ArrayList<>();
    private double budget = MOST_SAVED / 2;
    private long filled;
    private double meanLatency;

    Textbook(BalancerSettings settings, BalancerActions out, Chooser chooser) {
        this.settings = settings;
        this.out = out;
        this.chooser = chooser;
        settings.classes().forEach(c -> kinds.put(c.name(), c));
    }

    @Override
    public void onEndpointList(long now, EndpointListKind kind, List<Endpoint> entries) {
        if (kind == EndpointListKind.FULL || kind == EndpointListKind.CACHED) {
            peers.values().forEach(p -> p.state = EndpointState.REMOVED);
        }
        for (Endpoint e : entries) {
            Peer p = peers.computeIfAbsent(e.id(), id -> new Peer(id, e.weight(), e.state()));
            p.weight = Math.max(0.01, e.weight());
            p.state = e.state();
        }
        peers.values().removeIf(p -> p.state == EndpointState.REMOVED && p.out == 0);
        open = new ArrayList<>();
        for (Peer p : peers.values()) {
            if (p.state == EndpointState.UP) {
                open.add(p);
            }
        }
    }

    @Override
    public void onTimer(long now, String token) {
        // It sets no timers.
    }

    @Override
    public void onRequest(long now, BalancerRequest r) {
        budget = Math.min(MOST_SAVED, budget + RETRIES_A_REQUEST);
        Call c = new Call(kinds.get(r.className()), now + r.timeLeft());
        calls.put(r.id(), c);
        send(now, r.id(), c);
    }

    private void send(long now, long id, Call c) {
        if (open.isEmpty() || now >= c.deadline) {
            giveUp(id, c);
            return;
        }
        Peer chosen = chooser.choose(now, open);
        // A repeat goes elsewhere, where there is an elsewhere.
        for (int i = 0; chosen == c.before && open.size() > 1 && i < 4; i++) {
            chosen = chooser.choose(now, open);
        }
        c.at = chosen;
        c.attempts++;
        chosen.out++;
        chooser.sent(now, chosen);
        out.startAttempt(id, chosen.id, 0);
    }

    private void giveUp(long id, Call c) {
        calls.remove(id);
        if (c.mayHaveRun && c.kind.idempotence() != Idempotence.IDEMPOTENT) {
            out.fail(id);
        } else {
            out.reject(id, 0);
        }
    }

    @Override
    public void onAttemptEnded(
            long now, long id, int attempt, boolean ended, AttemptOutcome outcome, long latency, LoadReport report) {
        Call c = calls.get(id);
        if (c == null) {
            return;
        }
        if (c.at != null) {
            c.at.out--;
            chooser.ended(now, c.at, latency, outcome == AttemptOutcome.OK);
            c.before = c.at;
            c.at = null;
        }
        if (outcome == AttemptOutcome.OK) {
            meanLatency += NEWEST * (latency - meanLatency);
        }
        c.mayHaveRun |= !outcome.neverRan;
        if (ended) {
            calls.remove(id);
            return;
        }
        budget = Math.min(MOST_SAVED, budget + (now - filled) * RETRIES_A_MICROSECOND);
        filled = now;
        boolean mayRepeat = !c.mayHaveRun || c.kind.idempotence() == Idempotence.IDEMPOTENT;
        boolean timeLasts = c.deadline - now > meanLatency;
        if (mayRepeat
                && timeLasts
                && c.attempts < settings.maxAttempts()
                && budget >= 1
                && outcome != AttemptOutcome.NEVER_STARTED) {
            budget--;
            send(now, id, c);
        } else {
            giveUp(id, c);
        }
    }

    @Override
    public void onClientDisconnected(long now, long id) {
        Call c = calls.get(id);
        if (c != null && c.at == null) {
            calls.remove(id);
        }
    }

    @Override
    public void onHealthCheckEnded(long now, long endpoint, AttemptOutcome outcome, long latency, LoadReport report) {
        Peer p = peers.get(endpoint);
        if (p != null && outcome == AttemptOutcome.OK && chooser instanceof Choosers.Prequal prequal) {
            prequal.probed(now, p, open.size(), report);
        }
    }

    @Override
    public void onResponseStarted(long now, long request, int attempt) {
        // No class of the laboratory is a stream.
    }
}
