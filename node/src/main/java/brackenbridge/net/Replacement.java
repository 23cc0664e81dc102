package brackenbridge.net;

import brackenbridge.core.Event;
import brackenbridge.counters.Counters;
import brackenbridge.handover.DescriptorMessage;
import brackenbridge.handover.Handover;
import brackenbridge.handover.HandoverState;
import brackenbridge.handover.Neighbour;
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
import java.util.function.IntFunction;

/** The node's part in a handover: as successor of the process that serves, and as predecessor of the next one. */
final class Replacement implements Handover.Participant {
    /**
     * Maximum time that a successor waits for the exit of this process's own predecessor; its own timeout is a second.
     */
    private static final long MAX_PREDECESSOR_WAIT_MS = 800;

    private final EventLoop loop;
    private final DescriptorExchange descriptors;
    private final IntFunction<HandoverState> state;
    private final EventSink events;
    private final Log log;
    /** Null if this node can't be replaced while it serves. */
    private final Handover handover;

    /** Completes once no earlier process is left. */
    private CompletableFuture<Void> predecessorExit = CompletableFuture.completedFuture(null);
    /**
     * Whether a successor joined while this process's own predecessor was still running: the order of their sockets in
     * the kernel is then unknown.
     */
    private boolean joinedBeforePredecessorExit;

    /**
     * Creates the handover of a node at this path.
     *
     * @param path null if the node takes part in no handover
     * @param state the state that a successor receives, with this many descriptors
     */
    Replacement(
            EventLoop loop,
            Path path,
            DescriptorBudget descriptors,
            DescriptorExchange.Connections connections,
            IntFunction<HandoverState> state,
            EventSink events,
            Counters counters,
            Log log) {
        this.loop = loop;
        this.descriptors = new DescriptorExchange(loop, descriptors, connections, this::send);
        this.state = state;
        this.events = events;
        this.log = log;
        handover = path == null ? null : new Handover(loop, path, this, counters, log);
    }

    /**
     * Waits for the state of the process that is already serving; returns null if there is none. Must not be called on
     * the event loop.
     */
    HandoverState inheritState() {
        if (handover == null) {
            return null;
        }
        CompletableFuture<HandoverState> answered = new CompletableFuture<>();
        loop.execute(() -> handover.requestState().thenAccept(offered -> {
            if (offered != null) {
                predecessorExit = new CompletableFuture<>();
                descriptors.beginAsSuccessor(offered.granted());
            }
            answered.complete(offered);
        }));
        HandoverState inherited = answered.join();
        if (inherited != null) {
            log.info("replacing another process: inherited endpoint list version "
                    + inherited.endpoints().version());
        }
        return inherited;
    }

    /** Announces that the node can serve; runs the action once the predecessor, if any, has been notified. */
    void announceReady(Runnable onServing) {
        if (handover == null) {
            onServing.run();
        } else {
            handover.announceReady(onServing);
        }
    }

    /** Directs new connections to the successor; fails if the successor's socket can't be identified. */
    CompletableFuture<Void> steerToSuccessor(InetSocketAddress address, SocketCalls.SteerCall steer) {
        if (joinedBeforePredecessorExit) {
            return CompletableFuture.failedFuture(
                    new IOException("this process's predecessor was still running when its successor joined"));
        }
        return steer.steerToNewer(address);
    }

    private void send(Neighbour recipient, DescriptorMessage message) {
        handover.send(recipient, message);
    }

    /** Leaves the descriptors to the successor that the remaining clients of this process don't need. */
    void leaveDescriptorsToSuccessor() {
        descriptors.leaveToSuccessor();
    }

    /** Requests descriptors from the other processes of this node, as this one lacks some. */
    void requestDescriptors() {
        descriptors.request();
    }

    /** Ends the part in any handover. */
    void close() {
        if (handover != null) {
            handover.close();
        }
    }

    @Override
    public CompletableFuture<HandoverState> prepareState() {
        ReusePortSteering.prepare();
        descriptors.prepareForSuccessor();
        CompletableFuture<HandoverState> offered = new CompletableFuture<>();
        predecessorExit.thenRun(() -> completeOffer(offered));
        loop.schedule(() -> completeOffer(offered), MAX_PREDECESSOR_WAIT_MS, TimeUnit.MILLISECONDS);
        return offered;
    }

    private void completeOffer(CompletableFuture<HandoverState> offered) {
        if (!offered.isDone()) {
            joinedBeforePredecessorExit = !predecessorExit.isDone();
            offered.complete(state.apply(descriptors.takeFirstGrant()));
        }
    }

    @Override
    public void onSuccessorChanged(boolean on) {
        if (!on) {
            descriptors.onEnded(Neighbour.SUCCESSOR);
        }
        events.raise(new Event.SuccessorChanged(on));
    }

    @Override
    public void onPredecessorEnded() {
        log.info("the old process has exited: its descriptors are available");
        predecessorExit.complete(null);
        descriptors.onEnded(Neighbour.PREDECESSOR);
    }

    @Override
    public void onDescriptorMessage(Neighbour from, DescriptorMessage message) {
        descriptors.onMessage(from, message);
    }
}
