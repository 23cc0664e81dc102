package brackenbridge.net.channel;

import brackenbridge.core.Event;

/** Receives what the connections of a node report. Used on the event loop only. */
public interface EventSink {
    /** Something has happened that the reducer is to know. */
    void raise(Event event);

    /** A step of the node itself has failed; what it was for has been answered or closed. */
    void onFault(String operation, RuntimeException cause);
}
