package brackenbridge.fleet.control;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;

/** The metrics of a control server; the gauges are taken from its last report. */
final class ControlMetrics {
    final Counter subscriptions;
    final Counter updates;
    final Counter bytesOut;
    final Counter bytesIn;
    final Counter rejectedVersions;
    private final Map<SubscriptionRejection, Counter> rejections = new EnumMap<>(SubscriptionRejection.class);

    ControlMetrics(MeterRegistry registry, Supplier<MachineReport> report) {
        for (SubscriptionRejection rejection : SubscriptionRejection.values()) {
            rejections.put(
                    rejection,
                    Counter.builder("control.refused")
                            .tag("reason", rejection.name().toLowerCase(Locale.ROOT))
                            .description("Connections refused or ended")
                            .register(registry));
        }
        subscriptions = counter(registry, "control.subscriptions", "Subscriptions begun");
        updates = counter(registry, "control.updates", "Resources written to nodes");
        bytesOut = counter(registry, "control.bytes.out", "Bytes written to nodes");
        bytesIn = counter(registry, "control.bytes.in", "Bytes read from nodes");
        rejectedVersions = counter(registry, "control.versions.rejected", "Versions that a node could not use");
        registerGauges(registry, report);
    }

    private static Counter counter(MeterRegistry registry, String name, String description) {
        return Counter.builder(name).description(description).register(registry);
    }

    private static void registerGauges(MeterRegistry registry, Supplier<MachineReport> report) {
        Gauge.builder(
                        "control.nodes",
                        () -> report.get().regions().stream()
                                .mapToInt(MachineReport.RegionReport::nodes)
                                .sum())
                .description("Nodes that subscribe here")
                .register(registry);
        Gauge.builder(
                        "control.nodes.behind",
                        () -> report.get().regions().stream()
                                .mapToInt(region -> region.nodes() - region.current())
                                .sum())
                .description("Nodes that do not act by the newest versions")
                .register(registry);
        Gauge.builder("control.confirmed", () -> report.get().confirmed() ? 1 : 0)
                .description("1 while this machine holds a lease of the agreement")
                .register(registry);
    }

    /** Counts a connection that was rejected or ended for this reason. */
    void countRejection(SubscriptionRejection rejection) {
        rejections.get(rejection).increment();
    }
}
