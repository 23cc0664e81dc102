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
 * The rules by which a pool is shared: the content of the agreed value {@code shares}, the same for each pool. They
 * form a tree of groups, tenants and, where a tenant has them, classes.
 *
 * @param groups the named groups
 * @param others weight, floor and ceiling of all tenants together that no group names; each of them has weight 1
 * @param starvationMs a tenant with demand that stays below its floor for longer raises an alarm; milliseconds
 */
public record ShareRules(List<Rule> groups, Rule others, double starvationMs) {
    /** Rules without groups: all tenants are equal. */
    public static final ShareRules NONE =
            new ShareRules(List.of(), new Rule("", 1, 0, Double.POSITIVE_INFINITY, List.of()), 2000);

    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();
    private static final int MAX_RULES = 100_000;
    private static final double MAX_WEIGHT = 1e6;
    private static final String[] LEVELS = {"groups", "tenants", "classes"};

    /**
     * A node of the tree.
     *
     * @param name its name
     * @param weight its share relative to its siblings when all have more demand
     * @param floor connections that it gets, if it has the demand, before any sibling gets more than its own floor
     * @param ceiling the most connections that it gets
     * @param children its children; empty for a leaf, to which requests belong
     */
    public record Rule(String name, double weight, double floor, double ceiling, List<Rule> children) {
        /** Copies the list. */
        public Rule {
            children = List.copyOf(children);
        }
    }

    /** Reports content that is not valid, with all its errors. */
    public static final class InvalidSharesException extends Exception {
        private static final long serialVersionUID = 1;

        private InvalidSharesException(List<String> errors) {
            super(String.join("; ", errors));
        }
    }

    /** Copies the list. */
    public ShareRules {
        groups = List.copyOf(groups);
    }

    /** Returns the key under which a request's connections count: its tenant, with its class if the rules name it. */
    public String quotaKey(String tenant, String className) {
        for (Rule group : groups) {
            for (Rule tenantRule : group.children()) {
                if (tenantRule.name().equals(tenant)) {
                    return tenantRule.children().stream()
                                    .anyMatch(classRule -> classRule.name().equals(className))
                            ? tenant + "/" + className
                            : tenant;
                }
            }
        }
        return tenant;
    }

    /**
     * Parses the agreed content.
     *
     * @throws InvalidSharesException with all errors, each with its path
     */
    public static ShareRules parse(byte[] content) throws InvalidSharesException {
        List<String> errors = new ArrayList<>();
        JsonNode root;
        try {
            root = JSON.readTree(content);
        } catch (JsonProcessingException e) {
            throw new InvalidSharesException(List.of("line " + e.getLocation().getLineNr() + ", column "
                    + e.getLocation().getColumnNr() + ": " + e.getOriginalMessage()));
        } catch (IOException e) {
            throw new InvalidSharesException(List.of(String.valueOf(e.getMessage())));
        }
        if (root == null || !root.isObject()) {
            throw new InvalidSharesException(List.of("the content must be an object"));
        }
        checkNames(root, "", Set.of("groups", "others", "hunger_ms"), errors);
        int[] ruleCount = {0};
        List<Rule> groups = parseRules(root, "", 0, ruleCount, errors);
        JsonNode othersNode = root.path("others");
        if (!othersNode.isMissingNode() && !othersNode.isObject()) {
            errors.add("others: must be an object");
        }
        checkNames(othersNode, "others.", Set.of("weight", "floor", "ceiling"), errors);
        Rule others = parseRule("", othersNode, "others.", List.of(), errors);
        double starvationMs = parseNumber(root, "hunger_ms", "", 2000, 1, 3_600_000, errors);
        Set<String> tenantNames = new HashSet<>();
        groups.forEach(group -> group.children().forEach(tenant -> {
            if (!tenantNames.add(tenant.name())) {
                errors.add("tenant '" + tenant.name() + "' is listed twice");
            }
        }));
        if (ruleCount[0] > MAX_RULES) {
            errors.add("more than " + MAX_RULES + " rules");
        }
        if (!errors.isEmpty()) {
            throw new InvalidSharesException(errors);
        }
        return new ShareRules(groups, others, starvationMs);
    }

