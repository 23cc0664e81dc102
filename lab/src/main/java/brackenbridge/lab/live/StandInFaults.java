package brackenbridge.lab.live;

import brackenbridge.core.ServerEndpoint;

/** What stand-ins do wrong on purpose, as a faulty node would seem to do, so that a checker of rules is checked. */
public interface StandInFaults {
    /** Nothing is done wrong. */
    StandInFaults NONE = new StandInFaults() {};

    /** Whether a request that has come to a server counts as come twice. */
    default boolean repeatsRequest(boolean unsafe) {
        return false;
    }

    /** The id that a server's answer names, of the request with this id. */
    default String answeredId(String id) {
        return id;
    }

    /** The time that a server reads in a request which told this many milliseconds. */
    default long timeRead(long toldMs) {
        return toldMs;
    }

    /** Whether a change counts as told to nodes and is not written to them. */
    default boolean withholds(ServerEndpoint change) {
        return false;
    }
}
