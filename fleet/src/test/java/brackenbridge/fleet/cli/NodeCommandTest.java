package brackenbridge.fleet.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A real process that is started with an invalid fleet file prints one line on standard error and exits with 2. */
class NodeCommandTest {
    @TempDir
    private Path directory;

    @ParameterizedTest
    @ValueSource(strings = {"directory", "missing", "long", "cut", "twice", "two faults", "binary", "deep", "number"})
    void invalidFleetFileGivesOneLineAndExitCodeTwo(String fault) throws Exception {
        String member = "[[member]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n";
        Path file = directory.resolve("fleet.toml");
        switch (fault) {
            case "directory" -> Files.createDirectory(file);
            case "missing" -> assertTrue(Files.notExists(file));
            case "binary" -> Files.write(file, new byte[] {'f', (byte) 0xff, (byte) 0xfe});
            default ->
                Files.writeString(
                        file,
                        Map.of(
                                        "long", "#".repeat(5 << 20),
                                        "cut", "fleet = \"f\"\n" + member + "zone = \"",
                                        "twice", "fleet = \"f\"\nfleet = \"g\"\n" + member,
                                        "two faults", "fleet = \"a b\"\n" + member + "colour = 3\n",
                                        "deep", "fleet = " + "[".repeat(1_000_000),
                                        "number", "fleet = 3\n" + member)
                                .get(fault));
        }
        Path errors = directory.resolve("errors");
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "brackenbridge.cli.Main",
                        "node",
                        "--fleet",
                        file.toString())
                .redirectError(errors.toFile())
                .redirectOutput(directory.resolve("output").toFile())
                .start();
        try {
            assertTrue(process.waitFor(60, TimeUnit.SECONDS), "the process exits");
        } finally {
            process.destroyForcibly();
        }
        assertOneLineNamingFile(Files.readString(errors, StandardCharsets.UTF_8), file);
        assertEquals(2, process.exitValue());
    }

    private static void assertOneLineNamingFile(String output, Path file) throws IOException {
        assertTrue(output.indexOf('\n') == output.length() - 1 && output.length() < 1000, output);
        assertTrue(output.startsWith(file + ":"), output);
    }
}
