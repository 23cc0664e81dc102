package brackenbridge.net;

import brackenbridge.core.Event;

/** Where the transport tells what has happened; on the event loop only. */
interface EventSink {
    void raise(Event event);

    /** Something of the node's own has failed, and what it was for has been ended properly. */
    void faulted(String what, RuntimeException cause);
}
