package brackenbridge.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brackenbridge.clock.Clock;
import brackenbridge.core.EndpointList;
import brackenbridge.core.ServerEndpoint;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.counters.Counters;
import brackenbridge.log.Log;
import brackenbridge.testing.GoldenText;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The lines between a process and its successor, and the name of the path where they meet, against golden files. */
class GoldenFormsTest {
    private static final HandoverState OFFER = new HandoverState(
            500,
            new EndpointList(
                    41,
                    true,
                    List.of(
                            new ServerEndpoint(
                                    "s-1", "127.0.0.1:7001", "a", 3, 1.5, 1_700_000_000_001.0, EndpointState.UP),
                            new ServerEndpoint("s-2", "127.0.0.1:7002", "b", -1, 1, 0, EndpointState.DRAINING),
                            new ServerEndpoint("s-3", "127.0.0.1:7003", "b", -1, 1, 0, EndpointState.REMOVED))));
    private static final Handover.Participant PROCESS = new Handover.Participant() {
        @Override
        public CompletableFuture<HandoverState> prepareState() {
            return CompletableFuture.completedFuture(OFFER);
        }

        @Override
        public void onSuccessorChanged(boolean on) {
            // Only the lines are looked at.
        }

        @Override
        public void onPredecessorEnded() {
            // Only the lines are looked at.
        }
    };

    @TempDir
    Path directory;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void end() {
        // A predecessor whose successor has gone listens again: not while the directory is being deleted.
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Path path() {
        return directory.resolve("meet.sock");
    }

    private Handover handover() {
        return new Handover(
                loop,
                path(),
                PROCESS,
                new Counters(),
                new Log(Clock.system(), new PrintStream(OutputStream.nullOutputStream())));
    }

    @Test
    void whereProcessesMeet() throws IOException {
        GoldenText.check(
                "handover-path.txt",
                Handover.socketPath("/run", "n3", "127.0.0.1:8080").toString());
    }

    @Test
    void offerIsWordedAndReadAsEver() throws IOException {
        GoldenText.check("handover-offer.txt", OFFER.toJson());
        assertEquals(OFFER, HandoverState.parse(GoldenText.read("handover-offer.txt")));
    }

    @Test
    void whatAPredecessorSays() throws Exception {
        Handover handover = handover();
        loop.submit(() -> handover.announceReady(() -> {})).get();
        // The bind was queued on the loop by the call before.
        loop.submit(() -> {}).get();
        try (SocketChannel successor = SocketChannel.open(UnixDomainSocketAddress.of(path()))) {
            say(successor, "brackenbridge-handover 1 successor\n");
            String offer = hear(successor);
            say(successor, "ready\n");
            GoldenText.check("handover-predecessor.txt", offer + hear(successor));
        }
    }

    @Test
    void whatASuccessorSays() throws Exception {
        try (ServerSocketChannel listening = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            listening.bind(UnixDomainSocketAddress.of(path()));
            Handover handover = handover();
            CompletableFuture<HandoverState> asked =
                    loop.submit(handover::requestState).get();
            try (SocketChannel predecessor = listening.accept()) {
                String said = hear(predecessor);
                say(predecessor, "brackenbridge-handover 1 " + OFFER.toJson() + "\n");
                assertEquals(OFFER, asked.get(10, TimeUnit.SECONDS));
                CompletableFuture<Void> serves = new CompletableFuture<>();
                loop.submit(() -> handover.announceReady(() -> serves.complete(null)))
                        .get();
                GoldenText.check("handover-successor.txt", said + hear(predecessor));
                say(predecessor, "go\n");
                serves.get(10, TimeUnit.SECONDS);
            }
        }
    }

    private static void say(SocketChannel channel, String line) throws IOException {
        channel.write(ByteBuffer.wrap(line.getBytes(StandardCharsets.UTF_8)));
    }

    /** The next line, with its end. */
    private static String hear(SocketChannel channel) throws IOException {
        StringBuilder line = new StringBuilder();
        ByteBuffer one = ByteBuffer.allocate(1);
        while (line.indexOf("\n") < 0 && channel.read(one.clear()) > 0) {
            line.append((char) one.get(0));
        }
        return line.toString();
    }
}
