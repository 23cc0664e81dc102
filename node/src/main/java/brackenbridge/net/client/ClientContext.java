package brackenbridge.net.client;

import brackenbridge.clock.Clock;
import brackenbridge.counters.Counters;
import brackenbridge.net.channel.EventSink;

/**
 * What all client connections of a node share.
 *
 * @param clock the time that every limit is measured on
 * @param events where requests, ends of responses and faults are reported
 * @param counters what is counted for operators
 * @param registry the open connections
 * @param openRequests the requests that are open
 * @param validator the check of each request by the settings in force
 * @param health the paths that the node answers itself
 * @param memory the bound on buffered bytes of requests
 * @param closePolicy how the node's life cycle ends connections
 * @param timeouts how long a connection may take for each of its states
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
        ClosePolicy closePolicy,
        ConnectionTimeouts timeouts) {}
