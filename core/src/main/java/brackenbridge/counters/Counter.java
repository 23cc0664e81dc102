package brackenbridge.counters;

/**
 * The counters of a node. Each is published under its {@link #key}, on which dashboards rely, so a key never changes
 * even if its constant is renamed. The order of the constants is the order of publication.
 */
public enum Counter {
    /** Client requests received. */
    REQUESTS_RECEIVED("flows_in"),
    /** Client requests that the client marked as a retry. */
    REQUESTS_RETRIED_BY_CLIENT("flows_repeated"),
    /** Client requests rejected because no quota of their tenant became available in time; also counted as rejected. */
    REQUESTS_OVER_QUOTA("flows_over_share"),
    /** Client requests whose client disconnected before the response had been written. */
    CLIENTS_DISCONNECTED("flows_gone"),
    /** Requests that were malformed, too large or not served by this node. */
    INVALID_REQUESTS("bad_requests"),
    /** Attempts started. */
    ATTEMPTS_STARTED("forwards_sent"),
    /** Attempts whose request was written to its last byte. */
    ATTEMPTS_WRITTEN("forwards_written"),
    /** Attempts that a server answered with status 200. */
    ATTEMPTS_SERVED("forwards_served"),
    /** Attempts that a server answered with an error. */
    ATTEMPTS_FAILED("forwards_failed"),
    /** Attempts for which a server rejected the request itself as invalid. */
    ATTEMPTS_INVALID_REQUEST("forwards_rejected"),
    /** Server responses that were malformed or incomplete. */
    RESPONSES_MALFORMED("answers_spoilt"),
    /** Long responses that were streamed. */
    RESPONSES_STREAMED("answers_streamed"),
    /** Streamed responses that the server did not complete. */
    RESPONSES_TRUNCATED("answers_cut"),
    /** Requests with a long body that was streamed. */
    REQUESTS_STREAMED("requests_streamed"),
    /** Attempts rejected by a full server before they ran. */
    ATTEMPTS_SERVER_FULL("forwards_turned_away"),
    /** Attempts for which no connection could be opened. */
    ATTEMPTS_CONNECT_FAILED("forwards_unconnected"),
    /** Attempts whose connection was lost after the request was written. */
    ATTEMPTS_RESET("forwards_reset"),
    /** Attempts that timed out. */
    ATTEMPTS_TIMED_OUT("forwards_timed_out"),
    /** Attempts that were cancelled. */
    ATTEMPTS_CANCELLED("forwards_cancelled"),
    /** Attempts that were never started. */
    ATTEMPTS_NEVER_STARTED("forwards_moot"),
    /** Client requests answered completely with a server's response. */
    ANSWERED_SERVED("answered_served"),
    /** Client requests answered completely with a rejection. */
    ANSWERED_REJECTED("answered_refused"),
    /** Client requests answered completely with a failure. */
    ANSWERED_FAILED("answered_failed"),
    /** Client requests that a server rejected as invalid. */
    ANSWERED_INVALID_REQUEST("answered_rejected"),
    /** Client requests that the node ended at their deadline; also counted as rejected or failed. */
    ANSWERED_AT_DEADLINE("answered_at_deadline"),
    /** Calls to discovery. */
    DISCOVERY_CALLS("discovery_calls"),
    /** Calls to discovery that failed or became silent. */
    DISCOVERY_FAILED("discovery_failed"),
    /** Configurations that were applied while the node was running. */
    RECONFIGURED("reconfigured"),
    /** Configurations that were unreadable or invalid, so that the previous one stays in force. */
    RECONFIGURE_FAILED("reconfigure_failed"),
    /** Drains started by a management call. */
    DRAINS("drains"),
    /** Returns to service after a drain. */
    DRAINS_CANCELLED("returns"),
    /** Endpoint lists applied. */
    ENDPOINT_LISTS("target_lists"),
    /** Health checks started. */
    HEALTH_CHECKS("probes"),
    /** Client connections accepted. */
    CLIENTS_ACCEPTED("clients_accepted"),
    /** Connections to servers opened. */
    CONNECTIONS_OPENED("connections_opened"),
    /** Connections opened in addition to a late one. */
    ADDITIONAL_CONNECTIONS_OPENED("connections_joined"),
    /** Idle connections that turned out to be closed when they were used. */
    CONNECTIONS_STALE("connections_stale"),
    /** Idle connections closed because the limit on file descriptors was reached. */
    CONNECTIONS_SHED("connections_shed"),
    /** Client connections closed because the incomplete requests of all clients together used too much memory. */
    CLIENTS_SHED_FOR_MEMORY("clients_shed_for_memory");

    private final String key;

    Counter(String key) {
        this.key = key;
    }

    /** The name under which it is published. */
    public String key() {
        return key;
    }
}
