package brackenbridge.core;

import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.RequestClass;
import brackenbridge.core.membership.DiscoverySource;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** The settings in force, with their request classes by name. */
final class CurrentSettings {
    private final Map<String, RequestClass> classes = new HashMap<>();
    private BalancerSettings settings;

    CurrentSettings(BalancerSettings settings) {
        apply(settings);
    }

    BalancerSettings get() {
        return settings;
    }

    /** Whether these settings differ from those in force, apart from the seed. */
    boolean differFrom(BalancerSettings next) {
        return !next.withSeed(settings.seed()).equals(settings);
    }

    void apply(BalancerSettings next) {
        settings = next;
        classes.clear();
        next.classes().forEach(requestClass -> classes.put(requestClass.name(), requestClass));
    }

    /** The class of this name; null if there is none. */
    RequestClass requestClass(String name) {
        return classes.get(name);
    }

    Set<String> classNames() {
        return classes.keySet();
    }

    /** The discovery source that the settings in force select. */
    DiscoverySource discoverySource() {
        return new DiscoverySource(settings.polledDiscovery(), Microseconds.toMs(settings.maxPollInterval()));
    }
}
