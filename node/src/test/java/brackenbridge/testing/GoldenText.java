package brackenbridge.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Texts that go out as files under {@code src/test/resources/golden}. With the system property {@value #WRITE_PROPERTY}
 * the files are written first; see the README beside them.
 */
public final class GoldenText {
    /** Set to the directory of the golden files, their content is replaced by what goes out now. */
    public static final String WRITE_PROPERTY = "golden.write";

    private GoldenText() {}

    /** What goes out is what the golden file has. */
    public static void check(String name, String actual) throws IOException {
        String directory = System.getProperty(WRITE_PROPERTY);
        if (directory != null) {
            Files.writeString(Path.of(directory, name), actual);
        }
        assertEquals(read(name), actual, name);
    }

    /** A golden file's content. */
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
