package brackenbridge.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Files that are no configuration, and values in one that can't hold: one line that names what is wrong. */
class ConfigFileTest {
    @TempDir
    private Path directory;

    private Path write(String text) throws IOException {
        return Files.writeString(directory.resolve("config.json"), text);
    }

    private static String turnedDown(Path file) {
        return assertTimeoutPreemptively(Duration.ofSeconds(20), () -> {
            String why = assertThrows(IllegalArgumentException.class, () -> Config.read(file))
                    .getMessage();
            assertFalse(why.contains("\n"), why);
            return why;
        });
    }

    @Test
    void usualFileIsRead() throws IOException {
        assertEquals("n3", Config.read(write(ConfigTest.TEXT)).name());
    }

    @Test
    void fileThatIsNoneIsTurnedDown() throws IOException {
        assertTrue(turnedDown(directory.resolve("none")).contains("no such file"));
        assertTrue(turnedDown(directory).contains("not a file"));
        Path binary = Files.write(directory.resolve("binary"), new byte[] {'{', (byte) 0xff, (byte) 0xfe, '}'});
        assertTrue(turnedDown(binary).contains("not text"));
    }

    @Test
    void pipeThatNobodyWritesToHoldsNothingUp() throws Exception {
        Path pipe = directory.resolve("pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        assertTrue(turnedDown(pipe).contains("not a file"));
    }

    @Test
    void hugeFileIsTurnedDownUnread() throws IOException {
        Path huge = directory.resolve("huge");
        // Holes take no room: three gigabytes could not be read into any array.
        try (RandomAccessFile f = new RandomAccessFile(huge.toFile(), "rw")) {
            f.setLength(3L << 30);
        }
        assertTrue(turnedDown(huge).contains("over"), "the limit is named");
    }

    @Test
    void fileOfVeryManyValuesIsTurnedDown() throws IOException {
        // Three bytes each in the file, some hundred in memory: the heap holds 96 MB.
        String many = "{},".repeat(1_000_000);
        assertTrue(turnedDown(write(ConfigTest.TEXT.replace("\"hosts\":[", "\"more\":[" + many + "{}],\"hosts\":[")))
                .contains("values"));
        assertTrue(turnedDown(write("[".repeat(500_000))).length() < 300);
    }

    @Test
    void fleetOfThousandsOfServersFits() throws IOException {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < 10_000; i++) {
            hosts.append(i == 0 ? "" : ",")
                    .append("{\"host\":\"s-")
                    .append(i)
                    .append("\",\"dial\":\"127.0.0.1:9\","
                            + "\"site\":\"a\",\"class\":\"m2\",\"block\":3,"
                            + "\"health\":\"active\",\"share\":1.0,\"born_ms\":0}");
        }
        Config c = Config.read(write(ConfigTest.TEXT.replace("\"hosts\":[", "\"hosts\":[" + hosts)));
        assertEquals(10_000, c.configuredEndpoints().endpoints().size());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "me; 0; 4294967296",
                "replicasOfMe; 1; 4294967297",
                "tier; 1; 4294967297",
                "maxAttempts; 5; 4294967301",
                "maxAttempts; 5; 1e999",
                "sockets; 1024; 1e10",
                "sockets; 1024; 9999999999",
                "sockets; 1024; true",
                "sockets; 1024; 3",
                "seq; 41; 1e300",
                "seq; 41; 41.5",
                "seq; 41; -9",
                "seq; 41; \"41\"",
                "worth; 2.0; 1e999",
                "connectTimeout; 120000; 99999999999999",
                "connectTimeout; 120000; 0",
                "idleClose; 30000000; -1",
                "drainGrace; 500000; -1",
                "maxRetryAfter; 3000000; -1",
                "name; \"n3\"; 3",
                "name; \"view\"; \"a b\"",
                "seed; \"fc1f30d27a5be964\"; \"xyz\"",
                "seed; \"fc1f30d27a5be964\"; 7",
                "listen; \"127.0.0.1:0\"; \"127.0.0.1:65536\"",
                "listen; \"127.0.0.1:0\"; 5",
            })
    void valueThatCanNotHoldIsTurnedDownByKey(String key, String before, String value) throws IOException {
        String text = ConfigTest.TEXT.replace("\"" + key + "\":" + before, "\"" + key + "\":" + value);
        assertNotEquals(ConfigTest.TEXT, text);
        String why = turnedDown(write(text));
        assertTrue(why.contains(key), why);
    }

    @Test
    void twoReadingsOfOneFileAreTurnedDown() throws IOException {
        String twice = ConfigTest.TEXT.replace("\"maxAttempts\":5", "\"maxAttempts\":5,\"maxAttempts\":1");
        assertTrue(turnedDown(write(twice)).contains("maxAttempts"));
        String dotted = ConfigTest.TEXT.replace("\"tier\":1", "\"tier\":1,\"policyLimits.maxAttempts\":1");
        assertTrue(turnedDown(write(dotted)).contains("policyLimits.maxAttempts"));
        String count = ConfigTest.TEXT.replace("\"tier\":1", "\"tier\":1,\"classes.count\":1");
        assertTrue(turnedDown(write(count)).contains("classes.count"));
    }

    @Test
    void unreadableEntryOfTheKnownListIsTurnedDown() throws IOException {
        for (String entry : new String[] {
            "{\"host\":\"a\",\"dial\":\"127.0.0.1:70000\",\"health\":\"active\"}",
            "7",
            "{\"dial\":\"127.0.0.1:7\",\"health\":\"active\"}"
        }) {
            String why = turnedDown(write(ConfigTest.TEXT.replace("\"hosts\":[]", "\"hosts\":[" + entry + "]")));
            assertTrue(why.contains("known"), why);
        }
    }
}
