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

/** Invalid files and invalid values are rejected with a message of one line that names the fault. */
class ConfigFileTest {
    @TempDir
    private Path directory;

    private Path write(String text) throws IOException {
        return Files.writeString(directory.resolve("config.json"), text);
    }

    private static String rejectionMessage(Path file) {
        return assertTimeoutPreemptively(Duration.ofSeconds(20), () -> {
            String message = assertThrows(IllegalArgumentException.class, () -> Config.read(file))
                    .getMessage();
            assertFalse(message.contains("\n"), message);
            return message;
        });
    }

    @Test
    void validFileIsRead() throws IOException {
        assertEquals("n3", Config.read(write(ConfigTest.TEXT)).name());
    }

    @Test
    void missingBinaryAndDirectoryFilesAreRejected() throws IOException {
        assertTrue(rejectionMessage(directory.resolve("none")).contains("no such file"));
        assertTrue(rejectionMessage(directory).contains("not a file"));
        Path binary = Files.write(directory.resolve("binary"), new byte[] {'{', (byte) 0xff, (byte) 0xfe, '}'});
        assertTrue(rejectionMessage(binary).contains("not text"));
    }

    @Test
    void pipeIsRejectedWithoutBlocking() throws Exception {
        Path pipe = directory.resolve("pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        assertTrue(rejectionMessage(pipe).contains("not a file"));
    }

    @Test
    void hugeFileIsRejectedUnread() throws IOException {
        Path huge = directory.resolve("huge");
        // A sparse file of 3 GiB, which takes no disk space and does not fit into an array.
        try (RandomAccessFile file = new RandomAccessFile(huge.toFile(), "rw")) {
            file.setLength(3L << 30);
        }
        assertTrue(rejectionMessage(huge).contains("over"), "the message names the limit");
    }

    @Test
    void fileWithTooManyValuesIsRejected() throws IOException {
        // Each value takes three bytes in the file and about a hundred in memory; the heap has 96 MB.
        String many = "{},".repeat(1_000_000);
        assertTrue(
                rejectionMessage(write(ConfigTest.TEXT.replace("\"hosts\":[", "\"more\":[" + many + "{}],\"hosts\":[")))
                        .contains("values"));
        assertTrue(rejectionMessage(write("[".repeat(500_000))).length() < 300);
    }

    @Test
    void listOfThousandsOfServersIsAccepted() throws IOException {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < 10_000; i++) {
            hosts.append(i == 0 ? "" : ",")
                    .append("{\"host\":\"s-")
                    .append(i)
                    .append("\",\"dial\":\"127.0.0.1:9\","
                            + "\"site\":\"a\",\"class\":\"m2\",\"block\":3,"
                            + "\"health\":\"active\",\"share\":1.0,\"born_ms\":0}");
        }
        Config config = Config.read(write(ConfigTest.TEXT.replace("\"hosts\":[", "\"hosts\":[" + hosts)));
        assertEquals(10_000, config.configuredEndpoints().endpoints().size());
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
    void invalidValueIsRejectedAndItsKeyNamed(String key, String before, String value) throws IOException {
        String text = ConfigTest.TEXT.replace("\"" + key + "\":" + before, "\"" + key + "\":" + value);
        assertNotEquals(ConfigTest.TEXT, text);
        String message = rejectionMessage(write(text));
        assertTrue(message.contains(key), message);
    }

    @Test
    void duplicateKeysAreRejected() throws IOException {
        String twice = ConfigTest.TEXT.replace("\"maxAttempts\":5", "\"maxAttempts\":5,\"maxAttempts\":1");
        assertTrue(rejectionMessage(write(twice)).contains("maxAttempts"));
        String dotted = ConfigTest.TEXT.replace("\"tier\":1", "\"tier\":1,\"policyLimits.maxAttempts\":1");
        assertTrue(rejectionMessage(write(dotted)).contains("policyLimits.maxAttempts"));
        String count = ConfigTest.TEXT.replace("\"tier\":1", "\"tier\":1,\"classes.count\":1");
        assertTrue(rejectionMessage(write(count)).contains("classes.count"));
    }

    @Test
    void malformedEntryOfTheEndpointListIsRejected() throws IOException {
        for (String entry : new String[] {
            "{\"host\":\"a\",\"dial\":\"127.0.0.1:70000\",\"health\":\"active\"}",
            "7",
            "{\"dial\":\"127.0.0.1:7\",\"health\":\"active\"}"
        }) {
            String message =
                    rejectionMessage(write(ConfigTest.TEXT.replace("\"hosts\":[]", "\"hosts\":[" + entry + "]")));
            assertTrue(message.contains("known"), message);
        }
    }
}
