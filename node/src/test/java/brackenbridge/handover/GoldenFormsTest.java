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

/** Compares the lines of the handover protocol and the path of its socket with the golden files. */
class GoldenFormsTest {
    private static final HandoverState STATE = new HandoverState(
            500,
            300,
            new EndpointList(
                    41,
                    true,
                    List.of(
                            new ServerEndpoint(
                                    "s-1", "127.0.0.1:7001", "a", 3, 1.5, 1_700_000_000_001.0, EndpointState.UP),
                            new ServerEndpoint("s-2", "127.0.0.1:7002", "b", -1, 1, 0, EndpointState.DRAINING),
                            new ServerEndpoint("s-3", "127.0.0.1:7003", "b", -1, 1, 0, EndpointState.REMOVED))));
    private static final Handover.Participant PARTICIPANT = new Handover.Participant() {
        @Override
        public CompletableFuture<HandoverState> prepareState() {
            return CompletableFuture.completedFuture(STATE);
        }

        @Override
        public void onSuccessorChanged(boolean on) {
            // Only the lines are checked.
        }

        @Override
        public void onPredecessorEnded() {
            // Only the lines are checked.
        }

        @Override
        public void onDescriptorMessage(Neighbour from, DescriptorMessage message) {
            // Only the lines are checked.
        }
    };

    @TempDir
    Path directory;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void end() {
        // A predecessor listens again once its successor has disconnected, which must not happen during the deletion of
        // the directory.
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Path path() {
        return directory.resolve("handover.sock");
    }

    private Handover handover() {
        return new Handover(
                loop,
                path(),
                PARTICIPANT,
                new Counters(),
                new Log(Clock.system(), new PrintStream(OutputStream.nullOutputStream())));
    }

    @Test
    void pathOfTheHandoverSocket() throws IOException {
        GoldenText.check(
                "handover-path.txt",
                Handover.socketPath("/run", "n3", "127.0.0.1:8080").toString());
    }

    @Test
    void stateIsFormattedAndParsed() throws IOException {
        GoldenText.check("handover-offer.txt", STATE.toJson());
        assertEquals(STATE, HandoverState.parse(GoldenText.read("handover-offer.txt")));
    }

    /** Guards a successor whose predecessor is of a release before the exchange of descriptors. */
    @Test
    void stateWithoutGrantedDescriptorsIsParsed() throws IOException {
        HandoverState state =
                HandoverState.parse(GoldenText.read("handover-offer.txt").replace("\"granted\":300,", ""));
        assertEquals(new HandoverState(500, HandoverState.NOT_GRANTED, STATE.endpoints()), state);
    }

    @Test
    void linesOfThePredecessor() throws Exception {
        Handover handover = handover();
        loop.submit(() -> handover.announceReady(() -> {})).get();
        // The previous call has queued the bind on the loop.
        loop.submit(() -> {}).get();
        try (SocketChannel successor = SocketChannel.open(UnixDomainSocketAddress.of(path()))) {
            write(successor, "brackenbridge-handover 1 successor\n");
            String state = readLine(successor);
            write(successor, "ready\n");
            GoldenText.check("handover-predecessor.txt", state + readLine(successor));
        }
    }

    @Test
    void linesOfTheSuccessor() throws Exception {
        try (ServerSocketChannel listening = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            listening.bind(UnixDomainSocketAddress.of(path()));
            Handover handover = handover();
            CompletableFuture<HandoverState> requested =
                    loop.submit(handover::requestState).get();
            try (SocketChannel predecessor = listening.accept()) {
                String greeting = readLine(predecessor);
                write(predecessor, "brackenbridge-handover 1 " + STATE.toJson() + "\n");
                assertEquals(STATE, requested.get(10, TimeUnit.SECONDS));
                CompletableFuture<Void> serves = new CompletableFuture<>();
                loop.submit(() -> handover.announceReady(() -> serves.complete(null)))
                        .get();
                GoldenText.check("handover-successor.txt", greeting + readLine(predecessor));
                write(predecessor, "go\n");
                serves.get(10, TimeUnit.SECONDS);
            }
        }
    }

    private static void write(SocketChannel channel, String line) throws IOException {
        channel.write(ByteBuffer.wrap(line.getBytes(StandardCharsets.UTF_8)));
    }

    /** Reads the next line, including its line end. */
    private static String readLine(SocketChannel channel) throws IOException {
        StringBuilder line = new StringBuilder();
        ByteBuffer one = ByteBuffer.allocate(1);
        while (line.indexOf("\n") < 0 && channel.read(one.clear()) > 0) {
            line.append((char) one.get(0));
        }
        return line.toString();
    }
}
