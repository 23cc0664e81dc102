package brackenbridge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.config.ConfigTest;
import brackenbridge.log.Log;
import brackenbridge.net.Node;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How the process of a node ends; in place of a real end, the status and the thread are recorded. */
@Timeout(20)
class NodeProcessTest {
    private static final String BRIEF = "\"aim\":9000,\"giveUp\":100000";

    private final Clock clock = Clock.system();
    private final Log log = new Log(clock, new PrintStream(OutputStream.nullOutputStream()));
    private final Node node = new Node(
            Config.parse(ConfigTest.TEXT
                    .replace("\"aim\":4000000,\"giveUp\":8000000", BRIEF)
                    .replace("\"aim\":3000000,\"giveUp\":6000000", BRIEF)),
            clock,
            log);

    private record End(int status, Thread thread) {}

    private final CompletableFuture<End> end = new CompletableFuture<>();
    private final List<String> steps = new CopyOnWriteArrayList<>();

    private void exit(int status) {
        steps.add("exit");
        end.complete(new End(status, Thread.currentThread()));
    }

    private NodeProcess process(Main.NodeExtension extension) {
        return new NodeProcess(node, extension, log, this::exit);
    }

    private static void stopInBackground(NodeProcess process) {
        process.stop();
        new Thread(process::awaitEnd, "signal").start();
    }

    /** The thread on which the node completes its stop. */
    private CompletableFuture<Thread> stopThread() {
        return node.stop().thenApply(nothing -> Thread.currentThread());
    }

    // Guards against an exit that waits until a sleeping thread gets a processor, which takes long on a crowded
    // machine.
    @Test
    void processEndsOnTheThreadThatStoppedTheNode() throws Exception {
        node.start();
        CompletableFuture<Thread> stopThread = stopThread();
        stopInBackground(process(null));
        End reached = end.get(10, TimeUnit.SECONDS);
        assertEquals(0, reached.status());
        assertSame(stopThread.get(10, TimeUnit.SECONDS), reached.thread());
        assertEquals(List.of("exit"), steps);
    }

    // Guards an extension that waits for the event loop while it closes.
    @Test
    void extensionIsClosedBesideTheEventLoopBeforeTheEnd() throws Exception {
        node.start();
        Main.NodeExtension extension = new ClosingExtension(
                () -> assertEquals(0, node.tenantUse().get(10, TimeUnit.SECONDS).size()));
        stopInBackground(process(extension));
        assertEquals(0, end.get(10, TimeUnit.SECONDS).status());
        assertEquals(List.of("close extension", "exit"), steps);
    }

    @Test
    void failureOfTheExtensionEndsTheProcessWithAnErrorStatus() throws Exception {
        node.start();
        Main.NodeExtension extension = new ClosingExtension(() -> {
            throw new IllegalStateException("can't close");
        });
        stopInBackground(process(extension));
        assertEquals(NodeProcess.EXIT_STOP_FAILED, end.get(10, TimeUnit.SECONDS).status());
    }

    private interface Work {
        void run() throws Exception;
    }

    /** Does some work when it is closed. */
    private final class ClosingExtension implements Main.NodeExtension {
        private final Work work;

        ClosingExtension(Work work) {
            this.work = work;
        }

        @Override
        public void onStarting(Node starting) {
            steps.add("start extension");
        }

        @Override
        public void onStopped() {
            steps.add("close extension");
            try {
                work.run();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
