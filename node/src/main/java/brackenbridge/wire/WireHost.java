package brackenbridge.wire;

import brackenbridge.config.SettingsParser;
import brackenbridge.core.balancing.AttemptOutcome;
import brackenbridge.core.balancing.Balancer;
import brackenbridge.core.balancing.BalancerRequest;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.Endpoint;
import brackenbridge.core.balancing.EndpointListKind;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.core.balancing.LoadReport;
import brackenbridge.core.membership.DiscoveryCommand;
import brackenbridge.core.membership.DiscoverySource;
import brackenbridge.core.membership.DiscoveryWatch;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Hosts instances of the module on the simulator's wire: translation only, no decisions. */
public final class WireHost {
    private static final int LISTS = 16;
    /** What the token of a timer begins with that is the membership's and not the module's. */
    private static final String TURN = "discovery ";

    /** By the wire's numbers, from 1 on. */
    private static final AttemptOutcome[] OUTCOMES = {
        AttemptOutcome.OK,
        AttemptOutcome.ERROR,
        AttemptOutcome.FULL,
        AttemptOutcome.TIMEOUT,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.RESET,
        AttemptOutcome.CANCELLED,
        AttemptOutcome.NEVER_STARTED
    };

    /** An instance; where lists are pushed, the simulator sends them by itself and there is nothing to follow. */
    private static final class Hosted {
        final Balancer balancer;
        final DiscoveryWatch membership;
        long call = -1;

        Hosted(Balancer balancer, DiscoveryWatch membership) {
            this.balancer = balancer;
            this.membership = membership;
        }
    }

    private final WireReader reader;
    private final WireWriter writer;
    private final Map<Long, Hosted> instances = new HashMap<>();
    private final List<List<Endpoint>> lists = new ArrayList<>(java.util.Collections.nCopies(LISTS, null));
    private long now;
    private long instance;
    private boolean addressed;

    WireHost(InputStream in, OutputStream out) {
        reader = new WireReader(in);
        writer = new WireWriter(out);
    }

