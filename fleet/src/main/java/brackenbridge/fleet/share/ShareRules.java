package brackenbridge.fleet.share;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Who may have what part of a pool: the content of the agreed value {@code shares}, the same for each pool. A tree of
 * groups, tenants and, where a tenant has them, classes.
 *
 * @param groups the groups that are named
 * @param others weight, floor and ceiling of all tenants together that no group names; each of them has weight 1
 * @param hungerMs a tenant that is under its floor with demand for longer is an alarm; milliseconds
 */
public record ShareRules(List<Rule> groups, Rule others, double starvationMs) {
    /** No groups: all tenants alike. */
    public static final ShareRules NONE =
            new ShareRules(List.of(), new Rule("", 1, 0, Double.POSITIVE_INFINITY, List.of()), 2000);

    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();
    private static final int MAX_RULES = 100_000;
    private static final double MAX_WEIGHT = 1e6;
    private static final String[] LEVELS = {"groups", "tenants", "classes"};

    /**
     * A place in the tree.
     *
     * @param name its name
     * @param weight its part beside its neighbours' when all want more
     * @param floor connections that it has before anyone has more than a floor, if it wants them
     * @param ceiling connections that it never has more than
     * @param under the places under it; none for one that calls belong to
     */
    public record Rule(String name, double weight, double floor, double ceiling, List<Rule> children) {
        /** Keeps its own copy. */
        public Rule {
            children = List.copyOf(children);
        }
    }

    /** The content can't be used; says all that is wrong with it. */
    public static final class InvalidSharesException extends Exception {
        private static final long serialVersionUID = 1;

        private InvalidSharesException(List<String> faults) {
            super(String.join("; ", faults));
        }
    }

    /** Keeps its own copy. */
    public ShareRules {
        groups = List.copyOf(groups);
    }

    /** What a call's connections are counted under: its tenant, with its class where the tenant has classes. */
    public String quotaKey(String tenant, String className) {
        for (Rule g : groups) {
            for (Rule t : g.children()) {
                if (t.name().equals(tenant)) {
                    return t.children().stream().anyMatch(c -> c.name().equals(className))
                            ? tenant + "/" + className
                            : tenant;
                }
            }
        }
        return tenant;
    }

    /**
     * Reads the agreed content.
     *
     * @throws Unusable with all its faults, each with its place
     */
    public static ShareRules parse(byte[] content) throws InvalidSharesException {
        List<String> faults = new ArrayList<>();
        JsonNode top;
        try {
            top = JSON.readTree(content);
        } catch (JsonProcessingException e) {
            throw new InvalidSharesException(List.of("line " + e.getLocation().getLineNr() + ", column "
                    + e.getLocation().getColumnNr() + ": " + e.getOriginalMessage()));
        } catch (IOException e) {
            throw new InvalidSharesException(List.of(String.valueOf(e.getMessage())));
        }
        if (top == null || !top.isObject()) {
            throw new InvalidSharesException(List.of("an object is wanted"));
        }
        checkNames(top, "", Set.of("groups", "others", "hunger_ms"), faults);
        int[] count = {0};
        List<Rule> groups = parseRules(top, "", 0, count, faults);
        JsonNode o = top.path("others");
        if (!o.isMissingNode() && !o.isObject()) {
            faults.add("others: an object is wanted");
        }
        checkNames(o, "others.", Set.of("weight", "floor", "ceiling"), faults);
        Rule others = parseRule("", o, "others.", List.of(), faults);
        double hunger = parseNumber(top, "hunger_ms", "", 2000, 1, 3_600_000, faults);
        Set<String> seen = new HashSet<>();
        groups.forEach(g -> g.children().forEach(t -> {
            if (!seen.add(t.name())) {
                faults.add("tenant '" + t.name() + "' stands in two places");
            }
        }));
        if (count[0] > MAX_RULES) {
            faults.add("more than " + MAX_RULES + " rules");
        }
        if (!faults.isEmpty()) {
            throw new InvalidSharesException(faults);
        }
        return new ShareRules(groups, others, hunger);
    }

