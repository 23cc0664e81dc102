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
 * Where staff and a metrics system reach a member: {@code GET /metrics} for Prometheus, {@code POST /call/ROOM/WORD...}
 * for the commands, each word of the command a part of the path, a file of the command as the body.
 */
public final class AdminHttpServer implements AutoCloseable {
    /** The longest body of a call: a plan or settings. */
    private static final int MAX_BODY_BYTES = 1 << 20;

    private static final int THREADS = 4;
    private static final int MAX_WAITING_REQUESTS = 16;
    private static final Logger LOG = LoggerFactory.getLogger(AdminHttpServer.class);

    /**
     * What a room answers.
     *
     * @param done whether it did what it was told; a command exits with 1 where it is false
     * @param text for people, or JSON where that was asked for
     */
    public record Reply(boolean succeeded, String text) {}

    /** A room's calls. */
    @FunctionalInterface
    public interface CommandHandler {
        /**
         * Answers a call.
         *
         * @param words the command's words after the room's name
         * @param body the file that the command names; empty if none
         * @param json whether a program reads the answer
         */
        Reply handle(List<String> words, byte[] body, boolean json);
    }

    private final HttpServer server;
    private final ThreadPoolExecutor threads;

    /** Listens; fails if the address is not to be had. */
    public AdminHttpServer(InetSocketAddress at, PrometheusMeterRegistry metrics, Map<String, CommandHandler> rooms)
            throws IOException {
        // Guards the few threads against callers that send nothing: by default the server waits for them for ever.
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

    /** Where it listens. */
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
            LOG.error("call {} failed", words, e);
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
