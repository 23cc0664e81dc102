package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.config.ConfigTest;
import brackenbridge.log.Log;
import brackenbridge.net.FaultySockets.Call;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * System calls fail with the errors that Linux documents: checks the client's response, whether the server is blamed,
 * and that socket counts stay correct.
 */
class SystemCallFailureTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    private static final int ALWAYS = FaultySockets.ALWAYS;
    /**
     * Consecutive failed accepts: they cost 0.9 s of the node's own pauses, or 5.6 s of Netty's, which the node's
     * sweeps cut short.
     */
    private static final int MANY_FAILURES = 150;
    /** Time that a client waits for an accept, between the two. */
    private static final int ACCEPTED_MS = 4500;

    /** The exception that Java throws for an error number. */
    private enum Errno {
        ECONNABORTED(() -> new IOException("Software caused connection abort")),
        EINTR(() -> new IOException("Interrupted system call")),
        EPROTO(() -> new IOException("Protocol error")),
        EMFILE(() -> new SocketException("Too many open files")),
        ENFILE(() -> new SocketException("Too many open files in system")),
        ENOBUFS(() -> new SocketException("No buffer space available")),
        ENOMEM(() -> new SocketException("Cannot allocate memory")),
        EADDRNOTAVAIL(() -> new BindException("Cannot assign requested address")),
        EAGAIN(() -> new SocketException("Resource temporarily unavailable")),
        ENETUNREACH(() -> new SocketException("Network is unreachable")),
        ENETDOWN(() -> new SocketException("Network is down")),
        ECONNREFUSED(() -> new ConnectException("Connection refused")),
        ETIMEDOUT(() -> new ConnectException("Connection timed out")),
        EHOSTUNREACH(() -> new NoRouteToHostException("No route to host")),
        ECONNRESET(() -> new SocketException("Connection reset by peer")),
        EPIPE(() -> new IOException("Broken pipe")),
        UNKNOWN(() -> new IOException("Unknown error 512"));

        private final Supplier<IOException> error;

        Errno(Supplier<IOException> error) {
            this.error = error;
        }
    }

    /** The node's connection to the server when the call fails. */
    private enum ServerConnection {
        /** No connection to the server. */
        NONE,
        /** An idle connection from an earlier request. */
        KEPT
    }

    /** Whom the node blames for the failure. */
    private enum Blame {
        /** Nobody: the server is not ejected. */
        NONE,
        /** The server, which is ejected; as there is no other, the request is rejected before its deadline. */
        SERVER
    }

    /** A row of the table of failures. */
    private enum Row {
        ACCEPT_ECONNABORTED(
                Call.ACCEPT, Errno.ECONNABORTED, MANY_FAILURES, ServerConnection.NONE, "file", 200, Blame.NONE),
        ACCEPT_EINTR(Call.ACCEPT, Errno.EINTR, MANY_FAILURES, ServerConnection.NONE, "file", 200, Blame.NONE),
        ACCEPT_EPROTO(Call.ACCEPT, Errno.EPROTO, MANY_FAILURES, ServerConnection.NONE, "file", 200, Blame.NONE),
        ACCEPT_ENETUNREACH(
                Call.ACCEPT, Errno.ENETUNREACH, MANY_FAILURES, ServerConnection.NONE, "file", 200, Blame.NONE),
        ACCEPT_EMFILE(Call.ACCEPT, Errno.EMFILE, MANY_FAILURES, ServerConnection.NONE, "file", 200, Blame.NONE),
        ACCEPT_EMFILE_KEPT(Call.ACCEPT, Errno.EMFILE, MANY_FAILURES, ServerConnection.KEPT, "file", 200, Blame.NONE),
        ACCEPT_ENFILE(Call.ACCEPT, Errno.ENFILE, MANY_FAILURES, ServerConnection.NONE, "file", 200, Blame.NONE),
        ACCEPT_ENOBUFS(Call.ACCEPT, Errno.ENOBUFS, MANY_FAILURES, ServerConnection.NONE, "file", 200, Blame.NONE),
        ACCEPT_ENOMEM(Call.ACCEPT, Errno.ENOMEM, MANY_FAILURES, ServerConnection.NONE, "file", 200, Blame.NONE),
        ACCEPT_UNKNOWN(Call.ACCEPT, Errno.UNKNOWN, MANY_FAILURES, ServerConnection.NONE, "file", 200, Blame.NONE),

        SOCKET_EMFILE(Call.SOCKET, Errno.EMFILE, 1, ServerConnection.NONE, "file", 200, Blame.NONE),
        SOCKET_ENFILE(Call.SOCKET, Errno.ENFILE, 1, ServerConnection.NONE, "file", 200, Blame.NONE),
        SOCKET_ENOBUFS(Call.SOCKET, Errno.ENOBUFS, 1, ServerConnection.NONE, "file", 200, Blame.NONE),
        SOCKET_ENOMEM(Call.SOCKET, Errno.ENOMEM, 3, ServerConnection.NONE, "file", 200, Blame.NONE),
        SOCKET_EMFILE_ALWAYS(Call.SOCKET, Errno.EMFILE, ALWAYS, ServerConnection.NONE, "file", 503, Blame.NONE),
        SOCKET_EMFILE_ALWAYS_KEPT(Call.SOCKET, Errno.EMFILE, ALWAYS, ServerConnection.KEPT, "file", 200, Blame.NONE),

        CONNECT_EADDRNOTAVAIL(Call.CONNECT, Errno.EADDRNOTAVAIL, 1, ServerConnection.NONE, "file", 200, Blame.NONE),
        CONNECT_EADDRNOTAVAIL_ALWAYS(
                Call.CONNECT, Errno.EADDRNOTAVAIL, ALWAYS, ServerConnection.NONE, "file", 503, Blame.NONE),
        CONNECT_EAGAIN(Call.CONNECT, Errno.EAGAIN, 3, ServerConnection.NONE, "file", 200, Blame.NONE),
        CONNECT_EAGAIN_ALWAYS(Call.CONNECT, Errno.EAGAIN, ALWAYS, ServerConnection.NONE, "view", 503, Blame.NONE),
        CONNECT_ENETUNREACH(Call.CONNECT, Errno.ENETUNREACH, 1, ServerConnection.NONE, "file", 200, Blame.NONE),
        CONNECT_ENETUNREACH_ALWAYS(
                Call.CONNECT, Errno.ENETUNREACH, ALWAYS, ServerConnection.NONE, "file", 503, Blame.NONE),
        CONNECT_ENETDOWN(Call.CONNECT, Errno.ENETDOWN, 1, ServerConnection.NONE, "file", 200, Blame.NONE),
        CONNECT_ENOBUFS(Call.CONNECT, Errno.ENOBUFS, 1, ServerConnection.NONE, "file", 200, Blame.NONE),
        CONNECT_ENOMEM(Call.CONNECT, Errno.ENOMEM, 1, ServerConnection.NONE, "file", 200, Blame.NONE),
        FINISH_ENETUNREACH(Call.FINISH_CONNECT, Errno.ENETUNREACH, 1, ServerConnection.NONE, "file", 200, Blame.NONE),
        CONNECT_ECONNREFUSED_ALWAYS(
                Call.CONNECT, Errno.ECONNREFUSED, ALWAYS, ServerConnection.NONE, "file", 503, Blame.SERVER),
        CONNECT_ECONNRESET_ALWAYS(
                Call.CONNECT, Errno.ECONNRESET, ALWAYS, ServerConnection.NONE, "file", 503, Blame.SERVER),
        FINISH_ECONNREFUSED_ALWAYS(
                Call.FINISH_CONNECT, Errno.ECONNREFUSED, ALWAYS, ServerConnection.NONE, "file", 503, Blame.SERVER),
        FINISH_ETIMEDOUT_ALWAYS(
                Call.FINISH_CONNECT, Errno.ETIMEDOUT, ALWAYS, ServerConnection.NONE, "file", 503, Blame.SERVER),
        FINISH_EHOSTUNREACH_ALWAYS(
                Call.FINISH_CONNECT, Errno.EHOSTUNREACH, ALWAYS, ServerConnection.NONE, "file", 503, Blame.SERVER),
        FINISH_ECONNREFUSED(
                Call.FINISH_CONNECT, Errno.ECONNREFUSED, 1, ServerConnection.NONE, "file", 503, Blame.SERVER),

        WRITE_EPIPE(Call.WRITE, Errno.EPIPE, 1, ServerConnection.NONE, "file", 503, Blame.SERVER),
        WRITE_EPIPE_KEPT(Call.WRITE, Errno.EPIPE, 1, ServerConnection.KEPT, "file", 503, Blame.SERVER),
        WRITE_ECONNRESET_KEPT(Call.WRITE, Errno.ECONNRESET, 1, ServerConnection.KEPT, "file", 503, Blame.SERVER),
        WRITE_ETIMEDOUT_KEPT(Call.WRITE, Errno.ETIMEDOUT, 1, ServerConnection.KEPT, "file", 503, Blame.SERVER),
        WRITE_EHOSTUNREACH_KEPT(Call.WRITE, Errno.EHOSTUNREACH, 1, ServerConnection.KEPT, "file", 503, Blame.SERVER),
        WRITE_ENOBUFS_KEPT(Call.WRITE, Errno.ENOBUFS, 1, ServerConnection.KEPT, "file", 200, Blame.NONE),
        WRITE_ENOBUFS_ALWAYS(Call.WRITE, Errno.ENOBUFS, ALWAYS, ServerConnection.NONE, "file", 503, Blame.NONE),
        WRITE_EPIPE_ALWAYS(Call.WRITE, Errno.EPIPE, ALWAYS, ServerConnection.NONE, "file", 503, Blame.SERVER),

        READ_ECONNRESET(Call.READ, Errno.ECONNRESET, 1, ServerConnection.NONE, "file", 502, Blame.NONE),
        READ_ECONNRESET_SAFE(Call.READ, Errno.ECONNRESET, 1, ServerConnection.NONE, "view", 200, Blame.NONE),
        READ_ECONNRESET_KEPT(Call.READ, Errno.ECONNRESET, 1, ServerConnection.KEPT, "file", 502, Blame.NONE),
        READ_ETIMEDOUT(Call.READ, Errno.ETIMEDOUT, 1, ServerConnection.NONE, "file", 502, Blame.NONE),
        READ_ETIMEDOUT_SAFE(Call.READ, Errno.ETIMEDOUT, 1, ServerConnection.NONE, "view", 200, Blame.NONE),
        READ_EHOSTUNREACH(Call.READ, Errno.EHOSTUNREACH, 1, ServerConnection.NONE, "file", 502, Blame.NONE),
        READ_EHOSTUNREACH_SAFE(Call.READ, Errno.EHOSTUNREACH, 1, ServerConnection.KEPT, "view", 200, Blame.NONE),
        READ_ENOMEM(Call.READ, Errno.ENOMEM, 1, ServerConnection.NONE, "file", 502, Blame.NONE),

        CLIENT_READ_ECONNRESET(Call.CLIENT_READ, Errno.ECONNRESET, 1, ServerConnection.NONE, "file", 0, Blame.NONE),
        CLIENT_READ_ETIMEDOUT(Call.CLIENT_READ, Errno.ETIMEDOUT, 1, ServerConnection.KEPT, "file", 0, Blame.NONE),
        CLIENT_WRITE_EPIPE(Call.CLIENT_WRITE, Errno.EPIPE, 1, ServerConnection.NONE, "file", 0, Blame.NONE),
        CLIENT_WRITE_ECONNRESET(Call.CLIENT_WRITE, Errno.ECONNRESET, 1, ServerConnection.NONE, "file", 0, Blame.NONE);

        private final Call call;
        private final Errno errno;
        private final int times;
        private final ServerConnection serverConnection;
        private final String requestClass;
        /** The status of the response; 0 if the connection ends without one. */
        private final int status;

        private final Blame blame;

        Row(Call call, Errno errno, int times, ServerConnection have, String requestClass, int status, Blame blame) {
            this.call = call;
            this.errno = errno;
            this.times = times;
            this.serverConnection = have;
            this.requestClass = requestClass;
            this.status = status;
            this.blame = blame;
        }
    }

    private FakeServer server;
    private FaultySockets sockets;
    private Node node;

    @BeforeEach
    void start() throws Exception {
        server = new FakeServer();
        sockets = new FaultySockets(server.address());
        Clock clock = Clock.system();
        String host = "{\"host\":\"s-1\",\"dial\":\"" + server.address() + "\",\"health\":\"active\"}";
        node = new Node(
                Config.parse(ConfigTest.TEXT.replace("\"hosts\":[]", "\"hosts\":[" + host + "]")),
                clock,
                new Log(clock, new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8)),
                null,
                sockets.calls());
        node.start();
    }

    @AfterEach
    void end() throws IOException {
        node.kill();
        server.close();
    }

    private Socket connect() throws IOException {
        Socket client = new Socket(node.address().getAddress(), node.address().getPort());
        client.setSoTimeout(10_000);
        return client;
    }

    /** Makes a request and returns the status of the response; 0 if the connection ended without one. */
    private static int status(Socket client, String requestClass, int timeLeftMs) throws IOException {
        String method = requestClass.equals("view") ? "GET" : "POST";
        String request = method + " /" + requestClass + " HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: "
                + timeLeftMs + "\r\nContent-Length: 0\r\n\r\n";
        try {
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            String answer = FakeServer.readMessage(client.getInputStream());
            return answer == null ? 0 : Integer.parseInt(answer.substring(9, 12));
        } catch (SocketException e) {
            return 0;
        }
    }

    private void awaitSockets(int clients) throws Exception {
        long start = System.nanoTime();
        String counted;
        String open;
        do {
            open = clients + " clients, " + sockets.openServerConnections() + " servers";
            Node.Snapshot now = snapshot();
            counted = now.clients() + " clients, " + now.servers() + " servers";
        } while (!counted.equals(open) && System.nanoTime() - start < 10_000_000_000L);
        assertEquals(open, counted, "open sockets differ from counted ones");
    }

    private Node.Snapshot snapshot() throws Exception {
        return node.snapshot().get(10, TimeUnit.SECONDS);
    }

    private boolean isServerEjected() throws Exception {
        return !snapshot().metrics().contains("proxy.pool_ejected:0|g");
    }

    /** Makes a request on a new connection; returns whether the server was ejected meanwhile. */
    private boolean isServerEjectedDuring(Row row) throws Exception {
        try (Socket client = connect()) {
            client.setSoTimeout(row.call == Call.ACCEPT ? ACCEPTED_MS : 10_000);
            CompletableFuture<Integer> status = CompletableFuture.supplyAsync(() -> statusUnchecked(client, row));
            boolean ejected = false;
            while (!status.isDone()) {
                ejected |= isServerEjected();
            }
            assertEquals(row.status, status.get());
            return ejected | isServerEjected();
        }
    }

    private static int statusUnchecked(Socket client, Row row) {
        try {
            return status(client, row.requestClass, row.blame == Blame.SERVER ? 600 : 5000);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @ParameterizedTest
    @EnumSource(Row.class)
    void failedCallHasItsDocumentedEffect(Row row) throws Exception {
        for (int i = 0; i < 6; i++) {
            server.responses.add(OK);
        }
        if (row.serverConnection == ServerConnection.KEPT) {
            try (Socket client = connect()) {
                assertEquals(200, status(client, "file", 5000));
            }
            awaitSockets(0);
        }
        sockets.injectFault(row.call, row.times, row.errno.error);
        boolean ejected = isServerEjectedDuring(row);
        assertEquals(row.blame == Blame.SERVER, ejected);
        sockets.clearFaults();
        awaitSockets(0);
        if (row.blame == Blame.NONE) {
            try (Socket client = connect()) {
                assertEquals(200, status(client, "file", 5000), "requests are served again afterwards");
            }
        }
        awaitSockets(0);
    }

    @Test
    void oneByteReadsLoseNothing() throws Exception {
        sockets.limitReads(1);
        server.responses.add(OK);
        try (Socket client = connect()) {
            assertEquals(200, status(client, "file", 5000));
        }
        awaitSockets(0);
    }
}
