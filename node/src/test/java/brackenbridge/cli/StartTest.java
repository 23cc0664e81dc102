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

/** Starts of a real process that can't be: one line on standard error that names the fault, and exit code 2. */
class StartTest {
    @TempDir
    private Path directory;

    private void refused(Path file, String named) throws Exception {
        Path errors = directory.resolve("errors");
        ProcessBuilder b = new ProcessBuilder(
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
        b.environment().put("PROXY_CONFIG", file.toString());
        b.environment().remove("PROXY_MGMT");
        b.environment().put("TMPDIR", directory.toString());
        Process p = b.start();
        try {
            assertTrue(p.waitFor(60, TimeUnit.SECONDS), "it ends by itself");
        } finally {
            p.destroyForcibly();
        }
        String told = Files.readString(errors, StandardCharsets.UTF_8);
        assertEquals(2, p.exitValue(), told);
        assertTrue(told.startsWith("brackenbridge: ") && told.indexOf('\n') == told.length() - 1, told);
        assertTrue(told.contains(named) && told.length() < 500, told);
        assertEquals("", Files.readString(directory.resolve("output")));
    }

    private Path write(String text) throws IOException {
        return Files.writeString(directory.resolve("config.json"), text);
    }

    private static String with(String before, String after) {
        assertTrue(ConfigTest.TEXT.contains(before));
        return ConfigTest.TEXT.replace(before, after);
    }

    @Test
    void directoryAsFileIsRefused() throws Exception {
        refused(directory, "not a file");
    }

    @ParameterizedTest
    @ValueSource(strings = {"long", "cut", "twice", "number", "absurd", "no address", "name for an address", "known"})
    void badFileIsRefused(String what) throws Exception {
        String[] textAndName = Map.of(
                        "long", new String[] {" ".repeat(5 << 20), "over"},
                        "cut", new String[] {ConfigTest.TEXT.substring(0, 300), "not JSON"},
                        "twice", new String[] {with("\"tier\":1", "\"tier\":1,\"tier\":2"), "tier"},
                        "number", new String[] {with("\"name\":\"n3\"", "\"name\":3"), "name"},
                        "absurd", new String[] {with("\"maxAttempts\":5", "\"maxAttempts\":9e99"), "maxAttempts"},
                        "no address",
                                new String[] {with("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1\""), "listen"},
                        "name for an address", new String[] {with("127.0.0.1:1\"", "nowhere:1\""), "discovery"},
                        "known", new String[] {with("\"hosts\":[]", "\"hosts\":[{\"host\":\"a\"}]"), "known"})
                .get(what);
        refused(write(textAndName[0]), textAndName[1]);
    }

    @ParameterizedTest
    @ValueSource(strings = {"listen", "mgmt"})
    void takenAddressIsRefusedByName(String key) throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            String at = "127.0.0.1:" + taken.getLocalPort();
            refused(
                    write(
                            key.equals("listen")
                                    ? with("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"" + at + "\"")
                                    : with("\"listen\":", "\"mgmt\":\"" + at + "\",\"listen\":")),
                    key.equals("mgmt") ? "mgmt " + at : at);
        }
    }
}