    /** The content that {@link #parse} reads. */
    public byte[] encode() {
        Map<String, Object> top = new LinkedHashMap<>();
        top.put("groups", groups.stream().map(g -> toMap(g, 1)).toList());
        top.put("others", toMap(others, 3));
        top.put("hunger_ms", starvationMs);
        try {
            return JSON.writeValueAsString(top).getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Map<String, Object> toMap(Rule r, int level) {
        Map<String, Object> m = new LinkedHashMap<>();
        if (!r.name().isEmpty()) {
            m.put("name", r.name());
        }
        m.put("weight", r.weight());
        m.put("floor", r.floor());
        if (Double.isFinite(r.ceiling())) {
            m.put("ceiling", r.ceiling());
        }
        if (!r.children().isEmpty()) {
            m.put(
                    LEVELS[level],
                    r.children().stream().map(u -> toMap(u, level + 1)).toList());
        }
        return m;
    }

    private static List<Rule> parseRules(JsonNode of, String place, int level, int[] count, List<String> faults) {
        List<Rule> found = new ArrayList<>();
        if (level == LEVELS.length || of.path(LEVELS[level]).isMissingNode()) {
            return found;
        }
        JsonNode all = of.get(LEVELS[level]);
        if (!all.isArray()) {
            faults.add(place + LEVELS[level] + ": an array is wanted");
            return found;
        }
        Set<String> names = new HashSet<>();
        for (int i = 0; i < all.size() && count[0] <= MAX_RULES; i++) {
            count[0]++;
            String here = place + LEVELS[level] + "[" + i + "].";
            JsonNode one = all.get(i);
            if (!one.isObject()) {
                faults.add(here + " an object is wanted");
                continue;
            }
            Set<String> known = new HashSet<>(Set.of("name", "weight", "floor", "ceiling"));
            if (level + 1 < LEVELS.length) {
                known.add(LEVELS[level + 1]);
            }
            checkNames(one, here, known, faults);
            String name = one.path("name").asText("");
            if (name.isEmpty() || name.length() > 200 || name.contains("/") || !names.add(name)) {
                faults.add(here + "name: one of its own of 1 to 200 letters without '/' is wanted");
            }
            found.add(parseRule(name, one, here, parseRules(one, here, level + 1, count, faults), faults));
        }
        return found;
    }

    private static Rule parseRule(String name, JsonNode o, String place, List<Rule> under, List<String> faults) {
        double weight = parseNumber(o, "weight", place, 1, 1 / MAX_WEIGHT, MAX_WEIGHT, faults);
        double ceiling = parseNumber(o, "ceiling", place, Double.POSITIVE_INFINITY, 0, 1e9, faults);
        double floor = parseNumber(o, "floor", place, 0, 0, 1e9, faults);
        if (floor > ceiling) {
            faults.add(place + "floor: is over the ceiling");
        }
        if (under.stream().mapToDouble(Rule::floor).sum() > ceiling) {
            faults.add(place + "ceiling: is under the floors below it together");
        }
        return new Rule(name, weight, floor, ceiling, under);
    }

    private static double parseNumber(
            JsonNode o, String name, String place, double otherwise, double least, double most, List<String> faults) {
        JsonNode n = o.path(name);
        if (n.isMissingNode()) {
            return otherwise;
        }
        double d = n.asDouble(Double.NaN);
        if (!n.isNumber() || !(d >= least && d <= most)) {
            faults.add(place + name + ": a number within " + least + " to " + most + " is wanted");
            return otherwise;
        }
        return d;
    }

    private static void checkNames(JsonNode o, String place, Set<String> known, List<String> faults) {
        o.fieldNames().forEachRemaining(n -> {
            if (!known.contains(n)) {
                faults.add(place + n + ": unknown");
            }
        });
    }
}
