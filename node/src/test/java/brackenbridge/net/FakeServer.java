package brackenbridge.net;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A server on loopback that records each request and sends the next scripted response. */
final class FakeServer implements AutoCloseable {
    /** Instead of a response, closes the connection once the request has been read. */
    static final String CLOSE_CONNECTION = "";

    final LinkedBlockingQueue<String> requests = new LinkedBlockingQueue<>();
    final LinkedBlockingQueue<String> responses = new LinkedBlockingQueue<>();
    final LinkedBlockingQueue<Socket> connections = new LinkedBlockingQueue<>();
    private final List<Socket> backlogFillers = new ArrayList<>();
    private final Set<Integer> fillerPorts = new HashSet<>();
    private final ServerSocket listening;

    FakeServer() throws IOException {
        this(50);
        startAccepting();
    }

    private FakeServer(int backlog) throws IOException {
        listening = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
    }

    /** Creates a server whose backlog is full: no connection to it opens before it accepts. */
    static FakeServer withFullBacklog() throws IOException {
        FakeServer server = new FakeServer(1);
        try {
            while (true) {
                Socket filler = new Socket();
                filler.connect(server.listening.getLocalSocketAddress(), 100);
                server.backlogFillers.add(filler);
                server.fillerPorts.add(filler.getLocalPort());
            }
        } catch (SocketTimeoutException e) {
            return server;
        }
    }

    /** Starts to accept and serve connections. */
    void startAccepting() throws IOException {
        for (Socket filler : backlogFillers) {
            filler.close();
        }
        startDaemon(this::acceptAll);
    }

    private static void startDaemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    String nextRequest() throws InterruptedException {
        return requests.poll(10, TimeUnit.SECONDS);
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket connection = listening.accept();
                if (fillerPorts.contains(connection.getPort())) {
                    connection.close();
                    continue;
                }
                connections.add(connection);
                startDaemon(() -> serve(connection));
            }
        } catch (IOException e) {
            return;
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            String request;
            while ((request = readMessage(connection.getInputStream())) != null) {
                requests.add(request);
                String response = responses.take();
                if (response.equals(CLOSE_CONNECTION)) {
                    return;
                }
                connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException | InterruptedException e) {
            return;
        }
    }

    /** Reads one message that is framed by its length; null at the end of the stream. */
    static String readMessage(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        int length = 0;
        int end = -1;
        while (end < 0 || text.length() < end + length) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            text.append((char) b);
            if (end < 0 && b == '\n' && text.toString().endsWith("\r\n\r\n")) {
                end = text.length();
                var matcher = java.util.regex.Pattern.compile("(?i)content-length: *([0-9]+)")
                        .matcher(text);
                length = matcher.find() ? Integer.parseInt(matcher.group(1)) : 0;
            }
        }
        return text.toString();
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }
}
