package brackenbridge.core.balancing;

import java.util.List;

/**
 * What the settings say of connections and reports; the module decides nothing by it, the node obeys it.
 *
 * @param connectTimeout a connection not made by then has failed
 * @param drainGrace time within which sends to a draining or removed endpoint must end
 * @param reportsInAnswers any answer may hold a load report
 * @param reportFields the names of a report's values; empty where there are no reports
 */
public record NetworkSettings(
        long connectTimeout, long drainGrace, boolean reportsInResponses, List<String> reportFields) {
    /** The figures of a deployment that tells none. */
    public static final NetworkSettings DEFAULT = new NetworkSettings(1_000_000, 0, false, List.of());

    /** Limits that no connection or send could keep are rejected. */
    public NetworkSettings {
        SettingsChecks.require(
                connectTimeout > 0 && connectTimeout <= SettingsChecks.MAX_TIMEOUT_MICROS,
                "connectTimeout",
                connectTimeout);
        SettingsChecks.require(
                drainGrace >= 0 && drainGrace <= SettingsChecks.MAX_TIMEOUT_MICROS, "drainGrace", drainGrace);
        reportFields = List.copyOf(reportFields);
    }
}
