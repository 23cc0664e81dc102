package brackenbridge.net;

import brackenbridge.core.Effect;
import brackenbridge.core.Event;
import brackenbridge.log.Log;
import brackenbridge.net.channel.EventSink;
import brackenbridge.net.client.Listener;
import brackenbridge.net.upstream.UpstreamConnections;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Runs the reducer's effects, each with the handler of its type. Used on the event loop only. */
final class EffectRunner {
    private static final int REQUEST_TIMEOUT_STATUS = 408;

    private final Map<Class<? extends Effect>, Consumer<Effect>> handlers = new HashMap<>();
    private final UpstreamConnections upstream;
    private final EventSink events;
    private final Log log;

    EffectRunner(
            Timers timers,
            Listener listener,
            UpstreamConnections upstream,
            DiscoveryClient discovery,
            Replacement replacement,
            Shutdown shutdown,
            EventSink events,
            Log log) {
        this.upstream = upstream;
        this.events = events;
        this.log = log;
        on(Effect.SetTimer.class, timers::set);
        on(Effect.CancelTimer.class, timers::cancel);
        on(Effect.WatchDiscovery.class, effect -> discovery.watch(effect.call(), effect.afterVersion()));
        on(Effect.CancelDiscoveryCall.class, effect -> discovery.endCall(effect.call()));
        on(Effect.ReportFault.class, effect -> log.error("fault in the decision module", effect.cause()));
        on(Effect.Exit.class, effect -> shutdown.exit(effect.immediately()));
        registerUpstream();
        registerListener(listener);
        on(Effect.LeaveNewConnectionsToSuccessor.class, effect -> {
            listener.steerNewConnections();
            replacement.leaveDescriptorsToSuccessor();
        });
    }

    private void registerUpstream() {
        on(Effect.StartAttempt.class, upstream::startAttempt);
        on(Effect.CancelAttempt.class, effect -> upstream.cancelAttempt(effect.requestId(), effect.attempt()));
        on(Effect.StreamResponse.class, effect -> upstream.streamResponse(effect.requestId(), effect.attempt()));
        on(Effect.CloseIdleConnections.class, effect -> upstream.closeIdleConnections(effect.host(), effect.address()));
    }

    private void registerListener(Listener listener) {
        on(Effect.SendResponse.class, effect -> listener.respond(effect.requestId(), effect.message()));
        on(
                Effect.SendLocalReply.class,
                effect -> listener.respondLocally(effect.requestId(), effect.reply(), effect.retryAfterMs()));
        on(Effect.RefuseRequestId.class, effect -> listener.refuseRequestId(effect.message()));
        on(Effect.AnnounceClose.class, effect -> listener.announceClose(effect.enabled()));
        on(Effect.StopAccepting.class, effect -> listener.stopAccepting());
        on(Effect.CloseIdleClients.class, effect -> listener.closeIdleConnections());
        on(Effect.CloseClientsWhenIdle.class, effect -> listener.closeWhenIdle(effect.enabled()));
        on(Effect.RejectIncompleteRequests.class, effect -> listener.rejectIncomplete(REQUEST_TIMEOUT_STATUS));
    }

    private <E extends Effect> void on(Class<E> type, Consumer<E> handler) {
        handlers.put(type, effect -> handler.accept(type.cast(effect)));
    }

    /** Runs the effect; logs a failure, and reports what could not be started. */
    void run(Effect effect) {
        try {
            // Health check effects are used by the laboratory only and have no handler here.
            Consumer<Effect> handler = handlers.get(effect.getClass());
            if (handler != null) {
                handler.accept(effect);
            }
        } catch (RuntimeException e) {
            log.error("effect " + effect.getClass().getSimpleName() + " failed", e);
            if (effect instanceof Effect.StartAttempt start) {
                // Guards the request against waiting for an attempt of which nothing has been sent.
                upstream.cancelAttempt(start.requestId(), start.attempt());
                events.raise(new Event.AttemptNotStarted(start.requestId(), start.attempt()));
            } else if (effect instanceof Effect.StreamResponse stream) {
                events.raise(new Event.ResponseNotStreamable(stream.requestId(), stream.attempt()));
            }
        }
    }
}
