package brackenbridge.lab.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What {@code .ci/run} does with KNOWN-RED.txt, in a directory of its own with a stand-in for Maven. */
class KnownRedTestsTest {
    private static final String ALL_CLASSES = "-Dtest=Test*,*Test,*Tests,*TestCase";
    private static final long SCRIPT_TIMEOUT_S = 30;

    @TempDir
    private Path root;

    private record Run(int exitCode, List<String> output, List<String> mavenArguments) {}

    @BeforeEach
    void layOutTheTree() throws IOException {
        write(".ci/run", SourceTree.read(SourceTree.ROOT.resolve(".ci/run")));
        executable(write("bin/mvn", "#!/bin/sh\nprintf '%s\\n' \"$@\" >\"$(dirname \"$0\")/../arguments.txt\"\n"));
        String source = "class ATest {\n    @Test\n    void first() {}\n\n    @Property\n    boolean second(int a) {}\n"
                + "\n    private void helper() {}\n\n    @Test\n    void third() {}\n"
                + "\n    @Test\n    void fourth() {}\n}\n";
        write("core/src/test/java/brackenbridge/a/ATest.java", source);
        write("node/src/test/java/brackenbridge/b/BTest.java", source.replace("ATest", "BTest"));
        write("fleet/src/test/java/brackenbridge/c/BTest.java", source.replace("ATest", "BTest"));
        write("core/src/main/java/brackenbridge/a/Main.java", source.replace("ATest", "Main"));
    }

    @Test
    void withoutAListEveryTestRuns() throws Exception {
        Run run = run();
        assertEquals(0, run.exitCode());
        assertEquals(List.of("-B", "verify"), run.mavenArguments());
        assertEquals(List.of(), run.output());
    }

    @Test
    void listOfCommentsExcludesNothing() throws Exception {
        knownRed("# nothing is red\n\n");
        Run run = run();
        assertEquals(0, run.exitCode());
        assertEquals(List.of("-B", "verify"), run.mavenArguments());
    }

    @Test
    void listedTestsAreExcludedByNameAndPrinted() throws Exception {
        String first = "ATest#first | a cause with #1 in it | 12";
        String second = "brackenbridge.b.BTest#second|cause|13";
        knownRed("# three at most\n" + first + "\n" + second); // The last line has no end.
        Run run = run();
        assertEquals(0, run.exitCode());
        assertEquals(
                List.of("-B", "verify", ALL_CLASSES + ",!brackenbridge/a/ATest#first,!brackenbridge/b/BTest#second"),
                run.mavenArguments());
        assertEquals(List.of("known red, not run: " + first, "known red, not run: " + second), run.output());
    }

    @Test
    void threeLinesAreTakenAndAFourthFails() throws Exception {
        String three = "ATest#first | c | 1\nATest#second | c | 1\nATest#third | c | 1\n";
        knownRed(three);
        assertEquals(0, run().exitCode());
        Files.delete(root.resolve("arguments.txt"));
        knownRed(three + "ATest#fourth | c | 1\n");
        assertFails("more than 3 tests");
    }

    @Test
    void malformedLinesFail() throws Exception {
        List<String> malformed = List.of(
                "ATest#first",
                "ATest#first | cause",
                "ATest#first | cause | ",
                "ATest#first |  | 12",
                "ATest#first | cause | 12 | more",
                "ATest | cause | 12",
                "ATest.first | cause | 12",
                "ATest#* | cause | 12",
                "*Test#first | cause | 12",
                "ATest#first,ATest#second | cause | 12",
                " | cause | 12");
        for (String line : malformed) {
            knownRed(line + "\n");
            assertFails("not of the form");
        }
    }

    @Test
    void lineWhoseTestDoesNotExistFails() throws Exception {
        List<String> missing =
                List.of("ATest#fifth", "CTest#first", "brackenbridge.b.ATest#first", "ATest#helper", "Main#first");
        for (String test : missing) {
            knownRed(test + " | cause | 12\n");
            assertFails("no such test: " + test);
        }
    }

    @Test
    void nameOfTwoTestsFails() throws Exception {
        knownRed("BTest#first | cause | 12\n");
        assertFails("several tests have this name");
    }

    private void assertFails(String reason) throws Exception {
        Run run = run();
        assertEquals(1, run.exitCode(), reason);
        assertTrue(run.output().stream().anyMatch(line -> line.contains(reason)), run.output()::toString);
        assertFalse(Files.exists(root.resolve("arguments.txt")), "Maven ran");
    }

    private Run run() throws Exception {
        Path output = root.resolve("output.txt");
        ProcessBuilder builder = new ProcessBuilder("sh", ".ci/run")
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile());
        builder.environment().merge("PATH", root.resolve("bin").toString(), (path, first) -> first + ":" + path);
        Process process = builder.start();
        try {
            assertTrue(process.waitFor(SCRIPT_TIMEOUT_S, TimeUnit.SECONDS), "the script does not end");
        } finally {
            process.destroyForcibly();
        }
        Path arguments = root.resolve("arguments.txt");
        return new Run(
                process.exitValue(),
                Files.readAllLines(output),
                Files.exists(arguments) ? Files.readAllLines(arguments) : List.of());
    }

    private void knownRed(String text) throws IOException {
        write("KNOWN-RED.txt", text);
    }

    private Path write(String name, String text) throws IOException {
        Path file = root.resolve(name);
        Files.createDirectories(file.getParent());
        return Files.writeString(file, text);
    }

    private static void executable(Path file) {
        assertTrue(file.toFile().setExecutable(true));
    }
}
