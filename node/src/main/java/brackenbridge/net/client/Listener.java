package brackenbridge.net.client;

import brackenbridge.clock.Clock;
import brackenbridge.core.Effect.LocalReply;
import brackenbridge.core.Event;
import brackenbridge.core.Event.ResponseEnd;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.counters.Counters;
import brackenbridge.http.Headers;
import brackenbridge.http.HttpResponse;
import brackenbridge.log.Log;
import brackenbridge.net.channel.DescriptorBudget;
import brackenbridge.net.channel.EventSink;
import brackenbridge.net.channel.StreamBudget;
import brackenbridge.net.channel.StreamedRequest;
import brackenbridge.net.channel.StreamedResponse;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/** The client side of a node: raises requests as events and runs the reducer's effects on client connections. */
public final class Listener {
    /** Time that a process that exits gives its last clients to read the end of their responses. */
    private static final double EXIT_LINGER_MS = 100;

    private final Clock clock;
    private final EventSink events;
    private final OpenRequests openRequests = new OpenRequests();
    private final ClosePolicy closePolicy = new ClosePolicy();
    private final RequestValidator validator;
    private final ConnectionRegistry registry;
    private final ConnectionShedding shedding;
    private final ClientContext context;

    /** Creates a listener; {@code makeRoom} closes an idle connection when no further client connection fits. */
    public Listener(
            BalancerSettings settings,
            Clock clock,
            EventSink events,
            DescriptorBudget descriptors,
            Counters counters,
            BooleanSupplier ready,
            Runnable makeRoom,
            Log log) {
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
                new StreamBudget(),
                closePolicy,
                new ConnectionTimeouts(closePolicy, descriptors),
                log);
    }

    /** Returns the initializer of accepted channels. */
    public ChannelInitializer<Channel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new ClientConnection(channel, context));
            }
        };
    }

    /** Applies these settings to requests that are completed from now on. */
    public void applySettings(BalancerSettings settings) {
        validator.applySettings(settings);
    }

    /** Sets the acceptor, which is paused while no further connection fits. */
    public void setAcceptor(ConnectionAcceptor acceptor) {
        registry.setAcceptor(acceptor);
    }

    /** Responds with a server's response, complete or streamed. */
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

    /** Responds with a reply of the node itself; a positive {@code retryAfterMs} is sent as Retry-After. */
    public void respondLocally(long requestId, LocalReply reply, double retryAfterMs) {
        ClientConnection connection = openRequests.close(requestId);
        if (connection == null) {
            events.raise(new Event.ResponseFinished(requestId, ResponseEnd.ABANDONED));
            return;
        }
        if (connection.hasPresenceExpired(clock.nowMs())) {
            // While the read-ahead limit is exceeded, presence stays unknown and each further request would be
            // withdrawn as well.
            connection.request().endConnectionAfterResponse();
        }
        if (reply != LocalReply.REJECTED || connection.isUploading()) {
            context.log().detail(() -> connection.describeRequest(clock.nowMs()) + " answered " + reply);
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

    /** Refuses the id of this request for a while. */
    public void refuseRequestId(Object message) {
        openRequests.refuseCorrelationId(StreamedRequest.correlationId(message), clock.nowMs());
    }

    /** Sets whether each response announces that its connection will be closed. */
    public void announceClose(boolean on) {
        closePolicy.setAnnounceClose(on);
    }

    /** Sets whether idle connections, present and later ones, are closed. */
    public void closeWhenIdle(boolean on) {
        closePolicy.setCloseWhenIdle(on);
    }

    /** Rejects incomplete requests with this status and closes their connections. */
    public void rejectIncomplete(int status) {
        for (ClientConnection connection : registry.copy()) {
            if (connection.isReadingRequest()) {
                connection.writer().rejectMalformed(status, "request too slow for a node that drains or stops");
            }
        }
    }

    /** Directs new connections to the successor process. */
    public void steerNewConnections() {
        registry.steerNewConnections();
    }

    /** Stops accepting permanently. */
    public void stopAccepting() {
        registry.stopAccepting();
    }

    /** Closes connections that have been idle for so long that no request is likely to be on its way. */
    public void closeIdleConnections() {
        double now = clock.nowMs();
        closeConnections(connection -> connection.hasBeenIdle(now));
    }

    /** Closes all idle connections, because the process exits. */
    public void closeAllIdleConnections() {
        closeConnections(ClientConnection::isIdle);
    }

    private void closeConnections(Predicate<ClientConnection> idle) {
        for (ClientConnection connection : registry.copy()) {
            if (idle.test(connection)) {
                connection.endIfIdle();
            }
        }
    }

    /** Whether all connections are closed or have been lingering long enough for their clients to notice the close. */
    public boolean allConnectionsFinished() {
        double now = clock.nowMs();
        return !registry.isEmptyingBacklog()
                && registry.connections().stream()
                        .allMatch(c -> c.isEnding() && now - c.stateSinceMs() > EXIT_LINGER_MS);
    }

    /**
     * Whether the request's client is known to be present, see {@link ClientPresence}. No attempt starts otherwise; the
     * sweep withdraws the request of a client whose presence stays unknown.
     */
    public boolean isClientPresent(long requestId) {
        ClientConnection connection = openRequests.connectionOf(requestId);
        return connection != null && connection.isClientPresent();
    }

    /** Enforces the timeouts of all connections; called several times a second. */
    public void sweep() {
        double now = clock.nowMs();
        for (ClientConnection connection : registry.copy()) {
            connection.sweep(now);
        }
        resumeAcceptingOrShed();
    }

    /**
     * Schedules another try to accept: connections that were just accepted can be shed by then, while the next sweep
     * may run much later.
     */
    private void scheduleResumeAccepting() {
        registry.scheduleIfAccepting(this::resumeAcceptingOrShed, shedding.minUnusedMs() + 1);
    }

    /** Resumes accepting if further clients fit, because more descriptors are available. */
    public void resumeAccepting() {
        registry.resumeAccepting();
    }

    /** Resumes accepting; at the descriptor limit, sheds all idle connections, as clients wait in the backlog. */
    private void resumeAcceptingOrShed() {
        if (!registry.resumeAccepting()) {
            shedding.shedAll();
        }
    }

    /**
     * Closes the longest idle of the connections that have sent a request, or of those that never have; returns whether
     * one was closed.
     */
    public boolean shedOne(boolean havingSentRequest) {
        return shedding.shedOne(havingSentRequest);
    }
}
