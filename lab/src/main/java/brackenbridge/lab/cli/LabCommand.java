package brackenbridge.lab.cli;

import brackenbridge.cli.Extension;
import brackenbridge.lab.experiment.Results;
import brackenbridge.lab.experiment.SimRunner;
import brackenbridge.lab.experiment.Theory;
import brackenbridge.lab.live.BareRelay;
import brackenbridge.lab.live.Capacity;
import brackenbridge.lab.live.HopCost;
import brackenbridge.lab.live.LiveRunner;
import brackenbridge.lab.live.LoadRunner;
import brackenbridge.lab.live.Rehearsal;
import brackenbridge.lab.policy.Policies;
import brackenbridge.lab.random.Distribution;
import brackenbridge.lab.report.Compare;
import brackenbridge.lab.report.HtmlReport;
import brackenbridge.lab.rules.RuleChecker;
import brackenbridge.lab.world.Experiment;
import brackenbridge.lab.world.ExperimentFile;
import brackenbridge.lab.world.FileFault;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/** {@code lab}: the laboratory's commands. */
public final class LabCommand implements Extension {
    /** A broken rule. */
    static final int BROKEN = 1;
    /** A command line or a file that can't be used. */
    static final int USAGE = 2;

    private static final Pattern ADDRESS = Pattern.compile("([0-9.]+|\\[[0-9a-fA-F:.]+]):([0-9]{1,5})");

    @Parameters(commandDescription = "Play an experiment in simulated time")
    private static final class Sim {
        @Parameter(description = "EXPERIMENT.toml", required = true)
        private String file;

        @Parameter(names = "--out", description = "The folder of results", required = true)
        private String out;

        @Parameter(names = "--seed", description = "This seed alone, instead of the file's")
        private Long seed;

        @Parameter(names = "--threads", description = "Runs at once; by default one for each core")
        private int threads = Runtime.getRuntime().availableProcessors();

        @Parameter(names = "--policy", description = "This policy alone, instead of the file's")
        private String policy;
    }

    @Parameters(commandDescription = "Show the node at work: two tiers, 2 nodes, 10 servers on loopback")
    private static final class Demo {
        @Parameter(names = "--seconds", description = "How long requests arrive")
        private int seconds = 20;

        @Parameter(names = "--out", description = "The folder of results")
        private String out = "target/demo";

        @Parameter(names = "--seed", description = "The seed")
        private long seed = 1;
    }

    @Parameters(commandDescription = "Rehearse what staff do with a node: drain and return, settings, replacement")
    private static final class Operate {
        @Parameter(names = "--out", description = "The folder of logs")
        private String out = "target/operate";
    }

    @Parameters(commandDescription = "Play an experiment on real sockets with real nodes, the module alone deciding")
    private static final class Live {
        @Parameter(description = "EXPERIMENT.toml", required = true)
        private String file;

        @Parameter(names = "--out", description = "The folder of results", required = true)
        private String out;

        @Parameter(names = "--seed", description = "This seed alone, instead of the file's")
        private Long seed;
    }

    @Parameters(commandDescription = "Run only the stand-ins of a world, with a configuration for a node")
    private static final class Servers {
        @Parameter(description = "WORLD.toml", required = true)
        private String file;

        @Parameter(names = "--out", description = "The folder of the nodes' configurations")
        private String out = "target/servers";

        @Parameter(names = "--seconds", description = "How long; until interrupted by default")
        private double seconds = Double.POSITIVE_INFINITY;

        @Parameter(names = "--seed", description = "The seed")
        private long seed = 1;
    }

    @Parameters(commandDescription = "Send load to an address of loopback")
    private static final class Load {
        @Parameter(names = "--target", description = "HOST:PORT", required = true)
        private String target;

        @Parameter(names = "--rate", description = "First tries a second", required = true)
        private double rate;

        @Parameter(names = "--seconds", description = "How long requests arrive", required = true)
        private double seconds;

        @Parameter(names = "--warmup", description = "Seconds before these, at a rising rate, that no figure counts")
        private double warmup = 3;

        @Parameter(names = "--out", description = "The folder of results", required = true)
        private String out;

        @Parameter(names = "--like", description = "An experiment's file, for classes, tenants, habits and shape")
        private String like;

        @Parameter(names = "--class", description = "The class of all requests, where no file names any")
        private String className = "call";

        @Parameter(names = "--connections", description = "The most connections at once")
        private int connections = 4000;

        @Parameter(names = "--any-body", description = "The servers are not the laboratory's: take any body")
        private boolean anyBody;

        @Parameter(names = "--seed", description = "The seed")
        private long seed = 1;
    }

