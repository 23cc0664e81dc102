package brackenbridge.net.client;

import brackenbridge.clock.Clock;
import brackenbridge.core.Effect.LocalReply;
import brackenbridge.core.Event;
import brackenbridge.core.Event.ResponseEnd;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.counters.Counters;
import brackenbridge.http.Headers;
import brackenbridge.http.HttpResponse;
import brackenbridge.net.channel.DescriptorBudget;
import brackenbridge.net.channel.EventSink;
import brackenbridge.net.channel.StreamedResponse;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.BooleanSupplier;

/** The client connections of a node: raises their requests as events and runs the reducer's effects on them. */
public final class Listener {
    /** A process that exits gives its last clients this long to see the end of their responses. */
    private static final double EXIT_LINGER_MS = 100;

    private final Clock clock;
    private final EventSink events;
    private final OpenRequests openRequests = new OpenRequests();
    private final ClosePolicy closePolicy = new ClosePolicy();
    private final RequestValidator validator;
    private final ConnectionRegistry registry;
    private final ConnectionShedding shedding;
    private final ClientContext context;

    /** With no connection yet; {@code makeRoom} is to close something idle when no further client connection fits. */
    public Listener(
            BalancerSettings settings,
            Clock clock,
            EventSink events,
            DescriptorBudget descriptors,
            Counters counters,
            BooleanSupplier ready,
            Runnable makeRoom) {
        this.clock = clock;
        this.events = events;
        validator = new RequestValidator(settings, counters, openRequests);
        registry = new ConnectionRegistry(descriptors, counters, makeRoom, this::scheduleResumeAccepting);
        shedding = new ConnectionShedding(registry, clock, counters);
        context = new ClientContext(
                clock,
                events,
                counters,
                registry,
                openRequests,
                validator,
                new HealthEndpoints(ready, counters),
                new RequestMemoryBudget(counters),
                closePolicy,
                new ConnectionTimeouts(closePolicy, descriptors));
    }

    /** Makes the handlers of each connection that is accepted. */
    public ChannelInitializer<Channel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new ClientConnection(channel, context));
            }
        };
    }

    /** Requests that are complete from now on are handled by these settings. */
    public void applySettings(BalancerSettings settings) {
        validator.applySettings(settings);
    }

    /** Sets the acceptor that connections come from: it is paused while no further one fits. */
    public void setAcceptor(ConnectionAcceptor acceptor) {
        registry.setAcceptor(acceptor);
    }

    /** Responds with what a server sent: a complete response, or a streamed one on its way. */
    public void respond(long requestId, Object message) {
        ClientConnection connection = openRequests.close(requestId);
        if (connection == null) {
            if (message instanceof StreamedResponse streamed) {
                streamed.body().cancel();
            }
            events.raise(new Event.ResponseFinished(requestId, ResponseEnd.ABANDONED));
            return;
        }
        ResponseWriter writer = connection.writer();
        if (message instanceof StreamedResponse streamed) {
            writer.respondOrFail(() -> writer.respondStreaming(streamed));
        } else {
            writer.respondOrFail(() -> writer.respond((HttpResponse) message));
        }
    }

    /** Responds with what the node itself says; after this time, if not zero, the client may try again. */
    public void respondLocally(long requestId, LocalReply reply, double retryAfterMs) {
        ClientConnection connection = openRequests.close(requestId);
        if (connection == null) {
            events.raise(new Event.ResponseFinished(requestId, ResponseEnd.ABANDONED));
            return;
        }
        if (connection.hasPresenceExpired(clock.nowMs())) {
            // Behind more than may wait, each further request would only be withdrawn as well.
            connection.request().endConnectionAfterResponse();
        }
        Headers fields = new Headers();
        if (retryAfterMs > 0) {
            fields.add("Retry-After", String.format(Locale.ROOT, "%.3f", retryAfterMs / 1000));
        }
        ResponseWriter writer = connection.writer();
        writer.respondOrFail(() -> {
            switch (reply) {
                case REJECTED -> writer.respond(503, fields, text("refused\n"));
                case FAILED -> writer.respond(502, fields, text("failed\n"));
                case INVALID_REQUEST -> writer.rejectMalformed(400, "the server rejects this request");
                default -> writer.respond(504, fields, text("no answer in time\n"));
            }
        });
    }

    private static byte[] text(String body) {
        return body.getBytes(StandardCharsets.UTF_8);
    }

    /** Sets whether each response announces the end of its connection. */
    public void announceClose(boolean on) {
        closePolicy.setAnnounceClose(on);
    }

    /** Sets whether connections that carry nothing are ended, those of the moment and later ones. */
    public void closeWhenIdle(boolean on) {
        closePolicy.setCloseWhenIdle(on);
    }

    /** Rejects with this status the requests that have begun and are incomplete, and ends their connections. */
    public void rejectIncomplete(int status) {
        for (ClientConnection connection : registry.copy()) {
            if (connection.isReadingRequest()) {
                connection.writer().rejectMalformed(status, "request too slow for a node that drains or stops");
            }
        }
    }

    /** Leaves new connections to the process that listens beside this one. */
    public void steerNewConnections() {
        registry.steerNewConnections();
    }

    /** Accepts no more clients, for good. */
    public void stopAccepting() {
        registry.stopAccepting();
    }

    /** Ends the connections that carry nothing. */
    public void closeIdleConnections() {
        for (ClientConnection connection : registry.copy()) {
            if (connection.isIdle()) {
                connection.endIfIdle();
            }
        }
    }

    /** Whether no client awaits anything, and those whose connection has been ended had time to see it. */
    public boolean isQuiet() {
        double now = clock.nowMs();
        return !registry.isEmptyingBacklog()
                && registry.connections().stream()
                        .allMatch(c -> c.isEnding() && now - c.stateSinceMs() > EXIT_LINGER_MS);
    }

    /**
     * Whether the request's client is known to be present, see {@link ClientPresence}. No attempt begins without this;
     * a client that stays hidden has its request withdrawn by the sweep.
     */
    public boolean isClientPresent(long requestId) {
        ClientConnection connection = openRequests.connectionOf(requestId);
        return connection != null && connection.isClientPresent();
    }

    /** Ends what takes too long; called several times a second. */
    public void sweep() {
        double now = clock.nowMs();
        for (ClientConnection connection : registry.copy()) {
            connection.sweep(now);
        }
        resumeAcceptingOrShed();
    }

    /** The clients that were accepted last may be closed by then; the next sweep may come much later. */
    private void scheduleResumeAccepting() {
        registry.scheduleIfAccepting(this::resumeAcceptingOrShed, ConnectionTimeouts.MIN_IDLE_BEFORE_CLOSE_MS + 1);
    }

    /** At the limit others wait in the backlog: all that has been idle for a moment makes room. */
    private void resumeAcceptingOrShed() {
        if (!registry.resumeAccepting()) {
            shedding.shedAll();
        }
    }

    /** Closes the longest idle of the connections that have sent a request, or of those that never have. */
    public boolean shedOne(boolean havingSentRequest) {
        return shedding.shedOne(havingSentRequest);
    }
}
