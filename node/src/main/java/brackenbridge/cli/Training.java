package brackenbridge.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The training run of the class-data-sharing archive: starts a node and sends it requests, with stub servers on
 * loopback, so that the build can archive the classes that are loaded. Without the archive, loading and verifying
 * classes takes nearly half of the time from a node's start to its listener.
 */
final class Training {
    private static final int TIMEOUT_MS = 20_000;
    private static final int POLL_INTERVAL_MS = 10;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final int ACCEPT_BACKLOG = 50;
    private static final int REQUEST_ROUNDS = 20;
    private static final String HEAD_END = "\r\n\r\n";
    private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)content-length: *([0-9]+)");
    private static final String CONFIG = """
            {"name":"training","listen":"%s","discovery":"%s","limits":{"cores":1.0,"memory_mb":128,"sockets":64},
             "known":{"seq":1,"whole":true,"hosts":[]},
             "settings":{"classes":[
               {"name":"get","aim":1000000,"giveUp":3000000,"effect":"safe","worth":1.0},
               {"name":"put","aim":1000000,"giveUp":3000000,"effect":"unsafe","worth":2.0}],
              "tenants":[{"name":"t","share":1.0,"quotaPerS":100.0}],
              "me":0,"replicasOfMe":2,"tier":0,"zone":"a","discovery":"pushed",
              "policyLimits":{"maxAttempts":3,"connectTimeout":120000,"mayCancel":true,"maxRetryAfter":1000000},
              "rules":{"drainGrace":500000}}}""";
    private static final String ENDPOINT_LIST = "{\"seq\":2,\"whole\":true,\"hosts\":[{\"host\":\"s\",\"dial\":\"%s\","
            + "\"site\":\"a\",\"health\":\"active\",\"share\":1.0,\"born_ms\":0}]}\n";

    private Training() {}

    /** Starts a node as {@code serve} does, sends it requests, and ends the process. */
    static void run() {
        try {
            trainNode();
            System.exit(0);
        } catch (IOException | InterruptedException e) {
            // The build continues without an archive, for example where there is no loopback; nodes then start more
            // slowly.
            System.err.println("brackenbridge: training: " + e);
            System.exit(1);
        }
    }

    private static void trainNode() throws IOException, InterruptedException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, loopback)) {
            port = free.getLocalPort();
        }
        ServerSocket server = new ServerSocket(0, ACCEPT_BACKLOG, loopback);
        ServerSocket discovery = new ServerSocket(0, ACCEPT_BACKLOG, loopback);
        startDaemon(() -> acceptConnections(server, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
        startDaemon(() -> acceptConnections(
                discovery,
                "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
                        + ENDPOINT_LIST.formatted("127.0.0.1:" + server.getLocalPort())));
        Path file = Files.createTempFile("training", ".json");
        Files.writeString(file, CONFIG.formatted("127.0.0.1:" + port, "127.0.0.1:" + discovery.getLocalPort()));
        Main.serve(file.toString());
        Files.delete(file);
        sendRequests(loopback, port);
    }

    private static void sendRequests(InetAddress address, int port) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TIMEOUT_MS * NANOS_PER_MS;
        try (Socket client = new Socket(address, port)) {
            client.setSoTimeout(TIMEOUT_MS);
            while (!request(client, "GET /health/ready", "").startsWith("HTTP/1.1 200")) {
                if (System.nanoTime() > deadlineNanos) {
                    throw new IOException("the node is not ready");
                }
                Thread.sleep(POLL_INTERVAL_MS);
            }
            for (int i = 0; i < REQUEST_ROUNDS; i++) {
                request(client, "GET /get/a", "");
                request(client, "POST /put/a", "a body");
            }
        }
    }

    /** Sends a request, reads the response and returns its head. */
    private static String request(Socket client, String methodAndPath, String body) throws IOException {
        String text = methodAndPath
                + " HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 1\r\nX-Account: t\r\nX-Time-Left-Ms: 2000\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        String head = readHead(client.getInputStream());
        Matcher length = CONTENT_LENGTH.matcher(head);
        if (length.find()) {
            client.getInputStream().skipNBytes(Long.parseLong(length.group(1)));
        }
        return head;
    }

    /** Answers every request on every connection with the same bytes. */
    private static void acceptConnections(ServerSocket listener, String response) {
        try {
            while (true) {
                Socket connection = listener.accept();
                startDaemon(() -> answerRequests(connection, response));
            }
        } catch (IOException e) {
            return;
        }
    }

    private static void answerRequests(Socket connection, String response) {
        try (connection) {
            while (!readHead(connection.getInputStream()).isEmpty()) {
                connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            return;
        }
    }

    /** Reads a head; empty at the end of the connection. The body of the previous message is read as part of it. */
    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        int next;
        while ((next = in.read()) >= 0) {
            head.append((char) next);
            if (head.length() >= HEAD_END.length() && head.indexOf(HEAD_END, head.length() - HEAD_END.length()) >= 0) {
                return head.toString();
            }
        }
        return "";
    }

    private static void startDaemon(Runnable work) {
        Thread thread = new Thread(work, "training");
        thread.setDaemon(true);
        thread.start();
    }
}
