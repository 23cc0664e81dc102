package brackenbridge.config;

import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.DeduplicationScope;
import brackenbridge.core.balancing.Idempotence;
import brackenbridge.core.balancing.NetworkSettings;
import brackenbridge.core.balancing.RequestClass;
import brackenbridge.core.balancing.TenantShare;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Turns the path=value pairs of an instance's first message into settings; unknown keys are ignored. The one
 * mapping for the simulator's wire and for the node's configuration alike. What can't be read is an
 * IllegalArgumentException that names the key.
 */
public final class SettingsParser {
    private final Map<String, String> pairs;

    /** Reads these pairs; a value of {@code -} is as good as absent. */
    public SettingsParser(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /** The settings, with this seed for all random draws. */
    public BalancerSettings parse(long seed) {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0, n = whole("classes.count", null); i < n; i++) {
            String at = "classes." + i + ".";
            classes.add(new RequestClass(
                    value(at + "name", null),
                    number(at + "aim", null),
                    number(at + "giveUp", null),
                    choice(Idempotence.values(), Idempotence::settingsValue, at + "effect", null),
                    choice(DeduplicationScope.values(), DeduplicationScope::settingsValue, at + "dedupScope", "all"),
                    number(at + "keyTtl", "0"),
                    flag(at + "stream", "false"),
                    decimal(at + "worth", "1"),
                    decimal(at + "lateShare", "0")));
        }
        List<TenantShare> tenants = new ArrayList<>();
        for (int i = 0, n = whole("tenants.count", "0"); i < n; i++) {
            String at = "tenants." + i + ".";
            tenants.add(new TenantShare(
                    value(at + "name", null), decimal(at + "share", "0"), decimal(at + "quotaPerS", "0")));
        }
        // policyLimits.retryAfter only says whether the simulator's clients are told; on sockets any refusal may
        // carry advice. Guards against a module that gives none, whatever the site's clients would heed.
        long retryAfter = number("policyLimits.maxRetryAfter", "0");
        return new BalancerSettings(
                seed,
                whole("me", null),
                whole("replicasOfMe", null),
                whole("tier", "0"),
                value("zone", "-"),
                classes,
                tenants,
                decimal("overShareWorth", "1"),
                value("discovery", "pushed").equals("on_request"),
                number("rules.mustAskIn", "10000000"),
                whole("policyLimits.maxAttempts", "1"),
                whole("policyLimits.openCap", "20000"),
                retryAfter,
                flag("policyLimits.mayCancel", "false"),
                flag("policyLimits.mayProbe", "false"),
                flag("policyLimits.secondCopies", "false"),
                number("policyLimits.idleClose", "15000000"),
                decimal("rules.coldFrom", "1"),
                number("rules.warmAfter", "0"),
                decimal("rules.fallMultiple", "1"),
                number("rules.fall", "0"),
                network());
    }

    private NetworkSettings network() {
        String how = value("report.how", "none");
        String columns = how.equals("none") ? "" : value("report.columns", "");
        return new NetworkSettings(
                number("policyLimits.connectTimeout", "1000000"),
                number("rules.drainGrace", "0"),
                how.equals("answers"),
                columns.isEmpty() ? List.of() : List.of(columns.split(",")));
    }

    private String value(String key, String absent) {
        String v = pairs.get(key);
        if (v == null || v.equals("-")) {
            if (absent == null) {
                throw new IllegalArgumentException("no " + key);
            }
            return absent;
        }
        return v;
    }

    private long number(String key, String absent) {
        String v = value(key, absent);
        try {
            return Long.parseLong(v);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(key + " is not a whole number: '" + v + "'");
        }
    }

    private int whole(String key, String absent) {
        long v = number(key, absent);
        if (v < 0 || v > Integer.MAX_VALUE) {
            throw new IllegalArgumentException(key + " is out of range: " + v);
        }
        return (int) v;
    }

    private double decimal(String key, String absent) {
        String v = value(key, absent);
        try {
            return Double.parseDouble(v);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(key + " is not a number: '" + v + "'");
        }
    }

    private boolean flag(String key, String absent) {
        String v = value(key, absent);
        return switch (v) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default -> throw new IllegalArgumentException(key + " is neither true nor false: '" + v + "'");
        };
    }

    private <E> E choice(E[] choices, Function<E, String> settingsValue, String key, String absent) {
        String v = value(key, absent);
        for (E choice : choices) {
            if (settingsValue.apply(choice).equals(v)) {
                return choice;
            }
        }
        throw new IllegalArgumentException(key + " is unknown: '" + v + "'");
    }
}
