package brackenbridge.lab.live;

import brackenbridge.core.EndpointList;
import brackenbridge.core.ServerEndpoint;
import brackenbridge.core.balancing.BalancerApi.RequestClass;
import brackenbridge.core.balancing.BalancerApi.Settings;
import brackenbridge.core.balancing.BalancerApi.Tenant;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.util.Locale;

/** Writes a node's configuration and discovery's lists in the platform's form. */
final class SettingsJson {
    private SettingsJson() {}

    /** A node's whole configuration. */
    static JsonObject config(
            String name, String listen, String discovery, int sockets, Settings s, EndpointList known) {
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

    private static JsonObject settings(Settings s) {
        JsonArray classes = new JsonArray();
        for (RequestClass c : s.classes()) {
            classes.add(Json.object()
                    .add("name", c.name())
                    .add("aim", c.aim())
                    .add("giveUp", c.deadline())
                    .add("effect", c.effect().name().toLowerCase(Locale.ROOT))
                    .add("worth", c.worth())
                    .add("lateShare", c.lateShare()));
        }
        JsonArray tenants = new JsonArray();
        for (Tenant t : s.tenants()) {
            tenants.add(
                    Json.object().add("name", t.name()).add("share", t.share()).add("quotaPerS", t.quotaPerSecond()));
        }
        JsonArray columns = new JsonArray();
        s.network().reportFields().forEach(columns::add);
        return Json.object()
                .add("classes", classes)
                .add("tenants", tenants)
                .add("me", s.me())
                .add("replicasOfMe", s.peers())
                .add("tier", s.tier())
                .add("zone", s.zone())
                .add("overShareWorth", s.overShareWorth())
                .add("discovery", s.askDiscovery() ? "on_request" : "pushed")
                .add(
                        "policyLimits",
                        Json.object()
                                .add("maxAttempts", s.maxAttempts())
                                .add("openCap", s.maxOpen())
                                .add("maxRetryAfter", s.maxRetryAfter())
                                .add("mayCancel", s.mayCancel())
                                .add("mayProbe", s.mayProbe())
                                .add("secondCopies", s.secondCopies())
                                .add("idleClose", s.idleClose())
                                .add("connectTimeout", s.network().connectTimeout()))
                .add(
                        "report",
                        Json.object()
                                .add(
                                        "how",
                                        s.network().reportsInAnswers()
                                                ? "answers"
                                                : s.network().reportFields().isEmpty() ? "none" : "probe")
                                .add("columns", columns))
                .add(
                        "rules",
                        Json.object()
                                .add("drainGrace", s.network().drainGrace())
                                .add("mustAskIn", s.mustAskWithin())
                                .add("coldFrom", s.coldFrom())
                                .add("warmAfter", s.warmAfter())
                                .add("fallMultiple", s.fallMultiple())
                                .add("fall", s.fall()));
    }

    /** A list as discovery tells it. */
    static JsonObject group(EndpointList g) {
        JsonArray hosts = new JsonArray();
        for (ServerEndpoint t : g.targets()) {
            hosts.add(Json.object()
                    .add("host", t.host())
                    .add("dial", t.dial())
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
                    .add("born_ms", Math.round(t.bornMs())));
        }
        return Json.object().add("seq", g.seq()).add("whole", g.whole()).add("hosts", hosts);
    }
}
