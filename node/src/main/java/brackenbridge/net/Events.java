package brackenbridge.net;

import brackenbridge.core.Event;

/** Where the transport tells what has happened; on the event loop only. */
interface Events {
    void raise(Event event);
}
