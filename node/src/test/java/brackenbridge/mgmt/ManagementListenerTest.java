package brackenbridge.mgmt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import brackenbridge.counters.RejectionReason;
import brackenbridge.log.Log;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Valid and invalid calls of operators. */
class ManagementListenerTest {
    private final List<Boolean> drains = new ArrayList<>();
    private final List<RejectionReason> rejections = Collections.synchronizedList(new ArrayList<>());
    private boolean stopping;
    private final ManagementListener listener = new ManagementListener(
            new AdminOperations() {
                @Override
                public boolean acceptsClients() {
                    return !stopping;
                }

                @Override
                public String metricsText() {
                    return "proxy.tries:3|c\n";
                }

                @Override
                public CompletableFuture<Boolean> drain(boolean on) {
                    drains.add(on);
                    return CompletableFuture.completedFuture(!stopping);
                }

                @Override
                public void onRejectedCall(RejectionReason why) {
                    rejections.add(why);
                }
            },
            new Log(Clock.system(), new PrintStream(OutputStream.nullOutputStream())));
    private String address;

    @BeforeEach
    void listen() {
        listener.listen(new InetSocketAddress("127.0.0.1", 0));
        address = "127.0.0.1:" + listener.address().getPort();
    }

    @AfterEach
    void close() {
        listener.close();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", listener.address().getPort());
        socket.setSoTimeout(10_000);
        return socket;
    }

    private String sendBytes(byte[] bytes) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(bytes);
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @Test
    void eachCallIsAnswered() throws IOException {
        assertEquals("+OK\n", ManagementCall.send(address, "PING"));
        assertEquals("+OK\nproxy.tries:3|c\n.\n", ManagementCall.send(address, "INFO\r"));
        assertEquals("+OK\n", ManagementCall.send(address, "LAMEDUCK"));
        assertEquals("+OK\n", ManagementCall.send(address, "REJOIN"));
        assertEquals(List.of(true, false), drains);
        stopping = true;
        assertEquals("-ERR takes no clients\n", ManagementCall.send(address, "PING"));
        assertEquals("-ERR the node is stopping\n", ManagementCall.send(address, "LAMEDUCK"));
    }

    @Test
    void invalidCallGetsOneLineAndIsClosed() throws IOException {
        assertEquals("-ERR unknown call\n", ManagementCall.send(address, "ping"));
        assertEquals("-ERR unknown call\n", ManagementCall.send(address, ""));
        assertEquals("-ERR not a call\n", sendBytes("x".repeat(257).getBytes(StandardCharsets.US_ASCII)));
        assertEquals("-ERR not a call\n", sendBytes(new byte[] {'P', (byte) 0xff}));
        assertEquals(List.of(), drains);
        assertEquals(
                List.of(
                        RejectionReason.UNKNOWN,
                        RejectionReason.UNKNOWN,
                        RejectionReason.OVERSIZED,
                        RejectionReason.MALFORMED),
                rejections);
    }

    @Test
    void idleAndIncompleteCallsDoNotBlockAValidOne() throws IOException {
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            idle.add(connect());
            if (i % 2 == 0) {
                idle.get(i).getOutputStream().write('P');
            }
        }
        assertEquals("+OK\n", ManagementCall.send(address, "PING"));
        int open = 0;
        for (Socket s : idle) {
            s.setSoTimeout(1);
            try {
                s.getInputStream().read();
            } catch (java.net.SocketTimeoutException e) {
                open++;
            } catch (IOException e) {
                continue;
            }
        }
        assertEquals(true, open <= 16, open + " connections are open");
        idle.get(299).setSoTimeout(10_000);
        assertEquals(-1, idle.get(299).getInputStream().read(), "an idle connection is closed");
        assertEquals(
                List.of(),
                // A copy, since the listener may still be adding rejections.
                List.copyOf(rejections).stream()
                        .filter(r -> r != RejectionReason.SHED && r != RejectionReason.TOO_SLOW)
                        .toList());
        assertTrue(
                rejections.contains(RejectionReason.TOO_SLOW) && rejections.contains(RejectionReason.SHED),
                rejections.toString());
        assertTrue(rejections.size() <= 300, "each rejection is counted once: " + rejections.size());
        for (Socket s : idle) {
            s.close();
        }
    }

    @Test
    void invalidAddressIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> ManagementCall.send("nowhere", "PING"));
        assertThrows(IllegalArgumentException.class, () -> ManagementCall.send("127.0.0.1:70000", "PING"));
    }
}
