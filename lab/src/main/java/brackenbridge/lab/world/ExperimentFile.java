package brackenbridge.lab.world;

import brackenbridge.lab.model.ServerProfile;
import brackenbridge.lab.random.Distribution;
import brackenbridge.lab.world.World.ClassSpec;
import brackenbridge.lab.world.World.ClientSpec;
import brackenbridge.lab.world.World.DiscoverySpec;
import brackenbridge.lab.world.World.LimitSpec;
import brackenbridge.lab.world.World.LoadSpec;
import brackenbridge.lab.world.World.NetSpec;
import brackenbridge.lab.world.World.Shape;
import brackenbridge.lab.world.World.TenantSpec;
import brackenbridge.lab.world.World.TierSpec;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;

/** Reads an experiment from a TOML file; docs/operations/lab.md has every key. */
public final class ExperimentFile {
    private static final int REQUIRED = Integer.MIN_VALUE;
    /** Policies by the names that a file may use. */
    private final Set<String> policies;

    private final String file;

    private ExperimentFile(String file, Set<String> policies) {
        this.file = file;
        this.policies = policies;
    }

    /** Reads a file whose policies must be among these. */
    public static Experiment read(Path path, Set<String> policies) throws FileFault {
        try {
            return parse(
                    path.toString(),
                    Files.readString(path),
                    path.toAbsolutePath().getParent(),
                    policies);
        } catch (NoSuchFileException e) {
            throw new FileFault(path.toString(), "no such file");
        } catch (CharacterCodingException e) {
            throw new FileFault(path.toString(), "is not UTF-8 text");
        } catch (IOException e) {
            throw new FileFault(path.toString(), "can't be read: " + e.getMessage());
        }
    }

    /** Reads the text of a file; paths in it start at the folder. */
    public static Experiment parse(String file, String text, Path folder, Set<String> policies) throws FileFault {
        TomlParseResult toml = Toml.parse(text);
        for (TomlParseError e : toml.errors()) {
            throw new FileFault(
                    file,
                    e.position().line(),
                    e.position().column(),
                    e.getMessage().replaceAll("\\s+", " "));
        }
        Section root = new Section(file, toml, "", TomlPosition.positionAt(1, 1));
        return new ExperimentFile(file, policies).experiment(root, folder);
    }

    private Experiment experiment(Section root, Path folder) throws FileFault {
        String name = root.text("name", null);
        if (!name.matches("[A-Za-z0-9._-]{1,60}")) {
            throw root.fault("name", "'" + name + "' is not 1 to 60 letters, digits, dots, dashes and underscores");
        }
        String about = root.text("about", "-");
        double seconds = root.time("length", Double.NaN) / 1000;
        if (seconds <= 0) {
            throw root.fault("length", "must be above 0");
        }
        double warmup = root.time("warmup", 0) / 1000;
        if (warmup >= seconds) {
            throw root.fault("warmup", "is not shorter than the run");
        }
        List<ClassSpec> classes = classes(root);
        List<TierSpec> tiers = tiers(root, classes);
        LimitSpec limits = limits(root.section("limits"), LimitSpec.USUAL);
        Map<String, LimitSpec> variants = variants(root, limits);
        World world = new World(
                seconds,
                warmup,
                tiers,
                classes,
                tenants(root),
                load(root, folder),
                clients(root.section("clients")),
                net(root.section("net")),
                discovery(root.section("discovery")),
                troubles(root, tiers, classes),
                limits);
        Section compare = root.section("compare");
        List<String> chosen = compare.list("policies", String.class, "a text");
        for (String p : chosen) {
            if (!policies.contains(p)) {
                throw compare.fault(
                        "policies",
                        "'" + p + "' is unknown; known are " + String.join(", ", new java.util.TreeSet<>(policies)));
            }
        }
        List<Integer> sizes = new ArrayList<>();
        for (long n : compare.list("servers", Long.class, "a whole number")) {
            if (n < 1 || n > 100_000) {
                throw compare.fault("servers", n + " is not within 1 to 100000");
            }
            sizes.add((int) n);
        }
        List<Double> loads = compare.list("loads", Double.class, "a number");
        for (double l : loads) {
            if (!(l > 0 && l <= 100)) {
                throw compare.fault("loads", l + " is not above 0 and at most 100");
            }
        }
        List<Long> seeds = compare.list("seeds", Long.class, "a whole number");
        double perNode = compare.number(
                "servers_per_node",
                tiers.get(0).servers() / (double) tiers.get(0).nodes(),
                0.01,
                1e6);
        List<String> jars = compare.list("jars", String.class, "a text");
        compare.end();
        root.end();
        return new Experiment(
                name,
                about,
                world,
                chosen.isEmpty() ? List.of("module") : chosen,
                sizes,
                perNode,
                loads,
                seeds.isEmpty() ? List.of(1L) : seeds,
                jars,
                variants);
    }

