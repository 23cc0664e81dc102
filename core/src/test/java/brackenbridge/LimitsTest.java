package brackenbridge;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The module's size, read off the files that the deploy file names. */
class LimitsTest {
    /** The repository; tests run in the folder of their module. */
    private static final Path ROOT = Path.of("..");

    @Test
    void moduleStaysSmall() throws IOException {
        Matcher policy = Pattern.compile("(?m)^policy\\s*=\\s*\\[(.*)]")
                .matcher(Files.readString(ROOT.resolve("deploy/balancer.toml")));
        assertTrue(policy.find());
        Matcher file = Pattern.compile("\"([^\"]+)\"").matcher(policy.group(1));
        long lines = 0;
        int files = 0;
        while (file.find()) {
            files++;
            List<String> text = Files.readAllLines(ROOT.resolve(file.group(1)));
            lines += text.stream().filter(l -> !l.isBlank()).count();
            text.forEach(l -> assertTrue(l.length() <= 110, l));
            assertTrue(String.join("\n", text.subList(0, 60)).contains("BalancerApi.java"));
        }
        assertTrue(files == 1 && lines > 100 && lines <= 870, lines + " lines in " + files);
    }
}
