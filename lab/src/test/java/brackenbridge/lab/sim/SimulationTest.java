package brackenbridge.lab.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.lab.experiment.Results;
import brackenbridge.lab.experiment.SimRunner;
import brackenbridge.lab.policy.Policies;
import brackenbridge.lab.rules.RuleChecker;
import brackenbridge.lab.stats.Scoreboard.End;
import brackenbridge.lab.world.Experiment;
import brackenbridge.lab.world.ExperimentFile;
import brackenbridge.lab.world.FileFault;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SimulationTest {
    private static final String WORLD = """
            name = "small"
            length = "12s"
            [[class]]
            name = "view"
            aim = "1s"
            deadline = "3s"
            [[class]]
            name = "sign"
            aim = "1s"
            deadline = "3s"
            unsafe = true
            worth = 5
            [[tier]]
            name = "front"
            servers = 6
            nodes = 2
            cores = 2
            slots = 12
            room = 4
            cold_from = 0.4
            cold = "3s"
            fall = "2s"
            work_mean = "20ms"
            calls_most = 2
            calls_least = 1
            [[tier]]
            name = "core"
            servers = 3
            cores = 4
            work_mean = "10ms"
            [load]
            of_capacity = 0.4
            """;

    private static Experiment experiment(String more) throws FileFault {
        return ExperimentFile.parse("test.toml", WORLD + more, Path.of("."), Policies.names());
    }

    private static Simulation.Result play(String more, String policy) throws FileFault {
        Experiment.Run run = experiment(more).runs().get(0);
        return new Simulation(run.world(), run.seed(), Policies.of(policy)).run();
    }

    private static String trouble(String kind, String more) {
        return "[[trouble]]\nkind = \"" + kind + "\"\nat = \"3s\"\nfor = \"5s\"\n" + more + "\n";
    }

    private static void rulesHold(Simulation.Result r) {
        assertEquals(0, r.ledger().broken(), () -> r.ledger().breaches().get(0).text());
        assertTrue(
                r.ledger().checked() > 2000, "requests checked: " + r.ledger().checked());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "module",
                "random",
                "round_robin",
                "least_of_two",
                "least_connections",
                "peak_ewma",
                "prequal",
                "oracle"
            })
    void calmDaysServeNearlyAllUnderEveryPolicy(String policy) throws FileFault {
        Simulation.Result r = play("", policy);
        rulesHold(r);
        assertTrue(
                r.board().servedPart() > 0.97, policy + " served " + r.board().servedPart());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "slow",
                "hang",
                "neighbour",
                "drain",
                "leave",
                "crash",
                "replace",
                "cut_off",
                "reset",
                "stale",
                "spoilt",
                "discovery_late",
                "discovery_silent",
                "discovery_moved",
                "discovery_overloaded",
                "node_killed",
                "node_restarted",
                "burst"
            })
    void theRulesHoldInEachTrouble(String kind) throws FileFault {
        Simulation.Result r = play(trouble(kind, ""), "module");
        rulesHold(r);
        assertTrue(r.board().servedPart() > 0.6, kind + " served " + r.board().servedPart());
    }

    @ParameterizedTest
    @ValueSource(strings = {"drain", "leave", "replace", "crash"})
    void theRulesHoldWhereAgentsFallSilentWhileServersGo(String kind) throws FileFault {
        Simulation.Result r = play(
                "[discovery]\npushed = true\n" + trouble("discovery_silent", "")
                        + trouble(kind, "count = 2\nevery = \"500ms\""),
                "module");
        rulesHold(r);
        assertTrue(r.board().servedPart() > 0.8, kind + " served " + r.board().servedPart());
    }

    @Test
    void aTryIsGivenUpBeforeTheDeadlineWhereClientsAreInAHurry() throws FileFault {
        String load = trouble("slow", "count = 6\namount = 40") + "[clients]\nretries = 0\n";
        double patient = play(load, "random").board().latency().getMaxValue() / 1000.0;
        double hurried = play(load + "try_least = 0.4\ntry_most = 0.5\n", "random")
                        .board()
                        .latency()
                        .getMaxValue()
                / 1000.0;
        assertTrue(patient > 2000, "the longest took " + patient + " ms");
        assertTrue(hurried < 1600, "the longest took " + hurried + " ms");
    }

    @Test
    void theModuleStaysInItsZoneWhileThatHasServersAndRoom() throws FileFault {
        String zones = "[net]\nzones = 2\ncross = \"4ms\"\ncross_price = 0.1\n";
        Experiment.Run run = ExperimentFile.parse(
                        "zones.toml",
                        WORLD.replace("servers = 6", "servers = 40")
                                        .replace("servers = 3", "servers = 20")
                                        .replace("0.4\n", "0.2\n")
                                + zones,
                        Path.of("."),
                        Policies.names())
                .runs()
                .get(0);
        Simulation.Result module = new Simulation(run.world(), 1, Policies.of("module")).run();
        Simulation.Result random = new Simulation(run.world(), 1, Policies.of("random")).run();
        rulesHold(module);
        assertTrue(
                random.board().crossedPerFirst() > 1,
                "random crosses " + random.board().crossedPerFirst());
        assertTrue(
                module.board().crossedPerFirst() < random.board().crossedPerFirst() / 2,
                "the module crosses " + module.board().crossedPerFirst());
        assertTrue(module.board().pricedPart() > random.board().pricedPart() + 0.05, "crossings are priced");
    }

    @Test
    void quotasAreAPartOfCapacityAndWhatIsBeyondThemEarnsLittle() throws FileFault {
        String tenants = "[[tenant]]\nname = \"one\"\nshare = 1\n[limits]\nquota_of_capacity = ";
        double whole = play(tenants + "1\n", "module")
                .board()
                .json()
                .get("all")
                .asObject()
                .getDouble("worth", 0);
        double half = play(tenants + "0.2\n", "module")
                .board()
                .json()
                .get("all")
                .asObject()
                .getDouble("worth", 0);
        // 0.4 of capacity is asked for: with 0.2 owed, half of it keeps its worth, with a twentieth of the rest and
        // what a quota that is saved for a second adds in 12 s.
        assertEquals(0.565, half / whole, 0.03);
    }

    @Test
    void aFailingClassIsLostWhereItFailsAndNotElsewhere() throws FileFault {
        Simulation.Result none = play("", "random");
        Simulation.Result r = play(trouble("class_fails", "class = \"sign\"\ncount = 3"), "random");
        rulesHold(r);
        assertTrue(
                r.board().count(End.FAILED) > none.board().count(End.FAILED) + 20,
                "failed " + r.board().count(End.FAILED));
    }

    @Test
    void aWorldWithoutServersRefusesAllAtOnce() throws FileFault {
        Simulation.Result r = play(trouble("leave", "count = 6").replace("3s", "0s"), "module");
        assertEquals(0, r.ledger().broken(), () -> r.ledger().breaches().get(0).text());
        Experiment none = ExperimentFile.parse(
                "none.toml",
                WORLD.replace("servers = 6", "servers = 0").replace("of_capacity = 0.4", "per_second = 50"),
                Path.of("."),
                Policies.names());
        Experiment.Run run = none.runs().get(0);
        Simulation.Result empty = new Simulation(run.world(), 1, Policies.of("module")).run();
        assertEquals(
                0,
                empty.ledger().broken(),
                () -> empty.ledger().breaches().get(0).text());
        assertEquals(0, empty.board().count(End.IN_AIM));
        assertEquals(0, empty.board().count(End.UNANSWERED));
        assertTrue(empty.board().count(End.REFUSED) > 300);
    }

    @ParameterizedTest
    @CsvSource({"class_fails, view", "class_fails, sign", "hang, view", "spoilt, view", "crash, view"})
    void retriesAcrossTwoTiersAreBoundedWhateverTheLowerTierDoes(String kind, String name) throws FileFault {
        String what = kind.equals("class_fails") ? "class = \"" + name + "\"\n" : "";
        String fault = trouble(kind, "tier = \"core\"\ncount = 3\n" + what).replace("5s", "10s");
        Experiment.Run run = ExperimentFile.parse(
                        "test.toml", WORLD.replace("\"12s\"", "\"25s\"") + fault, Path.of("."), Policies.names())
                .runs()
                .get(0);
        RuleChecker ledger = new Simulation(run.world(), run.seed(), Policies.of("module"))
                .run()
                .ledger();
        assertEquals(0, ledger.broken(), () -> ledger.breaches().get(0).text());
        // Of both tiers together: a request may be sent five times, a tenth more than once are in the budget.
        double each = ledger.attempts() / (double) ledger.checked();
        assertTrue(each < 1.1, "attempts a request: " + each);
    }

    @Test
    void whatArrivesIsTheSameWhateverDecides() throws FileFault {
        assertEquals(
                play("", "module").board().first(), play("", "random").board().first());
    }

    @Test
    void resultsAreEqualByteForByteWhateverTheThreads(@TempDir Path folder) throws FileFault, IOException {
        Experiment e = experiment(trouble("crash", "") + trouble("node_killed", "")
                + "[compare]\npolicies = [\"module\", \"peak_ewma\"]\nseeds = [1, 2]\nloads = [0.3, 1.2]\n");
        SimRunner.play(e, folder.resolve("one"), 1, false);
        SimRunner.play(e, folder.resolve("many"), 5, false);
        for (String file : List.of(Results.LINES, "latency.hlog")) {
            assertArrayEquals(
                    Files.readAllBytes(folder.resolve("one").resolve(file)),
                    Files.readAllBytes(folder.resolve("many").resolve(file)),
                    file);
        }
        assertEquals(8, Results.read(folder.resolve("one")).size());
        // What was cut off in the middle of a line is readable up to there.
        String whole = Files.readString(folder.resolve("one").resolve(Results.LINES));
        Files.writeString(folder.resolve("one").resolve(Results.LINES), whole.substring(0, whole.length() - 100));
        assertEquals(7, Results.read(folder.resolve("one")).size());
    }

    @Test
    void aBrokenRuleIsTold() {
        RuleChecker ledger = new RuleChecker(50, 500);
        RuleChecker.Entry e = ledger.taken(0, "r1", "sign", "n", true, 1000);
        RuleChecker.Attempt a = e.arrived(1, "s1", true);
        a.ended(5, "error");
        e.arrived(6, "s2", true);
        e.answered(7, RuleChecker.Answer.REFUSED);
        e.answered(8, RuleChecker.Answer.SERVED);
        assertEquals(2, ledger.broken(RuleChecker.Rule.DUPLICATE), "sent again, and refused");
        assertEquals(1, ledger.broken(RuleChecker.Rule.LOST), "a second answer");
        assertEquals(0, ledger.broken(RuleChecker.Rule.TWO_AT_ONCE));
        RuleChecker.Entry f = ledger.taken(0, "r2", "sign", "n", true, 1000);
        f.arrived(1, "s1", true).turnedAway(2);
        f.arrived(3, "s2", true);
        f.arrived(4, "s3", true);
        assertEquals(1, ledger.broken(RuleChecker.Rule.TWO_AT_ONCE));
        ledger.told(10, "n", "s9", false);
        ledger.sent(400, "n", "s9", f);
        assertEquals(0, ledger.broken(RuleChecker.Rule.DRAIN));
        ledger.sent(511, "n", "s9", f);
        assertEquals(1, ledger.broken(RuleChecker.Rule.DRAIN));
        f.close(2000);
        assertEquals(2, ledger.broken(RuleChecker.Rule.LOST));
        assertTrue(
                ledger.breaches().get(0).text().contains("s1: error"),
                ledger.breaches().get(0).text());
    }
}
