package brackenbridge.net;

import brackenbridge.config.Config;
import brackenbridge.core.Event;
import brackenbridge.counters.Counter;
import brackenbridge.counters.Counters;
import brackenbridge.log.Log;
import brackenbridge.net.channel.EventSink;
import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Holds the configuration in force, and replaces it by a new one completely or not at all. */
final class Reconfiguration {
    private final EventLoop loop;
    private final Consumer<Config> applySettings;
    private final EventSink events;
    private final Counters counters;
    private final Log log;
    private final Runnable publishStatus;
    private Config config;

    /**
     * Creates the holder of this initial configuration.
     *
     * @param applySettings applies a new configuration to the components of the node, except the reducer
     * @param publishStatus publishes the metrics after each attempt to reconfigure
     */
    Reconfiguration(
            Config config,
            EventLoop loop,
            Consumer<Config> applySettings,
            EventSink events,
            Counters counters,
            Log log,
            Runnable publishStatus) {
        this.config = config;
        this.loop = loop;
        this.applySettings = applySettings;
        this.events = events;
        this.counters = counters;
        this.log = log;
        this.publishStatus = publishStatus;
    }

    /** The configuration in force; to be read on the event loop, or before the node has started. */
    Config config() {
        return config;
    }

    /** Reads a configuration on the calling thread, then applies it on the event loop if it is valid. */
    synchronized void reconfigure(Supplier<Config> reader) {
        // Synchronized: of two configurations, the one that was read last must be applied last.
        Config newConfig;
        try {
            newConfig = reader.get();
        } catch (IllegalArgumentException e) {
            loop.execute(() -> reject(e));
            return;
        }
        loop.execute(() -> apply(newConfig));
    }

    private void reject(IllegalArgumentException cause) {
        counters.count(Counter.RECONFIGURE_FAILED);
        log.warn("configuration rejected, the previous one stays in force: " + cause.getMessage());
        publishStatus.run();
    }

    private void apply(Config newConfig) {
        try {
            config.schema().requireSameKeysIn(newConfig.schema());
        } catch (IllegalArgumentException e) {
            reject(e);
            return;
        }
        boolean discoveryMoved = !newConfig.discovery().equals(config.discovery());
        boolean restartNeeded =
                !newConfig.listen().equals(config.listen()) || !newConfig.name().equals(config.name());
        applySettings.accept(newConfig);
        config = newConfig;
        log.info("reconfigured, " + newConfig.settings().classes().size() + " classes, "
                + newConfig.settings().maxAttempts()
                + " attempts, discovery at " + newConfig.discovery()
                + (restartNeeded ? "; a new name or listen address applies from the next start" : ""));
        events.raise(new Event.Reconfigured(newConfig.settings(), newConfig.configuredEndpoints(), discoveryMoved));
        publishStatus.run();
    }
}
