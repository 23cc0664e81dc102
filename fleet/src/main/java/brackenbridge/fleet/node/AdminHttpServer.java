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
    public AdminHttpServer(
            InetSocketAddress address, PrometheusMeterRegistry metrics, Map<String, CommandHandler> handlers)
            throws IOException {
        // Guards the small thread pool against idle callers: by default the server waits for a request without limit.
        System.setProperty("sun.net.httpserver.maxReqTime", "10");
        System.setProperty("sun.net.httpserver.maxRspTime", "10");
        server = HttpServer.create(address, MAX_WAITING_REQUESTS);
        threads = new ThreadPoolExecutor(
                THREADS,
                THREADS,
                1,
                TimeUnit.MINUTES,
                new ArrayBlockingQueue<>(MAX_WAITING_REQUESTS),
                r -> {
                    Thread thread = new Thread(r, "fleet-page");
                    thread.setDaemon(true);
                    return thread;
                },
                new ThreadPoolExecutor.CallerRunsPolicy());
        server.setExecutor(threads);
        server.createContext("/metrics", exchange -> {
            try (exchange) {
                respond(exchange, 200, "text/plain; version=0.0.4; charset=utf-8", metrics.scrape());
            }
        });
        server.createContext("/call/", exchange -> {
            try (exchange) {
                handleCall(exchange, handlers);
            }
        });
        server.start();
    }

    /** Returns the address that the server listens at. */
    public InetSocketAddress address() {
        return server.getAddress();
    }

    private static void handleCall(HttpExchange exchange, Map<String, CommandHandler> handlers) throws IOException {
        byte[] body;
        try (InputStream in = exchange.getRequestBody()) {
            body = in.readNBytes(MAX_BODY_BYTES + 1);
        }
        List<String> words = new ArrayList<>();
        for (String part : exchange.getRequestURI()
                .getRawPath()
                .substring("/call/".length())
                .split("/")) {
            words.add(URLDecoder.decode(part, StandardCharsets.UTF_8));
        }
        CommandHandler handler = handlers.get(words.remove(0));
        if (!exchange.getRequestMethod().equals("POST") || body.length > MAX_BODY_BYTES || handler == null) {
            respond(exchange, handler == null ? 404 : body.length > MAX_BODY_BYTES ? 413 : 405, "text/plain", "");
            return;
        }
        boolean json = "json".equals(exchange.getRequestURI().getQuery());
        Reply reply;
        try {
            reply = handler.handle(words, body, json);
        } catch (IllegalArgumentException e) {
            reply = new Reply(false, e.getMessage());
        } catch (RuntimeException e) {
            LOG.error("admin command {} failed", words, e);
            reply = new Reply(false, "failed: " + e);
        }
        respond(
                exchange,
                reply.succeeded() ? 200 : 409,
                json ? "application/json" : "text/plain; charset=utf-8",
                reply.text());
    }

    private static void respond(HttpExchange exchange, int status, String type, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", type);
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
