package brackenbridge.net.client;

import brackenbridge.clock.Clock;
import brackenbridge.counters.Counters;
import brackenbridge.log.Log;
import brackenbridge.net.channel.EventSink;
import brackenbridge.net.channel.StreamBudget;

/**
 * The components that all client connections of a node share.
 *
 * @param clock clock of all timeouts
 * @param events receives requests, ends of responses and faults
 * @param counters counters for operators
 * @param registry the open connections
 * @param openRequests the open requests
 * @param validator validates each request by the settings in force
 * @param health the health paths that the node serves itself
 * @param memory the limit on buffered bytes of requests
 * @param downloads the limit on bytes of streamed responses that clients have not read
 * @param closePolicy when connections are closed because the node drains or stops
 * @param timeouts the timeouts of each connection state
 * @param log the node's log
 */
record ClientContext(
        Clock clock,
        EventSink events,
        Counters counters,
        ConnectionRegistry registry,
        OpenRequests openRequests,
        RequestValidator validator,
        HealthEndpoints health,
        RequestMemoryBudget memory,
        StreamBudget downloads,
        ClosePolicy closePolicy,
        ConnectionTimeouts timeouts,
        Log log) {}
