package brackenbridge.net;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.config.ConfigTest;
import brackenbridge.log.Log;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.LinkedBlockingQueue;

/** A server on loopback that plays the next script on each connection; for bodies too long for {@link FakeServer}. */
final class ScriptedServer implements AutoCloseable {
    /** What the server does with one connection. */
    interface Script {
        /** Plays the script; the connection is closed when it returns. */
        void play(Socket connection) throws Exception;
    }

    /** Scripts of the connections to come, in order. */
    final LinkedBlockingQueue<Script> scripts = new LinkedBlockingQueue<>();
    /** What scripts have added, and the exceptions that ended them. */
    final LinkedBlockingQueue<Object> observed = new LinkedBlockingQueue<>();

    private final ServerSocket listening;

    ScriptedServer() {
        this(0);
    }

    /** Starts a server whose connections have a receive buffer of about this size; 0 for the system's choice. */
    ScriptedServer(int receiveBufferBytes) {
        try {
            listening = new ServerSocket();
            if (receiveBufferBytes > 0) {
                listening.setReceiveBufferSize(receiveBufferBytes);
            }
            listening.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        startDaemon(this::acceptAll);
    }

    /** Starts a daemon thread. */
    static void startDaemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    /** The address that it listens on. */
    String address() {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    /** Starts a node that knows this server alone. */
    Node startNode() {
        String endpoint = "{\"host\":\"s-1\",\"dial\":\"" + address() + "\",\"health\":\"active\"}";
        Clock clock = Clock.system();
        Node node = new Node(
                Config.parse(ConfigTest.TEXT.replace("\"hosts\":[]", "\"hosts\":[" + endpoint + "]")),
                clock,
                new Log(clock, new PrintStream(OutputStream.nullOutputStream())));
        node.start();
        return node;
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket connection = listening.accept();
                startDaemon(() -> playNext(connection));
            }
        } catch (IOException e) {
            return;
        }
    }

    private void playNext(Socket connection) {
        try (connection) {
            scripts.take().play(connection);
        } catch (Exception e) {
            observed.add(e);
        }
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }
}