    /** Encodes the rules as {@link #parse} reads them. */
    public byte[] encode() {
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("groups", groups.stream().map(group -> toMap(group, 1)).toList());
        root.put("others", toMap(others, 3));
        root.put("hunger_ms", starvationMs);
        try {
            return JSON.writeValueAsString(root).getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Map<String, Object> toMap(Rule rule, int level) {
        Map<String, Object> fields = new LinkedHashMap<>();
        if (!rule.name().isEmpty()) {
            fields.put("name", rule.name());
        }
        fields.put("weight", rule.weight());
        fields.put("floor", rule.floor());
        if (Double.isFinite(rule.ceiling())) {
            fields.put("ceiling", rule.ceiling());
        }
        if (!rule.children().isEmpty()) {
            fields.put(
                    LEVELS[level],
                    rule.children().stream()
                            .map(child -> toMap(child, level + 1))
                            .toList());
        }
        return fields;
    }

    private static List<Rule> parseRules(
            JsonNode parent, String path, int level, int[] ruleCount, List<String> errors) {
        List<Rule> rules = new ArrayList<>();
        if (level == LEVELS.length || parent.path(LEVELS[level]).isMissingNode()) {
            return rules;
        }
        JsonNode array = parent.get(LEVELS[level]);
        if (!array.isArray()) {
            errors.add(path + LEVELS[level] + ": must be an array");
            return rules;
        }
        Set<String> names = new HashSet<>();
        for (int i = 0; i < array.size() && ruleCount[0] <= MAX_RULES; i++) {
            ruleCount[0]++;
            String elementPath = path + LEVELS[level] + "[" + i + "].";
            JsonNode element = array.get(i);
            if (!element.isObject()) {
                errors.add(elementPath + " must be an object");
                continue;
            }
            Set<String> knownNames = new HashSet<>(Set.of("name", "weight", "floor", "ceiling"));
            if (level + 1 < LEVELS.length) {
                knownNames.add(LEVELS[level + 1]);
            }
            checkNames(element, elementPath, knownNames, errors);
            String name = element.path("name").asText("");
            if (name.isEmpty() || name.length() > 200 || name.contains("/") || !names.add(name)) {
                errors.add(elementPath + "name: must be unique, of 1 to 200 characters, without '/'");
            }
            rules.add(parseRule(
                    name,
                    element,
                    elementPath,
                    parseRules(element, elementPath, level + 1, ruleCount, errors),
                    errors));
        }
        return rules;
    }

    private static Rule parseRule(String name, JsonNode object, String path, List<Rule> children, List<String> errors) {
        double weight = parseNumber(object, "weight", path, 1, 1 / MAX_WEIGHT, MAX_WEIGHT, errors);
        double ceiling = parseNumber(object, "ceiling", path, Double.POSITIVE_INFINITY, 0, 1e9, errors);
        double floor = parseNumber(object, "floor", path, 0, 0, 1e9, errors);
        if (floor > ceiling) {
            errors.add(path + "floor: is over the ceiling");
        }
        if (children.stream().mapToDouble(Rule::floor).sum() > ceiling) {
            errors.add(path + "ceiling: is below the sum of the floors under it");
        }
        return new Rule(name, weight, floor, ceiling, children);
    }

    private static double parseNumber(
            JsonNode object,
            String name,
            String path,
            double defaultValue,
            double min,
            double max,
            List<String> errors) {
        JsonNode node = object.path(name);
        if (node.isMissingNode()) {
            return defaultValue;
        }
        double value = node.asDouble(Double.NaN);
        if (!node.isNumber() || !(value >= min && value <= max)) {
            errors.add(path + name + ": must be a number from " + min + " to " + max);
            return defaultValue;
        }
        return value;
    }

    private static void checkNames(JsonNode object, String path, Set<String> knownNames, List<String> errors) {
        object.fieldNames().forEachRemaining(name -> {
            if (!knownNames.contains(name)) {
                errors.add(path + name + ": unknown key");
            }
        });
    }
}
