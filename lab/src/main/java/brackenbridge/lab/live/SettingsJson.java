package brackenbridge.lab.live;

import brackenbridge.core.EndpointList;
import brackenbridge.core.ServerEndpoint;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.RequestClass;
import brackenbridge.core.balancing.TenantShare;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;

/** Writes a node's configuration and discovery's lists in the platform's form. */
final class SettingsJson {
    private SettingsJson() {}

    /** A node's whole configuration. */
    static JsonObject config(
            String name, String listen, String discovery, int sockets, BalancerSettings s, EndpointList known) {
        return Json.object()
                .add("name", name)
                .add("listen", listen)
                .add("discovery", discovery)
                .add("seed", String.format("%016x", s.seed()))
                .add(
                        "limits",
                        Json.object().add("cores", 1.0).add("memory_mb", 192).add("sockets", sockets))
                .add("known", group(known))
                .add("settings", settings(s));
    }

    private static JsonObject settings(BalancerSettings s) {
        JsonArray classes = new JsonArray();
        for (RequestClass c : s.classes()) {
            classes.add(Json.object()
                    .add("name", c.name())
                    .add("aim", c.latencyObjective())
                    .add("giveUp", c.deadline())
                    .add("effect", c.idempotence().settingsValue())
                    .add("worth", c.priorityWeight())
                    .add("lateShare", c.lateValueRatio()));
        }
        JsonArray tenants = new JsonArray();
        for (TenantShare t : s.tenants()) {
            tenants.add(
                    Json.object().add("name", t.name()).add("share", t.share()).add("quotaPerS", t.quotaPerSecond()));
        }
        JsonArray columns = new JsonArray();
        s.network().reportFields().forEach(columns::add);
        return Json.object()
                .add("classes", classes)
                .add("tenants", tenants)
                .add("me", s.instanceIndex())
                .add("replicasOfMe", s.instanceCount())
                .add("tier", s.tier())
                .add("zone", s.zone())
                .add("overShareWorth", s.overShareWeight())
                .add("discovery", s.polledDiscovery() ? "on_request" : "pushed")
                .add(
                        "policyLimits",
                        Json.object()
                                .add("maxAttempts", s.maxAttempts())
                                .add("openCap", s.maxOpenRequests())
                                .add("maxRetryAfter", s.maxRetryAfter())
                                .add("mayCancel", s.mayCancel())
                                .add("mayProbe", s.mayHealthCheck())
                                .add("secondCopies", s.mayHedge())
                                .add("idleClose", s.idleTimeout())
                                .add("connectTimeout", s.network().connectTimeout()))
                .add(
                        "report",
                        Json.object()
                                .add(
                                        "how",
                                        s.network().reportsInResponses()
                                                ? "answers"
                                                : s.network().reportFields().isEmpty() ? "none" : "probe")
                                .add("columns", columns))
                .add(
                        "rules",
                        Json.object()
                                .add("drainGrace", s.network().drainGrace())
                                .add("mustAskIn", s.maxPollInterval())
                                .add("coldFrom", s.coldCapacityRatio())
                                .add("warmAfter", s.warmUpTime())
                                .add("fallMultiple", s.overloadMultiple())
                                .add("fall", s.overloadWindow()));
    }

    /** A list as discovery tells it. */
    static JsonObject group(EndpointList g) {
        JsonArray hosts = new JsonArray();
        for (ServerEndpoint t : g.endpoints()) {
            hosts.add(Json.object()
                    .add("host", t.host())
                    .add("dial", t.address())
                    .add("site", t.zone())
                    .add("class", "std")
                    .add("block", t.cell())
                    .add(
                            "health",
                            switch (t.state()) {
                                case UP -> "active";
                                case DRAINING -> "leaving";
                                case REMOVED -> "left";
                            })
                    .add("share", t.weight())
                    .add("born_ms", Math.round(t.startedAtMs())));
        }
        return Json.object().add("seq", g.version()).add("whole", g.complete()).add("hosts", hosts);
    }
}
