package brackenbridge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.config.ConfigTest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A real process that can't start prints one line on standard error that names the fault, and exits with 2. */
class StartTest {
    @TempDir
    private Path directory;

    private void assertRejected(Path file, String expected) throws Exception {
        Path errors = directory.resolve("errors");
        ProcessBuilder builder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx96m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "brackenbridge.cli.Main",
                        "serve")
                .redirectError(errors.toFile())
                .redirectOutput(directory.resolve("output").toFile());
        builder.environment().put("PROXY_CONFIG", file.toString());
        builder.environment().remove("PROXY_MGMT");
        builder.environment().put("TMPDIR", directory.toString());
        Process process = builder.start();
        try {
            assertTrue(process.waitFor(60, TimeUnit.SECONDS), "the process exits");
        } finally {
            process.destroyForcibly();
        }
        String output = Files.readString(errors, StandardCharsets.UTF_8);
        assertEquals(2, process.exitValue(), output);
        assertTrue(output.startsWith("brackenbridge: ") && output.indexOf('\n') == output.length() - 1, output);
        assertTrue(output.contains(expected) && output.length() < 500, output);
        assertEquals("", Files.readString(directory.resolve("output")));
    }

    private Path write(String text) throws IOException {
        return Files.writeString(directory.resolve("config.json"), text);
    }

    private static String replaceInConfig(String before, String after) {
        assertTrue(ConfigTest.TEXT.contains(before));
        return ConfigTest.TEXT.replace(before, after);
    }

    @Test
    void directoryAsFileIsRejected() throws Exception {
        assertRejected(directory, "not a file");
    }

    @ParameterizedTest
    @ValueSource(strings = {"long", "cut", "twice", "number", "absurd", "no address", "name for an address", "known"})
    void invalidFileIsRejected(String fault) throws Exception {
        String[] textAndName = Map.of(
                        "long", new String[] {" ".repeat(5 << 20), "over"},
                        "cut", new String[] {ConfigTest.TEXT.substring(0, 300), "not JSON"},
                        "twice", new String[] {replaceInConfig("\"tier\":1", "\"tier\":1,\"tier\":2"), "tier"},
                        "number", new String[] {replaceInConfig("\"name\":\"n3\"", "\"name\":3"), "name"},
                        "absurd",
                                new String[] {
                                    replaceInConfig("\"maxAttempts\":5", "\"maxAttempts\":9e99"), "maxAttempts"
                                },
                        "no address",
                                new String[] {
                                    replaceInConfig("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1\""), "listen"
                                },
                        "name for an address",
                                new String[] {replaceInConfig("127.0.0.1:1\"", "nowhere:1\""), "discovery"},
                        "known",
                                new String[] {replaceInConfig("\"hosts\":[]", "\"hosts\":[{\"host\":\"a\"}]"), "known"})
                .get(fault);
        assertRejected(write(textAndName[0]), textAndName[1]);
    }

    @ParameterizedTest
    @ValueSource(strings = {"listen", "mgmt"})
    void addressInUseIsRejectedAndNamed(String key) throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            String address = "127.0.0.1:" + taken.getLocalPort();
            assertRejected(
                    write(
                            key.equals("listen")
                                    ? replaceInConfig("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"" + address + "\"")
                                    : replaceInConfig("\"listen\":", "\"mgmt\":\"" + address + "\",\"listen\":")),
                    key.equals("mgmt") ? "mgmt " + address : address);
        }
    }
}
