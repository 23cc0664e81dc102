package brackenbridge.lab.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.lab.policy.Policies;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ExperimentFileTest {
    private static final String RIGHT = """
            name = "x"
            length = "10s"
            [[tier]]
            name = "front"
            servers = 4
            work_mean = "10ms"
            [load]
            of_capacity = 0.5
            """;

    private static Experiment parse(String text) throws FileFault {
        return ExperimentFile.parse("x.toml", text, Path.of("."), Policies.names());
    }

    @Test
    void whatIsSaidIsRead() throws FileFault {
        Experiment e = parse(RIGHT + "[compare]\nservers = [10, 100]\nservers_per_node = 5\nseeds = [3, 4]\n");
        assertEquals(200.0, e.world().ratePerSecond(), 1e-9);
        assertEquals(4, e.runs().size());
        assertEquals(20, e.runs().get(2).world().nodes(0));
        assertEquals(10_000.0, e.runs().get(3).world().ratePerSecond() * 2, 1e-6);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            servers = 4             | servers = -1            | x.toml:5:1: tier[0].servers: -1 is not within 0 to
            servers = 4             | servrs = 4              | servers: is missing
            work_mean = "10ms"      | work_mean = "10 weeks"  | x.toml:6:1: tier[0].work_mean: '10 weeks' is not a time
            of_capacity = 0.5       | of_capacity = "half"    | x.toml:8:1: load.of_capacity: is not a number
            of_capacity = 0.5       | per_secnd = 0.5         | load: give one of of_capacity and per_second
            length = "10s"          | length = 10s            | x.toml:2:
            length = "10s"          | lenght = "10s"          | length: is missing
            [load]                  | [[load]]                | load: is not a table
            name = "front"          | nmae = "front"          | tier[0].nmae: is unknown (did you mean 'name'?)
            name = "front"          | work = "gamma"          | tier[0].work: 'gamma' is unknown; known are fixed
            """)
    void aWrongFileIsOneLineWithItsPlaceAndReason(String right, String wrong, String reason) {
        FileFault f = assertThrows(FileFault.class, () -> parse(RIGHT.replace(right, wrong)));
        assertTrue(f.getMessage().contains(reason), f.getMessage());
        assertTrue(f.getMessage().matches("x\\.toml:[0-9]+:[0-9]+: [^\\n]+"), f.getMessage());
    }

    @Test
    void troublesAndComparisonsAreChecked() {
        assertTrue(assertThrows(FileFault.class, () -> parse(RIGHT + "[[trouble]]\nkind = \"hnag\"\nat = 1"))
                .getMessage()
                .contains("did you mean 'hang'?"));
        assertTrue(assertThrows(FileFault.class, () -> parse(RIGHT + "[[trouble]]\nkind = \"class_fails\"\nat = 1"))
                .getMessage()
                .contains("which class fails"));
        assertTrue(assertThrows(FileFault.class, () -> parse(RIGHT + "[compare]\npolicies = [\"best\"]"))
                .getMessage()
                .contains("'best' is unknown"));
        assertTrue(assertThrows(FileFault.class, () -> ExperimentFile.read(Path.of("absent.toml"), Policies.names()))
                .getMessage()
                .contains("no such file"));
    }

    @Test
    void theReadyExperimentsAreRight() throws IOException, FileFault {
        List<Path> files;
        try (Stream<Path> all = Files.list(Path.of("experiments"))) {
            files = all.filter(f -> f.toString().endsWith(".toml")).sorted().toList();
        }
        assertTrue(files.size() >= 20, files.size() + " files");
        for (Path f : files) {
            Experiment e = ExperimentFile.read(f, Policies.names());
            assertEquals(f.getFileName().toString(), e.name() + ".toml");
        }
    }
}
