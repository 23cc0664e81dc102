package brackenbridge.net.channel;

import brackenbridge.core.Event;

/** Receives events and faults from the connections of a node. Used on the event loop only. */
public interface EventSink {
    /** Hands an event to the reducer. */
    void raise(Event event);

    /**
     * Reports that an operation of the node itself has failed; its request has been answered or its connection closed.
     */
    void onFault(String operation, RuntimeException cause);
}