    private List<ClassSpec> classes(Section root) throws FileFault {
        List<ClassSpec> classes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Section s : root.sections("class")) {
            String name = s.text("name", null);
            if (!names.add(name)) {
                throw s.fault("name", "class '" + name + "' is given twice");
            }
            double aim = s.time("aim", Double.NaN);
            double deadline = s.time("deadline", Double.NaN);
            if (deadline < aim || aim <= 0) {
                throw s.fault("deadline", "is before the aim, or the aim is 0");
            }
            classes.add(new ClassSpec(
                    name,
                    aim,
                    deadline,
                    s.flag("unsafe", false),
                    s.number("worth", 1, 0, 1e6),
                    s.number("late_share", 0, 0, 1),
                    s.number("share", 1, 0, 1e6)));
            s.end();
        }
        if (classes.isEmpty()) {
            classes.add(new ClassSpec("call", 1000, 4000, false, 1, 0, 1));
        }
        if (classes.stream().mapToDouble(ClassSpec::share).sum() <= 0) {
            throw root.fault("class", "no class has a share of the arrivals");
        }
        return classes;
    }

    private List<TenantSpec> tenants(Section root) throws FileFault {
        List<TenantSpec> tenants = new ArrayList<>();
        for (Section s : root.sections("tenant")) {
            double share = s.number("share", Double.NaN, 0, 1);
            tenants.add(new TenantSpec(s.text("name", null), share, s.number("arrivals", share, 0, 1e6)));
            s.end();
        }
        if (!tenants.isEmpty()
                && tenants.stream().mapToDouble(TenantSpec::arrivals).sum() <= 0) {
            throw root.fault("tenant", "no tenant has a share of the arrivals");
        }
        return tenants;
    }

    private List<TierSpec> tiers(Section root, List<ClassSpec> classes) throws FileFault {
        List<TierSpec> tiers = new ArrayList<>();
        List<Section> sections = root.sections("tier");
        if (sections.isEmpty()) {
            throw root.fault("tier", "there is none; write [[tier]]");
        }
        for (Section s : sections) {
            boolean last = tiers.size() == sections.size() - 1;
            int servers = s.whole("servers", REQUIRED, 0, 100_000);
            int nodes = s.whole("nodes", tiers.isEmpty() ? 1 : 0, tiers.isEmpty() ? 1 : 0, 10_000);
            int least = s.whole("calls_least", last ? 0 : 1, 0, 50);
            int most = s.whole("calls_most", least, least, 50);
            if (last && most > 0) {
                throw s.fault("calls_most", "the last tier has none to call");
            }
            String callClass = s.has("call_class") ? s.text("call_class", null) : null;
            if (callClass != null && classes.stream().noneMatch(c -> c.name().equals(callClass))) {
                throw s.fault("call_class", "no class '" + callClass + "'");
            }
            tiers.add(new TierSpec(
                    s.text("name", "tier-" + tiers.size()),
                    servers,
                    nodes,
                    profile(s),
                    s.number("speed_spread", 0, 0, 0.95),
                    work(s),
                    least,
                    most,
                    callClass));
            s.end();
        }
        return tiers;
    }

    private static Distribution work(Section s) throws FileFault {
        Distribution.Shape shape = s.choice("work", Distribution.Shape.class, Distribution.Shape.EXPONENTIAL);
        double mean = s.time("work_mean", Double.NaN);
        if (mean <= 0) {
            throw s.fault("work_mean", "must be above 0");
        }
        return new Distribution(shape, mean, s.number("work_cv", 1, 0.001, 100));
    }

    private static ServerProfile profile(Section s) throws FileFault {
        int cores = s.whole("cores", 1, 1, 1024);
        double fallMs = s.time("fall", 0);
        ServerProfile.Cold cold = new ServerProfile.Cold(
                s.number("cold_from", 1, 0.001, 1),
                s.time("cold", 0),
                s.time("cold_work", 0),
                s.number("fall_multiple", 3, 0.1, 1000),
                fallMs);
        int chokeAt = s.whole("choke_at", Integer.MAX_VALUE, 1, Integer.MAX_VALUE);
        int chokeUntil = s.whole("choke_until", chokeAt / 2, 0, Integer.MAX_VALUE - 1);
        if (chokeUntil >= chokeAt) {
            throw s.fault("choke_until", "is not below choke_at");
        }
        return new ServerProfile(
                cores,
                s.number("speed", 1, 0.001, 1000),
                s.whole("slots", cores, 1, 1_000_000),
                s.whole("room", 100, 0, 100_000_000),
                s.number("error_rate", 0, 0, 1),
                s.choice("cancel", ServerProfile.Cancel.class, ServerProfile.Cancel.QUEUED),
                s.flag("drops_expired", false),
                cold,
                new ServerProfile.Crowd(
                        s.number("crowd_loss", 0, 0, 100),
                        s.whole("crowd_above", Integer.MAX_VALUE, 0, Integer.MAX_VALUE)),
                new ServerProfile.Choke(
                        chokeAt,
                        chokeUntil,
                        s.number("choke_part", 0.5, 0.01, 1),
                        s.time("choke_over", 0),
                        s.time("choke_rest", 0),
                        s.time("choke_most", 1e9)),
                new ServerProfile.Pauses(s.time("pause_every", 0), s.time("pause", 0)),
                new ServerProfile.Connections(
                        s.whole("connections", Integer.MAX_VALUE, 1, Integer.MAX_VALUE),
                        s.time("handshake", 0),
                        s.time("idle_close", 0)),
                new ServerProfile.Reports(
                        s.time("report_period", 0), s.time("report_delay", 0), s.number("report_noise", 0, 0, 1)),
                new ServerProfile.Probes(
                        s.time("probe_work", 0),
                        s.whole("probes", Integer.MAX_VALUE, 1, Integer.MAX_VALUE),
                        s.flag("probes_deep", true)));
    }

    private LoadSpec load(Section root, Path folder) throws FileFault {
        Section s = root.section("load");
        double ofCapacity = s.number("of_capacity", 0, 0, 100);
        double perSecond = s.number("per_second", 0, 0, 1e7);
        Shape shape = s.choice("shape", Shape.class, Shape.STEADY);
        List<Double> trace = List.of();
        if (shape == Shape.TRACE) {
            trace = trace(s, folder);
            perSecond = 1;
        } else if (ofCapacity > 0 == perSecond > 0) {
            throw s.fault(perSecond > 0 ? "per_second" : null, "give one of of_capacity and per_second");
        }
        LoadSpec load = new LoadSpec(
                ofCapacity,
                perSecond,
                shape,
                s.number("low", 0.5, 0, 1),
                s.time("period", 10_000),
                s.time("burst", 1000),
                trace);
        if (load.periodMs() <= 0) {
            throw s.fault("period", "must be above 0");
        }
        s.end();
        return load;
    }

    private List<Double> trace(Section s, Path folder) throws FileFault {
        Path path = folder.resolve(s.text("trace", null));
        try {
            List<Double> times = new ArrayList<>();
            int line = 0;
            for (String l : Files.readAllLines(path)) {
                line++;
                if (l.isBlank() || l.startsWith("#")) {
                    continue;
                }
                double t = Double.parseDouble(l.strip());
                if (!(t >= 0) || !times.isEmpty() && t < times.get(times.size() - 1)) {
                    throw new FileFault(path.toString(), line, 1, "times must not go back");
                }
                times.add(t);
            }
            return times;
        } catch (IOException e) {
            throw s.fault("trace", "can't be read: " + e.getMessage());
        } catch (NumberFormatException e) {
            throw s.fault("trace", "holds what is not a number of milliseconds");
        }
    }

    private static ClientSpec clients(Section s) throws FileFault {
        ClientSpec c = new ClientSpec(
                s.whole("retries", 1, 0, 20),
                s.time("backoff", 50),
                s.number("heed_retry_after", 1, 0, 1),
                s.number("impatient", 0, 0, 1),
                s.number("keep_alive", 0.95, 0, 1),
                s.number("try_least", 1, 0.01, 1),
                s.number("try_most", 1, 0.01, 1));
        if (c.tryMost() < c.tryLeast()) {
            throw s.fault("try_most", "is below try_least");
        }
        s.end();
        return c;
    }

    private static NetSpec net(Section s) throws FileFault {
        NetSpec n = new NetSpec(
                s.time("server", 0.2),
                s.time("client", 0.5),
                s.number("jitter", 0.1, 0, 1),
                s.number("handshake_trips", 2, 0, 10),
                s.whole("zones", 1, 1, 26),
                s.time("cross", 3),
                s.number("cross_price", 0, 0, 100));
        s.end();
        return n;
    }

    private static DiscoverySpec discovery(Section s) throws FileFault {
        DiscoverySpec d = new DiscoverySpec(
                s.time("notice", 1500), s.time("silent_notice", 6000), s.time("spread", 300), s.flag("pushed", false));
        s.end();
        return d;
    }

    /** Limits, those that are not given taken from others. */
    private static LimitSpec limits(Section s, LimitSpec others) throws FileFault {
        List<String> fields = s.list("report_fields", String.class, "a text");
        LimitSpec l = new LimitSpec(
                s.whole("max_attempts", others.maxAttempts(), 1, 100),
                s.whole("max_open", others.maxOpen(), 1, 10_000_000),
                s.time("max_retry_after", others.maxRetryAfterMs()),
                s.flag("cancel", others.mayCancel()),
                s.flag("probes", others.mayProbe()),
                s.time("connect_timeout", others.connectTimeoutMs()),
                s.time("drain_grace", others.drainGraceMs()),
                s.time("idle_close", others.idleCloseMs()),
                s.flag("reports_in_answers", others.reportsInAnswers()),
                s.has("report_fields") ? fields : others.reportFields(),
                s.number("quota_of_capacity", others.quotaOfCapacity(), 0.01, 100));
        if (l.connectTimeoutMs() <= 0) {
            throw s.fault("connect_timeout", "must be above 0");
        }
        s.end();
        return l;
    }

    /** The same world under other limits, each under a name of its own. */
    private static Map<String, LimitSpec> variants(Section root, LimitSpec limits) throws FileFault {
        Map<String, LimitSpec> variants = new LinkedHashMap<>();
        for (Section s : root.sections("variant")) {
            String name = s.text("name", null);
            if (variants.put(name, limits(s, limits)) != null) {
                throw s.fault("name", "variant '" + name + "' is given twice");
            }
        }
        return variants;
    }

    private List<Trouble> troubles(Section root, List<TierSpec> tiers, List<ClassSpec> classes) throws FileFault {
        List<Trouble> troubles = new ArrayList<>();
        for (Section s : root.sections("trouble")) {
            Trouble.Kind kind = s.choice("kind", Trouble.Kind.class, null);
            String tierName = s.text("tier", tiers.get(0).name());
            int tier = -1;
            for (int i = 0; i < tiers.size(); i++) {
                if (tiers.get(i).name().equals(tierName)) {
                    tier = i;
                }
            }
            if (tier < 0) {
                throw s.fault("tier", "no tier '" + tierName + "'");
            }
            String className = s.has("class") ? s.text("class", null) : null;
            if (kind == Trouble.Kind.CLASS_FAILS && className == null) {
                throw s.fault("class", "is missing: which class fails");
            }
            if (className != null && classes.stream().noneMatch(c -> c.name().equals(className))) {
                throw s.fault("class", "no class '" + className + "'");
            }
            troubles.add(new Trouble(
                    kind,
                    s.time("at", Double.NaN),
                    s.time("for", Double.POSITIVE_INFINITY),
                    tier,
                    s.whole("count", 1, 1, 100_000),
                    s.number("amount", kind.usual(), 0, 1e9),
                    className,
                    s.time("every", 0)));
            s.end();
        }
        return troubles;
    }
}
