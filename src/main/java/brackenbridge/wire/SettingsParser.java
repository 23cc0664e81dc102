package brackenbridge.wire;

import brackenbridge.BalancerApi.DedupScope;
import brackenbridge.BalancerApi.Effect;
import brackenbridge.BalancerApi.RequestClass;
import brackenbridge.BalancerApi.Settings;
import brackenbridge.BalancerApi.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Turns the path=value pairs of an instance's first message into settings; unknown keys are ignored. */
final class SettingsParser {
    private final WireReader reader;
    private final Map<String, String> pairs = new HashMap<>();

    SettingsParser(WireReader reader) {
        this.reader = reader;
    }

    Settings parse(long seed) {
        while (reader.more()) {
            String pair = reader.text("setup");
            int eq = pair.indexOf('=');
            if (eq < 0) {
                if (pair.isEmpty() || pair.equals("-")) {
                    continue;
                }
                throw reader.error("setup", "not a pair: '" + pair + "'");
            }
            pairs.put(pair.substring(0, eq), pair.substring(eq + 1));
        }
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0, n = (int) number("classes.count", null); i < n; i++) {
            String at = "classes." + i + ".";
            classes.add(new RequestClass(value(at + "name", null), number(at + "aim", null),
                    number(at + "giveUp", null), choice(Effect.class, at + "effect", null),
                    choice(DedupScope.class, at + "dedupScope", "all"), number(at + "keyTtl", "0"),
                    flag(at + "stream", "false"), decimal(at + "worth", "1"),
                    decimal(at + "lateShare", "0")));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0, n = (int) number("tenants.count", "0"); i < n; i++) {
            String at = "tenants." + i + ".";
            tenants.add(new Tenant(value(at + "name", null), decimal(at + "share", "0"),
                    decimal(at + "quotaPerS", "0")));
        }
        long retryAfter = flag("policyLimits.retryAfter", "false")
                ? number("policyLimits.maxRetryAfter", "0") : 0;
        return new Settings(seed, (int) number("me", null), (int) number("replicasOfMe", null),
                (int) number("tier", "0"), value("zone", "-"), classes, tenants,
                decimal("overShareWorth", "1"), value("discovery", "pushed").equals("on_request"),
                number("rules.mustAskIn", "10000000"), (int) number("policyLimits.maxAttempts", "1"),
                (int) number("policyLimits.openCap", "20000"), retryAfter,
                flag("policyLimits.mayCancel", "false"), flag("policyLimits.mayProbe", "false"),
                flag("policyLimits.secondCopies", "false"), number("policyLimits.idleClose", "15000000"),
                decimal("rules.coldFrom", "1"), number("rules.warmAfter", "0"));
    }

    private String value(String key, String absent) {
        String v = pairs.get(key);
        if (v == null || v.equals("-")) {
            if (absent == null) {
                throw reader.error("setup", "no " + key);
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
            throw reader.error("setup", key + " is not a whole number: '" + v + "'");
        }
    }

    private double decimal(String key, String absent) {
        String v = value(key, absent);
        try {
            return Double.parseDouble(v);
        } catch (NumberFormatException e) {
            throw reader.error("setup", key + " is not a number: '" + v + "'");
        }
    }

    private boolean flag(String key, String absent) {
        String v = value(key, absent);
        return switch (v) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default -> throw reader.error("setup", key + " is neither true nor false: '" + v + "'");
        };
    }

    private <E extends Enum<E>> E choice(Class<E> of, String key, String absent) {
        String v = value(key, absent);
        for (E e : of.getEnumConstants()) {
            if (e.name().toLowerCase(Locale.ROOT).equals(v)) {
                return e;
            }
        }
        throw reader.error("setup", key + " is unknown: '" + v + "'");
    }
}