    /** Serves the simulator on standard input and output; the process's exit code. */
    public static int serve() throws IOException {
        try {
            new WireHost(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out)).run();
            return 0;
        } catch (WireException e) {
            System.err.println("brackenbridge: " + e.getMessage());
            return 1;
        }
    }

    /** Answers batches until the input ends. */
    void run() throws IOException {
        while (reader.nextLine()) {
            String name = reader.text("message");
            if (!name.equals("SYNC")) {
                throw reader.error("message", "a batch begins with SYNC, not '" + name + "'");
            }
            now = reader.number("clock");
            final long batch = reader.number("batch");
            reader.endOfMessage();
            addressed = false;
            while (true) {
                if (!reader.nextLine()) {
                    throw reader.error(null, "input ends inside a batch");
                }
                name = reader.text("message");
                if (name.equals("EOF_BATCH")) {
                    reader.endOfMessage();
                    break;
                }
                event(name);
            }
            writer.finished(batch);
        }
    }

    private void event(String name) throws IOException {
        switch (name) {
            case "CONTEXT" -> {
                instance = reader.number("sidecar");
                addressed = true;
                reader.endOfMessage();
            }
            case "CENSUS" -> census();
            case "UP" -> up();
            case "TEARDOWN" -> {
                reader.endOfMessage();
                hosted();
                instances.remove(instance);
            }
            case "ENDPOINTS" -> endpoints();
            case "ORDER" -> order();
            case "FINISHED" -> finished();
            case "HEAD_RECEIVED" -> {
                long request = reader.number("corr");
                int attempt = (int) reader.number("roundNo");
                reader.number("endpoint");
                reader.number("waitTime");
                reader.endOfMessage();
                Balancer b = balancer();
                guarded(() -> b.onResponseStarted(now, request, attempt));
            }
            case "VANISHED" -> {
                long request = reader.number("corr");
                reader.endOfMessage();
                Balancer b = balancer();
                guarded(() -> b.onClientDisconnected(now, request));
            }
            case "TIMEOUT_FIRED" -> {
                String token = reader.rest("ctx");
                Hosted h = hosted();
                if (h.membership != null && token.startsWith(TURN)) {
                    follow(h, h.membership.wake(now / 1000.0, turn(token)));
                } else {
                    guarded(() -> h.balancer.onTimer(now, token));
                }
            }
            case "PROBED" -> {
                long latency = reader.number("waitTime");
                long endpoint = reader.number("endpoint");
                AttemptOutcome outcome = outcome();
                LoadReport report = report();
                Balancer b = balancer();
                guarded(() -> b.onHealthCheckEnded(now, endpoint, outcome, latency, report));
            }
            case "PEER_DATA" -> {
                // The module sends no messages to peers and acts on none.
                reader.number("neighbour");
                reader.rest("raw");
                balancer();
            }
            default -> throw reader.error("message", "unknown: '" + name + "'");
        }
    }

    private static long turn(String token) {
        try {
            return Long.parseLong(token.substring(TURN.length()));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private void follow(Hosted h, List<DiscoveryCommand> steps) {
        for (DiscoveryCommand step : steps) {
            if (step instanceof DiscoveryCommand.OpenWatch o) {
                h.call = o.call();
                writer.watch(instance);
            } else if (step instanceof DiscoveryCommand.Wake w) {
                writer.of(instance).setTimer((long) Math.ceil(w.atMs() * 1000), TURN + w.timer());
            }
        }
    }

    private Balancer balancer() {
        return hosted().balancer;
    }

    private Hosted hosted() {
        Hosted h = addressed ? instances.get(instance) : null;
        if (h == null) {
            throw reader.error(
                    null,
                    addressed ? "instance " + instance + " has not been started" : "no CONTEXT before this event");
        }
        return h;
    }

    /** An exception in the module is the wire's fault message, with its cause. */
    private void guarded(Runnable decision) {
        try {
            decision.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            writer.broken(instance, e + (trace.length == 0 ? "" : " at " + trace[0]));
        }
    }

    private void up() {
        if (!addressed) {
            throw reader.error(null, "no CONTEXT before this event");
        }
        long seed = reader.number("prng");
        BalancerSettings settings = settings(seed);
        // The end of each call is told here, so silence says nothing.
        DiscoveryWatch membership = !settings.polledDiscovery()
                ? null
                : new DiscoveryWatch(
                        new DiscoverySource(true, settings.maxPollInterval() / 1000.0),
                        Double.POSITIVE_INFINITY,
                        new SplittableRandom(~seed));
        guarded(() -> instances.put(instance, new Hosted(new Balancer(settings, writer.of(instance)), membership)));
    }

    private BalancerSettings settings(long seed) {
        Map<String, String> pairs = new HashMap<>();
        while (reader.more()) {
            String pair = reader.text("setup");
            int eq = pair.indexOf('=');
            if (eq >= 0) {
                pairs.put(pair.substring(0, eq), pair.substring(eq + 1));
            } else if (!pair.isEmpty() && !pair.equals("-")) {
                throw reader.error("setup", "not a pair: '" + pair + "'");
            }
        }
        try {
            return new SettingsParser(pairs).parse(seed);
        } catch (IllegalArgumentException e) {
            throw reader.error("setup", e.getMessage());
        }
    }

    private void census() throws IOException {
        int id = listId();
        long count = reader.number("rowsIn");
        reader.endOfMessage();
        if (count < 0) {
            throw reader.error("rowsIn", "negative count: " + count);
        }
        List<Endpoint> entries = new ArrayList<>((int) Math.min(count, 1 << 16));
        for (long i = 0; i < count; i++) {
            if (!reader.nextLine()) {
                throw reader.error(null, "input ends inside a list");
            }
            String name = reader.text("message");
            if (!name.equals("M")) {
                throw reader.error("message", "list of " + count + " entries has only " + i);
            }
            long cell = reader.optionalNumber("cell", -1);
            String zone = reader.text("zone");
            reader.text("type");
            double weight = reader.decimal("weight");
            long startedAt = reader.optionalNumber("launched", 0);
            EndpointState state = state(reader.text("condition"));
            long endpoint = reader.number("endpoint");
            reader.endOfMessage();
            entries.add(new Endpoint(endpoint, cell, zone, weight, startedAt, state));
        }
        lists.set(id, List.copyOf(entries));
    }

    private int listId() {
        long id = reader.number("setId");
        if (id < 0 || id >= LISTS) {
            throw reader.error("setId", "outside 0 to 15: " + id);
        }
        return (int) id;
    }

    private EndpointState state(String word) {
        return switch (word) {
            case "up" -> EndpointState.UP;
            case "draining" -> EndpointState.DRAINING;
            case "removed" -> EndpointState.REMOVED;
            default -> throw reader.error("condition", "unknown: '" + word + "'");
        };
    }

    private void endpoints() {
        String how = reader.text("how");
        EndpointListKind kind = switch (how) {
            case "INCREMENTAL" -> EndpointListKind.CHANGES;
            case "FULL" -> EndpointListKind.FULL;
            case "SAVED" -> EndpointListKind.CACHED;
            case "FAILED" -> null;
            default -> throw reader.error("how", "unknown: '" + how + "'");
        };
        List<Endpoint> entries = List.of();
        if (kind == null) {
            reader.optionalNumber("setId", 0);
        } else {
            int id = listId();
            entries = lists.get(id);
            if (entries == null) {
                throw reader.error("setId", "list " + id + " was never given");
            }
        }
        long version = reader.optionalNumber("rev", 0);
        reader.endOfMessage();
        Hosted h = hosted();
        if (kind != null) {
            List<Endpoint> named = entries;
            guarded(() -> h.balancer.onEndpointList(now, kind, named));
        }
        if (h.membership != null) {
            double ms = now / 1000.0;
            if (kind == EndpointListKind.CACHED) {
                follow(h, h.membership.start(ms, version));
            } else if (kind == null) {
                follow(h, h.membership.onCallEnded(ms, h.call));
            } else {
                // The simulator tells in order, so that each word holds.
                h.membership.onEndpointList(ms, h.call, version, kind == EndpointListKind.FULL);
            }
        }
    }

    private void order() {
        long id = reader.number("corr");
        String className = reader.text("priority");
        String tenant = reader.optionalText("billing");
        long key = reader.optionalNumber("object", -1);
        long left = reader.number("expiresIn");
        long hint = reader.optionalNumber("effort", -1);
        long flags = reader.optionalNumber("opts", 0);
        reader.endOfMessage();
        BalancerRequest r = new BalancerRequest(
                id,
                className,
                "0".equals(tenant) ? null : tenant,
                key,
                left,
                (flags & 1) != 0 ? hint : -1,
                (flags & 2) != 0);
        Balancer b = balancer();
        guarded(() -> b.onRequest(now, r));
    }

    private void finished() {
        long id = reader.number("corr");
        boolean ended = reader.flag("doneFlag");
        int attempt = (int) reader.number("roundNo");
        long latency = reader.number("waitTime");
        AttemptOutcome outcome = outcome();
        reader.number("endpoint");
        LoadReport report = report();
        Balancer b = balancer();
        guarded(() -> b.onAttemptEnded(now, id, attempt, ended, outcome, latency, report));
    }

    private AttemptOutcome outcome() {
        long code = reader.number("result");
        if (code < 1 || code > OUTCOMES.length) {
            throw reader.error("result", "unknown: " + code);
        }
        return OUTCOMES[(int) code - 1];
    }

    private LoadReport report() {
        String pairs = reader.optionalText("pressure");
        reader.endOfMessage();
        if (pairs == null) {
            return null;
        }
        double[] values = {Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN};
        for (int from = 0; from < pairs.length(); ) {
            int comma = pairs.indexOf(',', from);
            int end = comma < 0 ? pairs.length() : comma;
            int colon = pairs.indexOf(':', from);
            if (colon < 0 || colon >= end) {
                throw reader.error("pressure", "not a pair: '" + pairs.substring(from, end) + "'");
            }
            int which = switch (pairs.substring(from, colon)) {
                case "concurrent" -> 0;
                case "depth" -> 1;
                case "load_share" -> 2;
                case "mean_ms" -> 3;
                case "tps" -> 4;
                case "err_ps" -> 5;
                default -> -1;
            };
            if (which >= 0) {
                try {
                    values[which] = Double.parseDouble(pairs.substring(colon + 1, end));
                } catch (NumberFormatException e) {
                    throw reader.error("pressure", "not a number: '" + pairs.substring(colon + 1, end) + "'");
                }
            }
            from = end + 1;
        }
        return new LoadReport(values[0], values[1], values[2], values[3], values[4], values[5]);
    }
}
