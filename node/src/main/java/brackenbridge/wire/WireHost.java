package brackenbridge.wire;

import brackenbridge.core.balancing.AttemptOutcome;
import brackenbridge.core.balancing.Balancer;
import brackenbridge.core.balancing.BalancerRequest;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.Endpoint;
import brackenbridge.core.balancing.EndpointListKind;
import brackenbridge.core.balancing.LoadReport;
import brackenbridge.core.membership.DiscoverySource;
import brackenbridge.core.membership.DiscoveryWatch;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Hosts instances of the balancer for the simulator. Reads batches of events, passes each event to the instance that it
 * is addressed to, and writes the actions of the instances. It only translates; the balancer decides.
 */
public final class WireHost {
    private static final double MICROSECONDS_PER_MS = 1000.0;
    private static final long NO_OBJECT_KEY = -1;
    private static final long NO_EXPECTED_COST = -1;
    /** The tenant field of a request without a tenant. */
    private static final String NO_TENANT = "0";

    /** The bits of a request's options. */
    private static final long EXPECTED_COST_GIVEN = 1;

    private static final long CLIENT_RETRY = 1 << 1;

    private final WireReader reader;
    private final WireWriter writer;
    private final Map<Long, WireInstance> instances = new HashMap<>();
    private final EndpointLists endpointLists = new EndpointLists();
    private long nowUs;
    private long instanceId;
    private boolean instanceSelected;

    WireHost(InputStream in, OutputStream out) {
        reader = new WireReader(in);
        writer = new WireWriter(out);
    }

