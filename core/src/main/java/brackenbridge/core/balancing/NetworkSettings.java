package brackenbridge.core.balancing;

import java.util.List;

/**
 * Settings for connections and load reports. The node applies them; slow start uses the connect time-out and the drain
 * grace.
 *
 * @param connectTimeout the time after which an attempt to connect has failed
 * @param drainGrace the time within which attempts to a draining or removed endpoint must end
 * @param reportsInResponses whether responses may contain a load report
 * @param reportFields the names of the values in a load report; empty if there are no reports
 */
public record NetworkSettings(
        long connectTimeout, long drainGrace, boolean reportsInResponses, List<String> reportFields) {
    /** The values of a deployment that configures none. */
    public static final NetworkSettings DEFAULT = new NetworkSettings(1_000_000, 0, false, List.of());

    /** Rejects times that are out of range. */
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
