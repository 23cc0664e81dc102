package brackenbridge.fleet.node;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The HTTP server for operators and monitoring of a member. It serves {@code GET /metrics} for Prometheus and
 * {@code POST /call/COMMAND/WORD...} for commands; each word of a command is a path segment, and its file is the body.
 */
public final class AdminHttpServer implements AutoCloseable {
    /** Limits the body of a call, which is a plan or settings. */
    private static final int MAX_BODY_BYTES = 1 << 20;

    private static final int THREADS = 4;
    private static final int MAX_WAITING_REQUESTS = 16;
    private static final Logger LOG = LoggerFactory.getLogger(AdminHttpServer.class);

    /**
     * The response to a command.
     *
     * @param succeeded whether the command succeeded; if not, the command line exits with 1
     * @param text the response, as JSON if that was requested
     */
    public record Reply(boolean succeeded, String text) {}

    /** Handles the calls of one command. */
    @FunctionalInterface
    public interface CommandHandler {
        /**
         * Handles a call and returns the response.
         *
         * @param words the words after the name of the command
         * @param body the content of the command's file; empty if there is none
         * @param json whether the response has to be JSON
         */
        Reply handle(List<String> words, byte[] body, boolean json);
    }

    private final HttpServer server;
    private final ThreadPoolExecutor threads;

    /** Starts to listen; fails if the address can't be bound. */
    public AdminHttpServer(InetSocketAddress at, PrometheusMeterRegistry metrics, Map<String, CommandHandler> rooms)
            throws IOException {
        // Guards the small thread pool against idle callers: by default the server waits for a request without limit.
        System.setProperty("sun.net.httpserver.maxReqTime", "10");
        System.setProperty("sun.net.httpserver.maxRspTime", "10");
        server = HttpServer.create(at, MAX_WAITING_REQUESTS);
        threads = new ThreadPoolExecutor(
                THREADS,
                THREADS,
                1,
                TimeUnit.MINUTES,
                new ArrayBlockingQueue<>(MAX_WAITING_REQUESTS),
                r -> {
                    Thread t = new Thread(r, "fleet-page");
                    t.setDaemon(true);
                    return t;
                },
                new ThreadPoolExecutor.CallerRunsPolicy());
        server.setExecutor(threads);
        server.createContext("/metrics", x -> {
            try (x) {
                respond(x, 200, "text/plain; version=0.0.4; charset=utf-8", metrics.scrape());
            }
        });
        server.createContext("/call/", x -> {
            try (x) {
                handleCall(x, rooms);
            }
        });
        server.start();
    }

    /** Returns the address that the server listens at. */
    public InetSocketAddress address() {
        return server.getAddress();
    }

    private static void handleCall(HttpExchange x, Map<String, CommandHandler> rooms) throws IOException {
        byte[] body;
        try (InputStream in = x.getRequestBody()) {
            body = in.readNBytes(MAX_BODY_BYTES + 1);
        }
        List<String> words = new ArrayList<>();
        for (String part :
                x.getRequestURI().getRawPath().substring("/call/".length()).split("/")) {
            words.add(URLDecoder.decode(part, StandardCharsets.UTF_8));
        }
        CommandHandler room = rooms.get(words.remove(0));
        if (!x.getRequestMethod().equals("POST") || body.length > MAX_BODY_BYTES || room == null) {
            respond(x, room == null ? 404 : body.length > MAX_BODY_BYTES ? 413 : 405, "text/plain", "");
            return;
        }
        boolean json = "json".equals(x.getRequestURI().getQuery());
        Reply a;
        try {
            a = room.handle(words, body, json);
        } catch (IllegalArgumentException e) {
            a = new Reply(false, e.getMessage());
        } catch (RuntimeException e) {
            LOG.error("admin command {} failed", words, e);
            a = new Reply(false, "failed: " + e);
        }
        respond(x, a.succeeded() ? 200 : 409, json ? "application/json" : "text/plain; charset=utf-8", a.text());
    }

    private static void respond(HttpExchange x, int status, String type, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        x.getResponseHeaders().set("Content-Type", type);
        x.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        x.getResponseBody().write(bytes);
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