    /** Serves the simulator on standard input and output; returns the exit code of the process. */
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
            String name = reader.readText("message");
            if (!name.equals("SYNC")) {
                throw reader.error("message", "a batch begins with SYNC, not '" + name + "'");
            }
            nowUs = reader.readNumber("clock");
            final long batch = reader.readNumber("batch");
            reader.requireEndOfMessage();
            handleBatch();
            writer.finishBatch(batch);
        }
    }

    /** Handles the events up to the end of the batch. */
    private void handleBatch() throws IOException {
        instanceSelected = false;
        while (true) {
            if (!reader.nextLine()) {
                throw reader.error(null, "input ends inside a batch");
            }
            String name = reader.readText("message");
            if (name.equals("EOF_BATCH")) {
                reader.requireEndOfMessage();
                return;
            }
            handleEvent(name);
        }
    }

    private void handleEvent(String name) throws IOException {
        switch (name) {
            case "CONTEXT" -> selectInstance();
            case "CENSUS" -> endpointLists.readList(reader);
            case "UP" -> startInstance();
            case "TEARDOWN" -> stopInstance();
            case "ENDPOINTS" -> onEndpointList();
            case "ORDER" -> onRequest();
            case "FINISHED" -> onAttemptEnded();
            case "HEAD_RECEIVED" -> onResponseStarted();
            case "VANISHED" -> onClientDisconnected();
            case "TIMEOUT_FIRED" -> onTimer();
            case "PROBED" -> onHealthCheckEnded();
            case "PEER_DATA" -> ignorePeerMessage();
            default -> throw reader.error("message", "unknown: '" + name + "'");
        }
    }

    private WireInstance instance() {
        WireInstance instance = instanceSelected ? instances.get(instanceId) : null;
        if (instance == null) {
            throw reader.error(
                    null,
                    instanceSelected
                            ? "instance " + instanceId + " has not been started"
                            : "no CONTEXT before this event");
        }
        return instance;
    }

    private void selectInstance() {
        instanceId = reader.readNumber("sidecar");
        instanceSelected = true;
        reader.requireEndOfMessage();
    }

    private void startInstance() {
        if (!instanceSelected) {
            throw reader.error(null, "no CONTEXT before this event");
        }
        long seed = reader.readNumber("prng");
        BalancerSettings settings = WireFields.readSettings(reader, seed);
        DiscoveryWatch watch = settings.polledDiscovery() ? discoveryWatch(settings, seed) : null;
        try {
            Balancer balancer = new Balancer(settings, writer.actionsOf(instanceId));
            instances.put(instanceId, new WireInstance(instanceId, balancer, watch, writer));
        } catch (RuntimeException fault) {
            writer.writeFault(instanceId, fault);
        }
    }

    private static DiscoveryWatch discoveryWatch(BalancerSettings settings, long seed) {
        DiscoverySource source = new DiscoverySource(true, settings.maxPollInterval() / MICROSECONDS_PER_MS);
        // The simulator reports the end of each call, so that no timeout is needed to detect a silent one.
        double maxSilenceMs = Double.POSITIVE_INFINITY;
        return new DiscoveryWatch(source, maxSilenceMs, new SplittableRandom(~seed));
    }

    private void stopInstance() {
        reader.requireEndOfMessage();
        instance();
        instances.remove(instanceId);
    }

    private void onEndpointList() {
        String kindName = reader.readText("how");
        EndpointListKind kind = switch (kindName) {
            case "INCREMENTAL" -> EndpointListKind.CHANGES;
            case "FULL" -> EndpointListKind.FULL;
            case "SAVED" -> EndpointListKind.CACHED;
            case "FAILED" -> null;
            default -> throw reader.error("how", "unknown: '" + kindName + "'");
        };
        if (kind == null) {
            reader.readOptionalNumber("setId", 0);
            reader.readOptionalNumber("rev", 0);
            reader.requireEndOfMessage();
            instance().onDiscoveryFailed(nowUs);
            return;
        }
        List<Endpoint> endpoints = endpointLists.readReference(reader);
        long version = reader.readOptionalNumber("rev", 0);
        reader.requireEndOfMessage();
        instance().onEndpointList(nowUs, kind, endpoints, version);
    }

    private void onRequest() {
        long id = reader.readNumber("corr");
        String className = reader.readText("priority");
        String tenant = reader.readOptionalText("billing");
        long key = reader.readOptionalNumber("object", NO_OBJECT_KEY);
        long timeLeft = reader.readNumber("expiresIn");
        long expectedCost = reader.readOptionalNumber("effort", NO_EXPECTED_COST);
        long options = reader.readOptionalNumber("opts", 0);
        reader.requireEndOfMessage();
        BalancerRequest request = new BalancerRequest(
                id,
                className,
                NO_TENANT.equals(tenant) ? null : tenant,
                key,
                timeLeft,
                (options & EXPECTED_COST_GIVEN) != 0 ? expectedCost : NO_EXPECTED_COST,
                (options & CLIENT_RETRY) != 0);
        instance().decide(balancer -> balancer.onRequest(nowUs, request));
    }

    private void onAttemptEnded() {
        long request = reader.readNumber("corr");
        boolean ended = reader.readFlag("doneFlag");
        int attempt = (int) reader.readNumber("roundNo");
        long latency = reader.readNumber("waitTime");
        AttemptOutcome outcome = WireFields.readOutcome(reader);
        reader.readNumber("endpoint");
        LoadReport report = WireFields.readLoadReport(reader);
        instance()
                .decide(balancer -> balancer.onAttemptEnded(nowUs, request, attempt, ended, outcome, latency, report));
    }

    private void onResponseStarted() {
        long request = reader.readNumber("corr");
        int attempt = (int) reader.readNumber("roundNo");
        reader.readNumber("endpoint");
        reader.readNumber("waitTime");
        reader.requireEndOfMessage();
        instance().decide(balancer -> balancer.onResponseStarted(nowUs, request, attempt));
    }

    private void onClientDisconnected() {
        long request = reader.readNumber("corr");
        reader.requireEndOfMessage();
        instance().decide(balancer -> balancer.onClientDisconnected(nowUs, request));
    }

    private void onTimer() {
        String token = reader.readRest("ctx");
        instance().onTimer(nowUs, token);
    }

    private void onHealthCheckEnded() {
        long latency = reader.readNumber("waitTime");
        long endpoint = reader.readNumber("endpoint");
        AttemptOutcome outcome = WireFields.readOutcome(reader);
        LoadReport report = WireFields.readLoadReport(reader);
        instance().decide(balancer -> balancer.onHealthCheckEnded(nowUs, endpoint, outcome, latency, report));
    }

    /** Skips a message from a peer; the balancer exchanges none. */
    private void ignorePeerMessage() {
        reader.readNumber("neighbour");
        reader.readRest("raw");
        instance();
    }
}