    @Parameters(commandDescription = "Find the highest rate: straight, through a bare relay, and through a node")
    private static final class CapacityOptions {
        @Parameter(names = "--out", description = "The folder of what is left over")
        private String out = "target/capacity";

        @Parameter(names = "--rounds", description = "How often each is measured, by turns")
        private int rounds = 3;

        @Parameter(names = "--seconds", description = "How long each rate is tried")
        private double seconds = 3;
    }

    @Parameters(commandDescription = "Measure what a node adds to a call, beside a bare relay and no hop at all")
    private static final class HopOptions {
        @Parameter(names = "--out", description = "The folder of what is left over")
        private String out = "target/hop";

        @Parameter(names = "--rounds", description = "How often each way is measured at each rate, by turns")
        private int rounds = 3;

        @Parameter(names = "--seconds", description = "How long each way is measured at each rate, in each round")
        private double seconds = 10;

        @Parameter(names = "--compiler", description = "Also measure with the compiler's usual levels")
        private boolean compiler;
    }

    @Parameters(commandDescription = "Benchmark the hot paths of decisions and decoders (JMH)")
    private static final class BenchOptions {
        @Parameter(description = "PATTERN of the benchmarks' names")
        private String include = "brackenbridge";

        @Parameter(names = "--quick", description = "One short iteration of each")
        private boolean quick;

        @Parameter(names = "--stacks", description = "Say where the time goes")
        private boolean stacks;
    }

    @Parameters(commandDescription = "Answer every request at once")
    private static final class EchoOptions {
        @Parameter(names = "--addresses", description = "At so many addresses")
        private int addresses = 1;
    }

    @Parameters(commandDescription = "Pass bytes on, and nothing else")
    private static final class RelayOptions {
        @Parameter(names = "--to", description = "HOST:PORT", required = true)
        private String to;
    }

    @Parameters(commandDescription = "Write a folder's report.html")
    private static final class Report {
        @Parameter(description = "DIR", required = true)
        private String folder;
    }

    @Parameters(commandDescription = "Put two folders of results side by side")
    private static final class Comparison {
        @Parameter(description = "DIR1 DIR2", required = true, arity = 2)
        private List<String> folders;
    }

    @Parameters(commandDescription = "Hold the model of a server against queueing theory")
    private static final class Check {
        @Parameter(names = "--requests", description = "Requests for each queue")
        private int requests = 4_000_000;

        @Parameter(names = "--seed", description = "The seed")
        private long seed = 7;
    }

    @Override
    public String name() {
        return "lab";
    }

