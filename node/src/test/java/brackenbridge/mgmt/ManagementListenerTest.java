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

/** Operators' calls, good and bad. */
class ManagementListenerTest {
    private final List<Boolean> drains = new ArrayList<>();
    private final List<RejectionReason> refused = Collections.synchronizedList(new ArrayList<>());
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
                    refused.add(why);
                }
            },
            new Log(Clock.system(), new PrintStream(OutputStream.nullOutputStream())));
    private String at;

    @BeforeEach
    void listen() {
        listener.listen(new InetSocketAddress("127.0.0.1", 0));
        at = "127.0.0.1:" + listener.address().getPort();
    }

    @AfterEach
    void close() {
        listener.close();
    }

    private Socket connect() throws IOException {
        Socket s = new Socket("127.0.0.1", listener.address().getPort());
        s.setSoTimeout(10_000);
        return s;
    }

    private String raw(byte[] bytes) throws IOException {
        try (Socket s = connect()) {
            s.getOutputStream().write(bytes);
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @Test
    void eachCallHasItsAnswer() throws IOException {
        assertEquals("+OK\n", ManagementCall.send(at, "PING"));
        assertEquals("+OK\nproxy.tries:3|c\n.\n", ManagementCall.send(at, "INFO\r"));
        assertEquals("+OK\n", ManagementCall.send(at, "LAMEDUCK"));
        assertEquals("+OK\n", ManagementCall.send(at, "REJOIN"));
        assertEquals(List.of(true, false), drains);
        stopping = true;
        assertEquals("-ERR takes no clients\n", ManagementCall.send(at, "PING"));
        assertEquals("-ERR the node is stopping\n", ManagementCall.send(at, "LAMEDUCK"));
    }

    @Test
    void whatIsNoCallGetsOneLineAndTheEnd() throws IOException {
        assertEquals("-ERR unknown call\n", ManagementCall.send(at, "ping"));
        assertEquals("-ERR unknown call\n", ManagementCall.send(at, ""));
        assertEquals("-ERR not a call\n", raw("x".repeat(257).getBytes(StandardCharsets.US_ASCII)));
        assertEquals("-ERR not a call\n", raw(new byte[] {'P', (byte) 0xff}));
        assertEquals(List.of(), drains);
        assertEquals(
                List.of(
                        RejectionReason.UNKNOWN,
                        RejectionReason.UNKNOWN,
                        RejectionReason.OVERSIZED,
                        RejectionReason.MALFORMED),
                refused);
    }

    @Test
    void hundredsOfSilentAndHalfCallsLeaveRoomForAGoodOne() throws IOException {
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            silent.add(connect());
            if (i % 2 == 0) {
                silent.get(i).getOutputStream().write('P');
            }
        }
        assertEquals("+OK\n", ManagementCall.send(at, "PING"));
        int open = 0;
        for (Socket s : silent) {
            s.setSoTimeout(1);
            try {
                s.getInputStream().read();
            } catch (java.net.SocketTimeoutException e) {
                open++;
            } catch (IOException e) {
                continue;
            }
        }
        assertEquals(true, open <= 16, open + " are open");
        silent.get(299).setSoTimeout(10_000);
        assertEquals(-1, silent.get(299).getInputStream().read(), "silence ends");
        assertEquals(
                List.of(),
                // A copy: the listener may still be counting calls that it ends.
                List.copyOf(refused).stream()
                        .filter(r -> r != RejectionReason.SHED && r != RejectionReason.TOO_SLOW)
                        .toList());
        assertTrue(
                refused.contains(RejectionReason.TOO_SLOW) && refused.contains(RejectionReason.SHED),
                refused.toString());
        assertTrue(refused.size() <= 300, "each is counted once: " + refused.size());
        for (Socket s : silent) {
            s.close();
        }
    }

    @Test
    void commandLineTurnsDownWhatIsNoAddress() {
        assertThrows(IllegalArgumentException.class, () -> ManagementCall.send("nowhere", "PING"));
        assertThrows(IllegalArgumentException.class, () -> ManagementCall.send("127.0.0.1:70000", "PING"));
    }
}
