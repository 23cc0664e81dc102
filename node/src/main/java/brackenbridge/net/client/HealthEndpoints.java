package brackenbridge.net.client;

import brackenbridge.counters.Counters;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

/**
 * The health paths that the node serves itself. No request class can be named "health", so they never shadow a class.
 */
final class HealthEndpoints {
    private static final String READY_PATH = "/health/ready";
    private static final String LIVE_PATH = "/health/live";
    private static final String COUNTERS_PATH = "/health/counters";

    private final BooleanSupplier ready;
    private final Counters counters;

    HealthEndpoints(BooleanSupplier ready, Counters counters) {
        this.ready = ready;
        this.counters = counters;
    }

    /** The path of a request target, without its query. */
    static String pathOf(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Whether this path is served here. */
    boolean serves(String path) {
        return path.equals(READY_PATH) || path.equals(LIVE_PATH) || path.equals(COUNTERS_PATH);
    }

    /** Responds to a GET request for a path that is served here. */
    void respond(String path, ResponseWriter writer) {
        if (path.equals(READY_PATH)) {
            boolean isReady = ready.getAsBoolean();
            writer.respond(isReady ? 200 : 503, text(isReady ? "ready\n" : "not ready\n"));
        } else {
            writer.respond(200, text(path.equals(LIVE_PATH) ? "live\n" : counters.toText()));
        }
    }

    private static byte[] text(String body) {
        return body.getBytes(StandardCharsets.UTF_8);
    }
}
