package brackenbridge.net;

import brackenbridge.core.Reducer;
import brackenbridge.core.observe.TrafficObserver;
import java.util.function.BooleanSupplier;

/** Publishes state of the event loop to other threads: metrics, traffic and whether clients are accepted. */
final class StatusPublisher {
    private final Reducer reducer;
    private final BooleanSupplier isListening;
    private boolean serving;
    private volatile String metricsText = "";
    private volatile boolean acceptsClients;
    private volatile boolean observing;
    private volatile TrafficObserver.TrafficSnapshot observation = TrafficObserver.TrafficSnapshot.NONE;

    /**
     * Creates a publisher that has published nothing yet.
     *
     * @param isListening whether the listening socket is open; called only once the node serves
     */
    StatusPublisher(Reducer reducer, BooleanSupplier isListening) {
        this.reducer = reducer;
        this.isListening = isListening;
    }

    /** Records that the node serves; called on the event loop only. */
    void startServing() {
        serving = true;
        publish();
    }

    /** Starts to publish the traffic. */
    void startObserving() {
        observing = true;
    }

    /** Publishes the current state; called on the event loop only. */
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
