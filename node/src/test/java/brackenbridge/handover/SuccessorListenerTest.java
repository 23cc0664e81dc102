package brackenbridge.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import brackenbridge.core.EndpointList;
import brackenbridge.counters.Counters;
import brackenbridge.log.Log;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A successor may connect as soon as the path of the handover socket exists. */
class SuccessorListenerTest {
    private static final int ROUNDS = 3000;

    private static final Handover.Participant PARTICIPANT = new Handover.Participant() {
        @Override
        public CompletableFuture<HandoverState> prepareState() {
            return CompletableFuture.completedFuture(new HandoverState(1, 1, new EndpointList(1, true, List.of())));
        }

        @Override
        public void onSuccessorChanged(boolean on) {
            // Only the connect is checked.
        }

        @Override
        public void onPredecessorEnded() {
            // Only the connect is checked.
        }

        @Override
        public void onDescriptorMessage(Neighbour from, DescriptorMessage message) {
            // Only the connect is checked.
        }
    };

    @TempDir
    private Path directory;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Guards against a path that exists before the socket listens, where a connect would be refused. */
    @Test
    @Timeout(60)
    void existingPathAcceptsConnections() throws Exception {
        Log log = new Log(Clock.system(), new PrintStream(OutputStream.nullOutputStream()));
        List<String> failures = new ArrayList<>();
        for (int i = 0; i < ROUNDS; i++) {
            Path path = directory.resolve("handover-" + i);
            SuccessorListener listener = new SuccessorListener(loop, path, PARTICIPANT, new Counters(), log);
            loop.execute(listener::listen);
            while (!Files.exists(path)) {
                Thread.onSpinWait();
            }
            try (SocketChannel successor = SocketChannel.open(UnixDomainSocketAddress.of(path))) {
                assertTrue(successor.isConnected());
            } catch (IOException e) {
                failures.add(e.getMessage());
            }
            loop.submit(listener::close).get();
        }
        assertEquals(List.of(), failures);
    }

    /** A leftover file would look like a running process to a later one. */
    @Test
    void closedListenerLeavesNoFile() throws Exception {
        Path path = directory.resolve("handover");
        Log log = new Log(Clock.system(), new PrintStream(OutputStream.nullOutputStream()));
        SuccessorListener listener = new SuccessorListener(loop, path, PARTICIPANT, new Counters(), log);
        loop.submit(listener::listen).get();
        // The previous call has queued the bind on the loop.
        loop.submit(() -> {}).get();
        assertTrue(Files.exists(path));
        loop.submit(listener::close).get();
        try (var files = Files.list(directory)) {
            assertEquals(List.of(), files.toList());
        }
    }
}
