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
 * Parses the flattened {@code path=value} pairs of an instance's settings. The simulator's protocol and the node's
 * configuration file share this mapping. Unknown keys are ignored; a value that cannot be parsed is an
 * IllegalArgumentException that names its key.
 */
public final class SettingsParser {
    /** Stands for an absent value. */
    private static final String ABSENT_VALUE = "-";
    /** In place of a default: the key has to be present. */
    private static final String REQUIRED = null;

    private final Map<String, String> pairs;

    /** Parses these pairs; a value of {@code -} counts as absent. */
    public SettingsParser(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /** Returns the settings, with this seed for all random draws. */
    public BalancerSettings parse(long seed) {
        List<RequestClass> classes = parseClasses();
        List<TenantShare> tenants = parseTenants();
        // policyLimits.retryAfter is not read: it only says whether the simulator's clients receive the delay. On
        // sockets every rejection may carry one, so the upper bound alone decides.
        long maxRetryAfter = integer("policyLimits.maxRetryAfter", "0");
        return new BalancerSettings(
                seed,
                nonNegativeInt("me", REQUIRED),
                nonNegativeInt("replicasOfMe", REQUIRED),
                nonNegativeInt("tier", "0"),
                text("zone", "-"),
                classes,
                tenants,
                decimal("overShareWorth", "1"),
                text("discovery", "pushed").equals("on_request"),
                integer("rules.mustAskIn", "10000000"),
                nonNegativeInt("policyLimits.maxAttempts", "1"),
                nonNegativeInt("policyLimits.openCap", "20000"),
                maxRetryAfter,
                flag("policyLimits.mayCancel", "false"),
                flag("policyLimits.mayProbe", "false"),
                flag("policyLimits.secondCopies", "false"),
                integer("policyLimits.idleClose", "15000000"),
                decimal("rules.coldFrom", "1"),
                integer("rules.warmAfter", "0"),
                decimal("rules.fallMultiple", "1"),
                integer("rules.fall", "0"),
                parseNetwork());
    }

    private List<RequestClass> parseClasses() {
        List<RequestClass> classes = new ArrayList<>();
        int count = nonNegativeInt("classes.count", REQUIRED);
        for (int i = 0; i < count; i++) {
            String prefix = "classes." + i + ".";
            classes.add(new RequestClass(
                    text(prefix + "name", REQUIRED),
                    integer(prefix + "aim", REQUIRED),
                    integer(prefix + "giveUp", REQUIRED),
                    choice(Idempotence.values(), Idempotence::settingsValue, prefix + "effect", REQUIRED),
                    choice(
                            DeduplicationScope.values(),
                            DeduplicationScope::settingsValue,
                            prefix + "dedupScope",
                            "all"),
                    integer(prefix + "keyTtl", "0"),
                    flag(prefix + "stream", "false"),
                    decimal(prefix + "worth", "1"),
                    decimal(prefix + "lateShare", "0")));
        }
        return classes;
    }

    private List<TenantShare> parseTenants() {
        List<TenantShare> tenants = new ArrayList<>();
        int count = nonNegativeInt("tenants.count", "0");
        for (int i = 0; i < count; i++) {
            String prefix = "tenants." + i + ".";
            tenants.add(new TenantShare(
                    text(prefix + "name", REQUIRED),
                    decimal(prefix + "share", "0"),
                    decimal(prefix + "quotaPerS", "0")));
        }
        return tenants;
    }

    private NetworkSettings parseNetwork() {
        String reportTransport = text("report.how", "none");
        String columns = reportTransport.equals("none") ? "" : text("report.columns", "");
        return new NetworkSettings(
                integer("policyLimits.connectTimeout", "1000000"),
                integer("rules.drainGrace", "0"),
                reportTransport.equals("answers"),
                columns.isEmpty() ? List.of() : List.of(columns.split(",")));
    }

    private String text(String key, String defaultValue) {
        String value = pairs.get(key);
        if (value == null || value.equals(ABSENT_VALUE)) {
            if (defaultValue == null) {
                throw new IllegalArgumentException("no " + key);
            }
            return defaultValue;
        }
        return value;
    }

    private long integer(String key, String defaultValue) {
        String value = text(key, defaultValue);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(key + " is not a whole number: '" + value + "'");
        }
    }

    private int nonNegativeInt(String key, String defaultValue) {
        long value = integer(key, defaultValue);
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw new IllegalArgumentException(key + " is out of range: " + value);
        }
        return (int) value;
    }

    private double decimal(String key, String defaultValue) {
        String value = text(key, defaultValue);
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(key + " is not a number: '" + value + "'");
        }
    }

    private boolean flag(String key, String defaultValue) {
        String value = text(key, defaultValue);
        return switch (value) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default -> throw new IllegalArgumentException(key + " is neither true nor false: '" + value + "'");
        };
    }

    private <E> E choice(E[] choices, Function<E, String> nameOf, String key, String defaultValue) {
        String value = text(key, defaultValue);
        for (E choice : choices) {
            if (nameOf.apply(choice).equals(value)) {
                return choice;
            }
        }
        throw new IllegalArgumentException(key + " is unknown: '" + value + "'");
    }
}
