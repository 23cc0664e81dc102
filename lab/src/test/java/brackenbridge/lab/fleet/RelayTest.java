package brackenbridge.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A relay between blocking sockets: a server that sends back what it gets, and clients. */
@Timeout(30)
class RelayTest {
    private static final int SILENT_MS = 150;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private ServerSocket server;
    private Relay relay;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread echoes = new Thread(() -> {
            while (!server.isClosed()) {
                try {
                    Socket s = server.accept();
                    Thread t = new Thread(() -> echo(s));
                    t.setDaemon(true);
                    t.start();
                } catch (IOException e) {
                    return;
                }
            }
        });
        echoes.setDaemon(true);
        echoes.start();
        relay = new Relay("a>b", loop, Clock.system(), (InetSocketAddress) server.getLocalSocketAddress(), 1);
    }

    private static void echo(Socket s) {
        try (s) {
            s.getInputStream().transferTo(s.getOutputStream());
        } catch (IOException e) {
            return;
        }
    }

    @AfterEach
    void end() throws IOException {
        relay.close();
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Socket open() throws IOException {
        Socket s = new Socket();
        s.connect(relay.address(), 1000);
        s.setSoTimeout(5000);
        return s;
    }

    private static void asksAndHears(Socket s) throws IOException {
        s.getOutputStream().write("hello".getBytes());
        assertArrayEquals("hello".getBytes(), s.getInputStream().readNBytes(5));
    }

    /** What was told to the relay before this has been done. */
    private void settled() {
        loop.submit(() -> {}).syncUninterruptibly();
    }

    private void begin(LinkFault f) {
        relay.begin(f);
        settled();
    }

    private void end(LinkFault f) {
        relay.end(f);
        settled();
    }

    private static LinkFault fault(LinkFault.Kind kind, double amount) {
        return new LinkFault(kind, amount, 0);
    }

    @Test
    void bytesPassUnchangedBothWaysAndEndsToo() throws Exception {
        byte[] much = new byte[3_000_000];
        new Random(5).nextBytes(much);
        try (Socket s = open()) {
            Thread writes = new Thread(() -> {
                try {
                    s.getOutputStream().write(much);
                    s.shutdownOutput();
                } catch (IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            });
            writes.start();
            assertArrayEquals(much, s.getInputStream().readAllBytes(), "up to the end, which comes too");
            writes.join();
        }
        Relay.Counts c = loop.submit(relay::counts).get();
        assertEquals(much.length, c.bytesThere());
        assertEquals(much.length, c.bytesBack());
        assertEquals(0, c.resets());
    }

    @ParameterizedTest
    @EnumSource(names = {"BLACK_HOLE", "NO_WAY_THERE", "NO_WAY_BACK", "HALF_OPEN"})
    void silenceIsNeitherAnswerNorEndUntilItIsOver(LinkFault.Kind kind) throws IOException {
        try (Socket s = open()) {
            asksAndHears(s);
            LinkFault f = fault(kind, 0);
            begin(f);
            s.getOutputStream().write(1);
            s.setSoTimeout(SILENT_MS);
            assertThrows(SocketTimeoutException.class, () -> s.getInputStream().read());
            if (kind != LinkFault.Kind.HALF_OPEN) {
                try (Socket other = open()) {
                    other.getOutputStream().write(1);
                    other.setSoTimeout(SILENT_MS);
                    assertThrows(
                            SocketTimeoutException.class,
                            () -> other.getInputStream().read(),
                            "a new one too");
                }
            }
            end(f);
            s.setSoTimeout(5000);
            assertThrows(IOException.class, () -> s.getInputStream().read(), "reset once the link is back");
        }
        try (Socket s = open()) {
            asksAndHears(s);
        }
    }

    @Test
    void refusedAndResetLinksSaySoAtOnceAndComeBack() throws IOException {
        try (Socket kept = open()) {
            asksAndHears(kept);
            LinkFault refuse = fault(LinkFault.Kind.REFUSE, 0);
            begin(refuse);
            assertThrows(IOException.class, this::open);
            asksAndHears(kept);
            end(refuse);
            LinkFault reset = fault(LinkFault.Kind.RESET, 0);
            begin(reset);
            assertThrows(IOException.class, () -> asksAndHears(kept));
            assertThrows(IOException.class, () -> {
                try (Socket s = open()) {
                    asksAndHears(s);
                }
            });
            end(reset);
        }
        try (Socket s = open()) {
            asksAndHears(s);
        }
    }

    private double tookMs(Socket s) throws IOException {
        long from = System.nanoTime();
        asksAndHears(s);
        return (System.nanoTime() - from) / 1e6;
    }

    @Test
    void delayedAndNarrowLinksAreLaterByAsMuch() throws IOException {
        try (Socket s = open()) {
            asksAndHears(s);
            LinkFault delay = fault(LinkFault.Kind.DELAY, 40);
            begin(delay);
            assertTrue(tookMs(s) >= 80, "40 ms each way");
            end(delay);
            LinkFault slow = fault(LinkFault.Kind.SLOW_ANSWERS, 60);
            begin(slow);
            assertTrue(tookMs(s) >= 60, "on the way back alone");
            end(slow);
            LinkFault narrow = fault(LinkFault.Kind.NARROW, 100);
            begin(narrow);
            assertTrue(tookMs(s) >= 100, "five bytes at 100 a second, each way");
            end(narrow);
        }
    }

    @Test
    void cutLinkEndsInTheMiddleOfAnAnswer() throws IOException {
        begin(fault(LinkFault.Kind.CUT, 8));
        try (Socket s = open()) {
            asksAndHears(s);
            s.getOutputStream().write("hello again".getBytes());
            assertThrows(IOException.class, () -> s.getInputStream().readNBytes(11));
        }
    }
}
