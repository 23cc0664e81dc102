package brackenbridge.core;

import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.LoadReport;
import brackenbridge.core.share.TenantQuotas;
import brackenbridge.core.share.ZoneWeights;

/** What happens to the node: all that the reducer ever learns. */
public sealed interface Event {
    /** The node starts, with the target group as it last held it. */
    record Started(EndpointList cachedEndpoints) implements Event {}

    /** Another process of this node hands over what it knows of the target group. */
    record EndpointListInherited(EndpointList endpoints) implements Event {}

    /** Another process of this node serves clients as well and is to take this one's place, or does so no more. */
    record SuccessorServes(boolean on) implements Event {}

    /** A listener has taken a flow, under a number of the node's own. */
    record RequestReceived(long requestId, ClientRequest request) implements Event {}

    /** The last byte of a flow has come that was opened before it. */
    record RequestCompleted(long requestId) implements Event {}

    /** Part of the flow's body has gone to a server and is kept nowhere: it can't be sent again. */
    record RequestBodyReleased(long requestId) implements Event {}

    /** How the writing of an answer ended. */
    enum ResponseEnd {
        /** The last byte has left. */
        COMPLETE,
        /** Its server could not finish it, so it was cut. */
        TRUNCATED,
        /** Its client went away. */
        ABANDONED
    }

    /** The flow's answer is written, or never will be. */
    record ResponseFinished(long requestId, ResponseEnd end) implements Event {}

    /** The flow's client has gone away. */
    record ClientDisconnected(long requestId) implements Event {}

    /** Unread bytes hide whether the flow's client is still there: nothing may begin for it any more. */
    record ClientPresenceUnknown(long requestId) implements Event {}

    /** The forward's last byte has been written: from now on it may run. */
    record AttemptWritten(long requestId, int attempt) implements Event {}

    /** What a server's answer means. */
    enum ServerReply {
        /** Served. */
        SERVED,
        /** An error; it may have run. */
        ERROR,
        /** Turned away unseen. */
        SERVER_FULL,
        /** The request itself is at fault, whichever server it goes to. */
        INVALID_REQUEST
    }

    /** The server has answered the forward; the report is null if none came. */
    record AttemptAnswered(long requestId, int attempt, ServerReply reply, Object message, LoadReport report)
            implements Event {}

    /** The forward's connection could not be had, or it broke. */
    record AttemptConnectionLost(long requestId, int attempt) implements Event {}

    /** The node itself has no room for another connection: nothing was sent, through no server's fault. */
    record AttemptNotStarted(long requestId, int attempt) implements Event {}

    /** The node's own system calls failed before the forward was written: it never ran, through no server's fault. */
    record AttemptFailedLocally(long requestId, int attempt) implements Event {}

    /** A list or a change has come on a call to discovery. */
    record EndpointListReceived(long call, EndpointList endpoints) implements Event {}

    /** Discovery has said on a watch that nothing has changed. */
    record DiscoveryHeartbeat(long call) implements Event {}

    /** A call to discovery has ended or failed. */
    record DiscoveryEnded(long call) implements Event {}

    /** A probe was answered, or failed if not passed and not answered; the report is null if none came. */
    record HealthCheckEnded(long healthCheckId, boolean answered, boolean passed, LoadReport report) implements Event {}

    /** A timer is due. */
    record TimerFired(TimerKey key) implements Event {}

    /**
     * The configuration was read anew.
     *
     * @param settings what flows go by that open from now on
     * @param configuredEndpoints the target group that it holds, perhaps old
     * @param discoveryMoved whether it names another address for discovery
     */
    record Reconfigured(BalancerSettings settings, EndpointList configuredEndpoints, boolean discoveryMoved)
            implements Event {}

    /** The fleet says what each tenant may hold here. */
    record TenantQuotasReceived(TenantQuotas quotas) implements Event {}

    /** The fleet says how much of its usual load each zone's servers are to get. */
    record ZoneWeightsReceived(ZoneWeights weights) implements Event {}

    /** The node is to be emptied, or is to work again after that. */
    record DrainRequested(boolean on) implements Event {}

    /** The node is told to stop. */
    record StopRequested() implements Event {}
}
