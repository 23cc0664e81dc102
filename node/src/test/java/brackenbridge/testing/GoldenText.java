package brackenbridge.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Compares output with the golden files in {@code src/test/resources/golden}. With the system property
 * {@value #WRITE_PROPERTY} the files are written first; see the README in that directory.
 */
public final class GoldenText {
    /** If set to the directory of the golden files, the files are replaced by the present output. */
    public static final String WRITE_PROPERTY = "golden.write";

    private GoldenText() {}

    /** Asserts that the output equals the golden file. */
    public static void check(String name, String actual) throws IOException {
        String directory = System.getProperty(WRITE_PROPERTY);
        if (directory != null) {
            Files.writeString(Path.of(directory, name), actual);
        }
        assertEquals(read(name), actual, name);
    }

    /** Returns the content of a golden file. */
    public static String read(String name) throws IOException {
        String directory = System.getProperty(WRITE_PROPERTY);
        if (directory != null) {
            return Files.readString(Path.of(directory, name));
        }
        try (InputStream in = GoldenText.class.getResourceAsStream("/golden/" + name)) {
            assertNotNull(in, "no golden file " + name);
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
