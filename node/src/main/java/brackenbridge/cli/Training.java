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
 * Plays a node's first moments against stand-ins on loopback, so that the build can keep the classes they load in an
 * archive: a node that starts or restarts spends nearly half of its way to the listener on loading and checking them.
 */
final class Training {
    private static final int PATIENCE_MS = 20_000;
    private static final int REQUESTS = 20;
    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: *([0-9]+)");
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
    private static final String LIST = "{\"seq\":2,\"whole\":true,\"hosts\":[{\"host\":\"s\",\"dial\":\"%s\","
            + "\"site\":\"a\",\"health\":\"active\",\"share\":1.0,\"born_ms\":0}]}\n";

    private Training() {}

    /** Starts a node as {@code serve} does, has it serve, and ends the process. */
    static void run() {
        try {
            play();
            System.exit(0);
        } catch (IOException | InterruptedException e) {
            // A machine without loopback builds all the same; its nodes start more slowly.
            System.err.println("brackenbridge: training: " + e);
            System.exit(1);
        }
    }

    private static void play() throws IOException, InterruptedException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, loopback)) {
            port = free.getLocalPort();
        }
        ServerSocket server = new ServerSocket(0, 50, loopback);
        ServerSocket agent = new ServerSocket(0, 50, loopback);
        daemon(() -> answer(server, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
        daemon(() -> answer(
                agent,
                "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LIST.formatted("127.0.0.1:" + server.getLocalPort())));
        Path file = Files.createTempFile("training", ".json");
        Files.writeString(file, CONFIG.formatted("127.0.0.1:" + port, "127.0.0.1:" + agent.getLocalPort()));
        Main.serve(file.toString());
        Files.delete(file);
        long limit = System.nanoTime() + PATIENCE_MS * 1_000_000L;
        try (Socket client = new Socket(loopback, port)) {
            client.setSoTimeout(PATIENCE_MS);
            while (!ask(client, "GET /health/ready", "").startsWith("HTTP/1.1 200")) {
                if (System.nanoTime() > limit) {
                    throw new IOException("the node is not ready");
                }
                Thread.sleep(10);
            }
            for (int i = 0; i < REQUESTS; i++) {
                ask(client, "GET /get/a", "");
                ask(client, "POST /put/a", "a body");
            }
        }
    }

    private static String ask(Socket client, String line, String body) throws IOException {
        String text = line + " HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 1\r\nX-Account: t\r\nX-Time-Left-Ms: 2000\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        String head = head(client.getInputStream());
        Matcher length = LENGTH.matcher(head);
        if (length.find()) {
            client.getInputStream().skipNBytes(Long.parseLong(length.group(1)));
        }
        return head;
    }

    private static void answer(ServerSocket at, String text) {
        try {
            while (true) {
                Socket s = at.accept();
                daemon(() -> answer(s, text));
            }
        } catch (IOException e) {
            return;
        }
    }

    private static void answer(Socket s, String text) {
        try (s) {
            while (!head(s.getInputStream()).isEmpty()) {
                s.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            return;
        }
    }

    /** A head; empty at the end of the connection. A body that came before it is read over as part of it. */
    private static String head(InputStream in) throws IOException {
        StringBuilder s = new StringBuilder();
        int b;
        while ((b = in.read()) >= 0) {
            s.append((char) b);
            if (s.length() >= 4 && s.indexOf("\r\n\r\n", s.length() - 4) >= 0) {
                return s.toString();
            }
        }
        return "";
    }

    private static void daemon(Runnable work) {
        Thread t = new Thread(work, "training");
        t.setDaemon(true);
        t.start();
    }
}
