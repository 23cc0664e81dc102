package brackenbridge.net;

import brackenbridge.core.Event;
import brackenbridge.counters.Counters;
import brackenbridge.handover.Handover;
import brackenbridge.handover.HandoverState;
import brackenbridge.log.Log;
import brackenbridge.net.channel.DescriptorBudget;
import brackenbridge.net.channel.EventSink;
import brackenbridge.net.channel.SocketCalls;
import brackenbridge.transport.ReusePortSteering;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** The node's side of a replacement: as successor of the process that serves, and as predecessor of the next one. */
final class Replacement implements Handover.Participant {
    /** A successor waits so long at most for the end of this process's own predecessor; it waits a second itself. */
    private static final long MAX_PREDECESSOR_WAIT_MS = 800;

    private final EventLoop loop;
    private final DescriptorBudget descriptors;
    private final Supplier<HandoverState> state;
    private final EventSink events;
    private final Log log;
    /** Null if this node can't be replaced while it serves. */
    private final Handover handover;

    /** Completes once no process from before this one is left. */
    private CompletableFuture<Void> predecessorExit = CompletableFuture.completedFuture(null);
    /** A successor came while this process's own predecessor was still there, so the kernel's order is not known. */
    private boolean joinedBeforePredecessorExit;

    /**
     * Makes the part of a node that meets other processes at this path.
     *
     * @param path null if the node meets none
     * @param state what a successor gets
     */
    Replacement(
            EventLoop loop,
            Path path,
            DescriptorBudget descriptors,
            Supplier<HandoverState> state,
            EventSink events,
            Counters counters,
            Log log) {
        this.loop = loop;
        this.descriptors = descriptors;
        this.state = state;
        this.events = events;
        this.log = log;
        handover = path == null ? null : new Handover(loop, path, this, counters, log);
    }

    /** Waits for the state of the process that serves already; null if there is none. Not on the event loop. */
    HandoverState inheritState() {
        if (handover == null) {
            return null;
        }
        CompletableFuture<HandoverState> answered = new CompletableFuture<>();
        loop.execute(() -> handover.requestState().thenAccept(offered -> {
            predecessorExit = offered == null ? predecessorExit : new CompletableFuture<>();
            answered.complete(offered);
        }));
        HandoverState inherited = answered.join();
        if (inherited != null) {
            log.info("replacing another process: inherited endpoint list version "
                    + inherited.endpoints().version());
        }
        return inherited;
    }

    /** The node can serve: runs this once the predecessor, if there is one, has been notified. */
    void announceReady(Runnable onServing) {
        if (handover == null) {
            onServing.run();
        } else {
            handover.announceReady(onServing);
        }
    }

    /** Directs new connections to the successor; fails if it can't be told which of the sockets is the successor's. */
    CompletableFuture<Void> steerToSuccessor(InetSocketAddress address, SocketCalls.SteerCall steer) {
        if (joinedBeforePredecessorExit) {
            return CompletableFuture.failedFuture(new IOException("the process before this one was still there"));
        }
        return steer.steerToNewer(address);
    }

    /** Meets no other process any more. */
    void close() {
        if (handover != null) {
            handover.close();
        }
    }

    @Override
    public CompletableFuture<HandoverState> offer() {
        ReusePortSteering.prepare();
        descriptors.shareWithOtherProcess(true);
        CompletableFuture<HandoverState> offered = new CompletableFuture<>();
        predecessorExit.thenRun(() -> completeOffer(offered));
        loop.schedule(() -> completeOffer(offered), MAX_PREDECESSOR_WAIT_MS, TimeUnit.MILLISECONDS);
        return offered;
    }

    private void completeOffer(CompletableFuture<HandoverState> offered) {
        if (!offered.isDone()) {
            joinedBeforePredecessorExit = !predecessorExit.isDone();
            offered.complete(state.get());
        }
    }

    @Override
    public void successorServes(boolean on) {
        descriptors.shareWithOtherProcess(on);
        events.raise(new Event.SuccessorServes(on));
    }

    @Override
    public void predecessorEnded() {
        log.info("the old process has exited: its descriptors are available");
        predecessorExit.complete(null);
        descriptors.shareWithOtherProcess(false);
    }
}