    @Override
    public int run(String[] args) {
        Sim sim = new Sim();
        Demo demo = new Demo();
        Operate operate = new Operate();
        Live live = new Live();
        Servers servers = new Servers();
        Load load = new Load();
        CapacityOptions capacity = new CapacityOptions();
        HopOptions hop = new HopOptions();
        BenchOptions bench = new BenchOptions();
        EchoOptions echo = new EchoOptions();
        RelayOptions relay = new RelayOptions();
        Report report = new Report();
        Comparison comparison = new Comparison();
        Check check = new Check();
        Agree agree = new Agree();
        Replicate replicate = new Replicate();
        Fleets fleet = new Fleets();
        Evacuate evacuate = new Evacuate();
        Scale scale = new Scale();
        Grow grow = new Grow();
        Soak soak = new Soak();
        JCommander line = JCommander.newBuilder()
                .programName("brackenbridge lab")
                .addCommand("demo", demo)
                .addCommand("operate", operate)
                .addCommand("sim", sim)
                .addCommand("live", live)
                .addCommand("servers", servers)
                .addCommand("load", load)
                .addCommand("report", report)
                .addCommand("compare", comparison)
                .addCommand("theory", check)
                .addCommand("capacity", capacity)
                .addCommand("bench", bench)
                .addCommand("hop", hop)
                .addCommand("echo", echo)
                .addCommand("relay", relay)
                .addCommand("agree", agree)
                .addCommand("replicate", replicate)
                .addCommand("fleet", fleet)
                .addCommand("evacuate", evacuate)
                .addCommand("scale", scale)
                .addCommand("grow", grow)
                .addCommand("soak", soak)
                .build();
        try {
            line.parse(args);
        } catch (ParameterException e) {
            return usage(e.getMessage());
        }
        if (line.getParsedCommand() == null) {
            line.usage();
            return USAGE;
        }
        try {
            return switch (line.getParsedCommand()) {
                case "demo" -> demo(demo);
                case "operate" -> operate(operate);
                case "sim" -> sim(sim);
                case "live" -> live(live);
                case "servers" -> servers(servers);
                case "load" -> load(load);
                case "report" -> {
                    System.out.println("wrote " + HtmlReport.write(Path.of(report.folder)));
                    yield 0;
                }
                case "compare" -> {
                    if (comparison.folders.size() != 2) {
                        throw new ParameterException("compare wants two folders");
                    }
                    System.out.print(
                            Compare.text(Path.of(comparison.folders.get(0)), Path.of(comparison.folders.get(1))));
                    yield 0;
                }
                case "theory" -> theory(check);
                case "agree" -> agree.run();
                case "replicate" -> replicate.run();
                case "fleet" -> fleet.run();
                case "evacuate" -> evacuate.run();
                case "scale" -> scale.run();
                case "grow" -> grow.run();
                case "soak" -> soak.run();
                case "capacity" -> capacity(capacity);
                case "hop" -> hop(hop);
                case "bench" -> bench(bench);
                case "echo" -> stand(BareRelay.echo(echo.addresses));
                case "relay" -> {
                    InetSocketAddress to = target("--to", relay.to);
                    yield stand(List.of(BareRelay.relay(to)));
                }
                default -> USAGE;
            };
        } catch (ParameterException e) {
            return usage(e.getMessage());
        } catch (FileFault e) {
            return usage(e.getMessage());
        } catch (IOException | UncheckedIOException e) {
            return usage(String.valueOf(e.getMessage()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return BROKEN;
        }
    }

    private static int demo(Demo o) throws FileFault, IOException, InterruptedException {
        String text;
        try (InputStream in = LabCommand.class.getResourceAsStream("/brackenbridge/lab/demo.toml")) {
            text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
        if (o.seconds < 3) {
            return usage("--seconds: a demo takes 3 at least");
        }
        Experiment e = ExperimentFile.parse("demo.toml", text, Path.of("."), Policies.names());
        // A shorter or longer demo has its troubles at the same places.
        String fitted = text.replace("length = \"20s\"", "length = \"" + o.seconds + "s\"");
        for (int at : new int[] {5, 6, 8, 9}) {
            fitted = fitted.replace(
                    "= \"" + at + "s\"",
                    String.format(
                            Locale.ROOT,
                            "= \"%.2fs\"",
                            at * o.seconds / e.world().seconds()));
        }
        e = ExperimentFile.parse("demo.toml", fitted, Path.of("."), Policies.names());
        return live(e.withSeed(o.seed), fitted, Path.of(o.out));
    }

    private static int operate(Operate o) throws FileFault, IOException, InterruptedException {
        Deployment deployment = Deployment.read();
        Experiment e = ExperimentFile.parse("operate", plainLoad("call"), Path.of("."), Policies.names());
        try (Rehearsal r =
                new Rehearsal(deployment.home(), Path.of(o.out), deployment.run(), e.world(), System.out::println)) {
            return r.play() ? 0 : BROKEN;
        }
    }

    private static int live(Live o) throws FileFault, IOException, InterruptedException {
        Path file = Path.of(o.file);
        Experiment e = ExperimentFile.read(file, Policies.names());
        return live(o.seed == null ? e : e.withSeed(o.seed), Files.readString(file), Path.of(o.out));
    }

    private static int live(Experiment all, String toml, Path out) throws IOException, InterruptedException {
        Deployment deployment = Deployment.read();
        List<String> jars = all.jars().isEmpty() ? List.of("") : all.jars();
        // Real nodes decide by the module alone; what may differ is the jar.
        Experiment e = all.withPolicies(all.jars().isEmpty() ? List.of(Policies.MODULE) : all.jars());
        long broken = 0;
        List<RuleChecker.Breach> breaches = new ArrayList<>();
        try (Results results = new Results(out)) {
            results.keep("experiment.toml", toml);
            for (Experiment.Run run : e.runs()) {
                String jar = jars.contains(run.policy()) ? run.policy() : "";
                LiveRunner.Outcome r = LiveRunner.play(
                        e,
                        run,
                        deployment.home(),
                        jar.isEmpty() ? deployment.run() : deployment.runWith(jar),
                        out.resolve("run-" + run.number()),
                        results);
                broken += r.ledger().broken();
                breaches.addAll(r.ledger().breaches());
                overrun(r);
            }
        }
        System.out.print(Tables.outcomes(out));
        System.out.print(Tables.ends(out));
        System.out.println("report: " + HtmlReport.write(out));
        return rules(broken, breaches);
    }

    private static void overrun(LiveRunner.Outcome r) {
        if (r.overrun()) {
            System.out.printf(
                    Locale.ROOT,
                    "MARKED: more was due than the load tool could send: %d of %d first tries "
                            + "went out over 10 ms late%n",
                    r.late(),
                    r.sent());
        }
    }

    private static int servers(Servers o) throws FileFault, IOException, InterruptedException {
        Experiment e = ExperimentFile.read(Path.of(o.file), Policies.names());
        Deployment deployment = Deployment.read();
        try (brackenbridge.lab.live.Servers s = new brackenbridge.lab.live.Servers(e.world(), o.seed, Path.of(o.out))) {
            System.out.println("servers: " + String.join(" ", s.dials()));
            for (int i = 0; i < s.configs().size(); i++) {
                System.out.println("node at " + s.addresses().get(i).getHostString() + ":"
                        + s.addresses().get(i).getPort() + ": PROXY_CONFIG="
                        + s.configs().get(i).toAbsolutePath()
                        + " sh -c '" + deployment.run() + "'");
            }
            System.out.println("running; interrupt to end");
            if (Double.isInfinite(o.seconds)) {
                Thread.currentThread().join();
            }
            Thread.sleep((long) (o.seconds * 1000));
        }
        return 0;
    }

    private static int load(Load o) throws FileFault, IOException, InterruptedException {
        InetSocketAddress at = target("--target", o.target);
        if (!(o.rate > 0 && o.rate <= 1e6)) {
            return usage("--rate: " + o.rate + " is not within 0 to 1000000");
        }
        if (!(o.seconds > 0 && o.seconds <= 86_400 && o.warmup >= 0 && o.warmup <= 600)) {
            return usage("--seconds must be above 0 and at most 86400, --warmup within 0 to 600");
        }
        String world = o.like != null ? Files.readString(Path.of(o.like)) : plainLoad(o.className);
        Experiment e = ExperimentFile.parse(o.like == null ? "load" : o.like, world, Path.of("."), Policies.names())
                .withSeed(o.seed)
                .withLoad(o.rate, o.seconds, o.warmup);
        Path out = Path.of(o.out);
        LiveRunner.Outcome r;
        try (Results results = new Results(out)) {
            r = LoadRunner.play(e, e.runs().get(0), at, o.connections, !o.anyBody, results);
        }
        System.out.print(Tables.outcomes(out));
        System.out.print(Tables.ends(out));
        overrun(r);
        System.out.println("report: " + HtmlReport.write(out));
        return rules(r.ledger().broken(), r.ledger().breaches());
    }

    /** An experiment for the load tool alone: one class, and nothing said of servers. */
    private static String plainLoad(String className) {
        return "name = \"load\"\nlength = 1000\n[[class]]\nname = \"" + className + "\"\naim = \"1s\"\n"
                + "deadline = \"4s\"\n[[tier]]\nservers = 1\nwork_mean = 1\n[load]\nper_second = 1\n";
    }

    private static int capacity(CapacityOptions o) throws FileFault, IOException, InterruptedException {
        Deployment deployment = Deployment.read();
        Experiment e = ExperimentFile.parse(
                "capacity", plainLoad("call") + "[clients]\nkeep_alive = 1.0\n", Path.of("."), Policies.names());
        Map<String, List<Double>> best;
        try (Capacity c = new Capacity(deployment.home(), Path.of(o.out), e, o.seconds)) {
            best = c.measure(deployment.run(), o.rounds, System.out::println);
        }
        best.forEach((name, rates) -> System.out.printf(
                Locale.ROOT,
                "%-20s %s, median %.0f a second%n",
                name,
                rates.stream().map(r -> String.format(Locale.ROOT, "%.0f", r)).toList(),
                rates.stream().sorted().toList().get(rates.size() / 2)));
        return 0;
    }

    private static int hop(HopOptions o) throws FileFault, IOException, InterruptedException {
        if (o.rounds < 1 || o.rounds > 100 || !(o.seconds > 0 && o.seconds <= 600)) {
            return usage("--rounds must be within 1 to 100, --seconds above 0 and at most 600");
        }
        Deployment deployment = Deployment.read();
        Experiment e = ExperimentFile.parse("hop", plainLoad("call"), Path.of("."), Policies.names());
        HopCost cost = new HopCost(deployment.home(), Path.of(o.out), e, o.seconds, o.rounds, System.out::println);
        cost.measure("as deployed", deployment.run());
        if (o.compiler) {
            cost.measure("all compiler levels", deployment.run().replace(" -XX:TieredStopAtLevel=1", ""));
        }
        return 0;
    }

    private static int bench(BenchOptions o) throws IOException {
        OptionsBuilder options = new OptionsBuilder();
        options.include(o.include)
                .forks(1)
                .warmupIterations(o.quick ? 1 : 3)
                .measurementIterations(o.quick ? 1 : 5)
                .warmupTime(TimeValue.seconds(1))
                .measurementTime(TimeValue.seconds(o.quick ? 1 : 2))
                .addProfiler("gc");
        if (o.stacks) {
            options.addProfiler("stack", "lines=3;top=12");
        }
        try {
            new Runner(options.build()).run();
            return 0;
        } catch (RunnerException e) {
            throw new IOException(e);
        }
    }

    private static int stand(List<String> dials) throws InterruptedException {
        System.out.println(String.join(" ", dials));
        Thread.currentThread().join();
        return 0;
    }

    /** An address of loopback that is written as one; names are not looked up. */
    private static InetSocketAddress target(String option, String text) throws IOException {
        Matcher m = ADDRESS.matcher(text);
        if (m.matches() && Integer.parseInt(m.group(2)) <= 65_535) {
            InetAddress host = InetAddress.getByName(m.group(1));
            if (host.isLoopbackAddress()) {
                return new InetSocketAddress(host, Integer.parseInt(m.group(2)));
            }
        }
        throw new ParameterException(option + ": '" + text + "' is not an address and port of loopback");
    }

    private static int theory(Check o) {
        System.out.printf(
                Locale.ROOT, "%-22s %5s %12s %12s %8s%n", "queue", "load", "expected ms", "measured ms", "error");
        Distribution work = Distribution.exponential(10);
        Distribution uneven = new Distribution(Distribution.Shape.LOGNORMAL, 10, 1.5);
        boolean all = true;
        for (double load : new double[] {0.5, 0.8, 0.95}) {
            for (Theory.Row r : List.of(
                    Theory.wait("M/M/1", 1, work, load, o.requests, o.seed),
                    Theory.wait("M/M/8", 8, work, load, o.requests, o.seed),
                    Theory.wait("M/G/1 lognormal cv 1.5", 1, uneven, load, o.requests, o.seed),
                    Theory.wait("M/D/1", 1, Distribution.fixed(10), load, o.requests, o.seed))) {
                System.out.printf(
                        Locale.ROOT,
                        "%-22s %5.2f %12.4f %12.4f %+7.2f%%%n",
                        r.name(),
                        r.load(),
                        r.expectedMs(),
                        r.measuredMs(),
                        100 * r.relativeError());
                all &= Math.abs(r.relativeError()) <= 0.03;
            }
        }
        Theory.Tail tail = Theory.twoChoices(1000, 0.9, o.requests, o.seed);
        System.out.println("two choices, 1000 servers, load 0.9: part of servers with so many requests at least");
        for (int i = 0; i <= 6; i++) {
            System.out.printf(Locale.ROOT, "%22d %5s %12.6f %12.6f%n", i, "", tail.expected()[i], tail.measured()[i]);
        }
        System.out.println(all ? "all waits within 3%" : "some waits beyond 3%");
        return all ? 0 : BROKEN;
    }

    private static int usage(String why) {
        System.err.println("brackenbridge: " + why.replaceAll("\\s+", " "));
        return USAGE;
    }

    private static int sim(Sim o) throws FileFault, IOException {
        Experiment e = ExperimentFile.read(Path.of(o.file), Policies.names());
        if (o.seed != null) {
            e = e.withSeed(o.seed);
        }
        if (o.policy != null) {
            if (!Policies.names().contains(o.policy)) {
                return usage("no policy '" + o.policy + "'; known are " + String.join(", ", Policies.names()));
            }
            e = e.withPolicies(List.of(o.policy));
        }
        Path out = Path.of(o.out);
        long began = System.nanoTime();
        SimRunner.Summary s = SimRunner.play(e, out, o.threads, System.console() != null);
        Files.writeString(out.resolve("experiment.toml"), Files.readString(Path.of(o.file)));
        double took = (System.nanoTime() - began) / 1e9;
        System.out.print(Tables.outcomes(out));
        System.out.println("report: " + HtmlReport.write(out));
        System.out.printf(
                Locale.ROOT, "%d runs, %d requests, %d events in %.1f s%n", s.runs(), s.requests(), s.events(), took);
        return rules(s.broken(), s.breaches());
    }

    private static int rules(long broken, List<RuleChecker.Breach> breaches) {
        if (broken == 0) {
            System.out.println("rules: none broken");
            return 0;
        }
        System.out.println("rules: broken " + broken + " times; the first:");
        System.out.println(breaches.get(0).text());
        return BROKEN;
    }
}
