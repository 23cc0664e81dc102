package brackenbridge.net;

import brackenbridge.core.Reducer;
import brackenbridge.core.observe.TrafficObserver;
import java.util.function.BooleanSupplier;

/** Publishes the state of the event loop to other threads: its metrics, its traffic and whether it accepts clients. */
final class StatusPublisher {
    private final Reducer reducer;
    private final BooleanSupplier isListening;
    private boolean serving;
    private volatile String metricsText = "";
    private volatile boolean acceptsClients;
    private volatile boolean observing;
    private volatile TrafficObserver.TrafficSnapshot observation = TrafficObserver.TrafficSnapshot.NONE;

    /**
     * Makes a publisher that has published nothing yet.
     *
     * @param isListening whether the listening socket is open; asked only once the node serves
     */
    StatusPublisher(Reducer reducer, BooleanSupplier isListening) {
        this.reducer = reducer;
        this.isListening = isListening;
    }

    /** The node serves from now on; on the event loop only. */
    void startServing() {
        serving = true;
        publish();
    }

    /** The traffic is published from now on. */
    void startObserving() {
        observing = true;
    }

    /** Publishes the present state; on the event loop only. */
    void publish() {
        metricsText = reducer.metricsText();
        if (observing) {
            observation = reducer.observation();
        }
        acceptsClients = serving && isListening.getAsBoolean() && !reducer.isStopping();
    }

    String metricsText() {
        return metricsText;
    }

    boolean acceptsClients() {
        return acceptsClients;
    }

    TrafficObserver.TrafficSnapshot observation() {
        return observation;
    }
}
