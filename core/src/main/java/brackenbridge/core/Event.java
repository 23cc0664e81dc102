package brackenbridge.core;

import brackenbridge.core.balancing.BalancerApi.Report;
import brackenbridge.core.balancing.BalancerApi.Settings;
import brackenbridge.core.share.TenantQuotas;
import brackenbridge.core.share.ZoneWeights;

/** What happens to the node: all that the reducer ever learns. */
public sealed interface Event {
    /** The node starts, with the target group as it last held it. */
    record Started(EndpointList known) implements Event {}

    /** Another process of this node hands over what it knows of the target group. */
    record Inherited(EndpointList list) implements Event {}

    /** Another process of this node serves clients as well and is to take this one's place, or does so no more. */
    record SuccessorServes(boolean on) implements Event {}

    /** A listener has taken a flow, under a number of the node's own. */
    record FlowOpened(long flow, ClientRequest request) implements Event {}

    /** The last byte of a flow has come that was opened before it. */
    record FlowWhole(long flow) implements Event {}

    /** Part of the flow's body has gone to a server and is kept nowhere: it can't be sent again. */
    record FlowSpent(long flow) implements Event {}

    /** How the writing of an answer ended. */
    enum Left {
        /** The last byte has left. */
        WHOLE,
        /** Its server could not finish it, so it was cut. */
        CUT,
        /** Its client went away. */
        ABANDONED
    }

    /** The flow's answer is written, or never will be. */
    record AnswerLeft(long flow, Left how) implements Event {}

    /** The flow's client has gone away. */
    record FlowGone(long flow) implements Event {}

    /** Unread bytes hide whether the flow's client is still there: nothing may begin for it any more. */
    record ClientHidden(long flow) implements Event {}

    /** The forward's last byte has been written: from now on it may run. */
    record ForwardWritten(long flow, int forward) implements Event {}

    /** What a server's answer means. */
    enum Reply {
        /** Served. */
        SERVED,
        /** An error; it may have run. */
        ERROR,
        /** Turned away unseen. */
        TURNED_AWAY,
        /** The request itself is at fault, whichever server it goes to. */
        REJECTED
    }

    /** The server has answered the forward; the report is null if none came. */
    record ForwardAnswered(long flow, int forward, Reply reply, Object message, Report report) implements Event {}

    /** The forward's connection could not be had, or it broke. */
    record ForwardBroken(long flow, int forward) implements Event {}

    /** The node itself has no room for another connection: nothing was sent, through no server's fault. */
    record ForwardNotBegun(long flow, int forward) implements Event {}

    /** The node's own system calls failed before the forward was written: it never ran, through no server's fault. */
    record ForwardFailedLocally(long flow, int forward) implements Event {}

    /** A list or a change has come on a call to discovery. */
    record TargetsTold(long call, EndpointList group) implements Event {}

    /** Discovery has said on a watch that nothing has changed. */
    record DiscoveryBeat(long call) implements Event {}

    /** A call to discovery has ended or failed. */
    record DiscoveryEnded(long call) implements Event {}

    /** A probe was answered, or failed if not passed and not answered; the report is null if none came. */
    record ProbeEnded(long probe, boolean answered, boolean passed, Report report) implements Event {}

    /** A timer is due. */
    record TimerFired(TimerKey key) implements Event {}

    /**
     * The configuration was read anew.
     *
     * @param settings what flows go by that open from now on
     * @param known the target group that it holds, perhaps old
     * @param discoveryMoved whether it names another address for discovery
     */
    record Reconfigured(Settings settings, EndpointList known, boolean discoveryMoved) implements Event {}

    /** The fleet says what each tenant may hold here. */
    record SharesTold(TenantQuotas allowances) implements Event {}

    /** The fleet says how much of its usual load each zone's servers are to get. */
    record ZonesWeighed(ZoneWeights weights) implements Event {}

    /** The node is to be emptied, or is to work again after that. */
    record DrainAsked(boolean on) implements Event {}

    /** The node is told to stop. */
    record StopAsked() implements Event {}
}
