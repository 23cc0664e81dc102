package brackenbridge.counters;

/**
 * What a node counts. Each counter is published under its {@link #key}, which dashboards rely on: a key never changes,
 * whatever its constant is called here. The order of the constants is the order of publication.
 */
public enum Counter {
    /** Client requests received. */
    REQUESTS_RECEIVED("flows_in"),
    /** Client requests that their client marked as a retry. */
    REQUESTS_RETRIED_BY_CLIENT("flows_repeated"),
    /** Client requests rejected because their tenant had no quota left in time; they count as rejected too. */
    REQUESTS_OVER_QUOTA("flows_over_share"),
    /** Client requests whose client disconnected before the response had been written. */
    CLIENTS_DISCONNECTED("flows_gone"),
    /** Requests that were malformed, too large or not for this node. */
    INVALID_REQUESTS("bad_requests"),
    /** Attempts started. */
    ATTEMPTS_STARTED("forwards_sent"),
    /** Attempts whose last byte was written. */
    ATTEMPTS_WRITTEN("forwards_written"),
    /** Attempts that a server answered with 200. */
    ATTEMPTS_SERVED("forwards_served"),
    /** Attempts that a server answered with an error. */
    ATTEMPTS_FAILED("forwards_failed"),
    /** Attempts for which a server found the request itself at fault. */
    ATTEMPTS_INVALID_REQUEST("forwards_rejected"),
    /** Server responses that were malformed or stopped half way. */
    RESPONSES_MALFORMED("answers_spoilt"),
    /** Long responses that were streamed. */
    RESPONSES_STREAMED("answers_streamed"),
    /** Streamed responses that their server did not complete. */
    RESPONSES_TRUNCATED("answers_cut"),
    /** Requests whose long body was streamed. */
    REQUESTS_STREAMED("requests_streamed"),
    /** Attempts rejected by a full server before they ran. */
    ATTEMPTS_SERVER_FULL("forwards_turned_away"),
    /** Attempts for which no connection could be made. */
    ATTEMPTS_CONNECT_FAILED("forwards_unconnected"),
    /** Attempts whose connection was lost after the last byte was written. */
    ATTEMPTS_RESET("forwards_reset"),
    /** Attempts that timed out. */
    ATTEMPTS_TIMED_OUT("forwards_timed_out"),
    /** Attempts that were cancelled. */
    ATTEMPTS_CANCELLED("forwards_cancelled"),
    /** Attempts that were never started. */
    ATTEMPTS_NEVER_STARTED("forwards_moot"),
    /** Client requests answered with a server's body, to its last byte. */
    ANSWERED_SERVED("answered_served"),
    /** Client requests answered with a rejection, to its last byte. */
    ANSWERED_REJECTED("answered_refused"),
    /** Client requests answered with a failure, to its last byte. */
    ANSWERED_FAILED("answered_failed"),
    /** Client requests that a server found at fault themselves. */
    ANSWERED_INVALID_REQUEST("answered_rejected"),
    /** Client requests that the node ended at their deadline; they count as rejected or failed too. */
    ANSWERED_AT_DEADLINE("answered_at_deadline"),
    /** Calls to discovery. */
    DISCOVERY_CALLS("discovery_calls"),
    /** Calls to discovery that failed or fell silent. */
    DISCOVERY_FAILED("discovery_failed"),
    /** Configurations applied while running. */
    RECONFIGURED("reconfigured"),
    /** Configurations that could not be read or used, so that the old one stays in force. */
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
    /** Connections opened beside one that was late. */
    ADDITIONAL_CONNECTIONS_OPENED("connections_joined"),
    /** Idle connections that proved dead when they were used. */
    CONNECTIONS_STALE("connections_stale"),
    /** Idle connections closed at the limit on descriptors. */
    CONNECTIONS_SHED("connections_shed"),
    /** Client connections closed because all clients together held too much of incomplete requests. */
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
