package brackenbridge.core.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Guards the list of the decision module's sources in the deploy file, and checks that the module can't do I/O. */
class DecisionModuleTest {
    /** The root of the repository; tests run in the directory of their module. */
    private static final Path ROOT = Path.of("..");

    private static final Pattern POLICY = Pattern.compile("(?m)^policy\\s*=\\s*\\[(.*)]");
    private static final Pattern NODE = Pattern.compile("(?m)^node\\s*=\\s*\\[(.*)]");
    private static final Pattern QUOTED = Pattern.compile("\"([^\"]+)\"");
    private static final Pattern IMPORT = Pattern.compile("(?m)^import (?:static )?([\\w.]+)");
    /** Access to files, sockets, threads, the system time or processes that needs no import. */
    private static final Pattern SYSTEM_ACCESS =
            Pattern.compile("\\b(System|Thread|Runtime|ProcessBuilder|java\\.(io|net|nio|time))\\b");

    @Test
    void deployFileListsTheModulesSources() throws IOException {
        List<Path> sources = policySources();

        assertFalse(sources.isEmpty());
        assertTrue(sources.stream().anyMatch(source -> source.endsWith("Balancer.java")));
        for (Path source : sources) {
            assertTrue(Files.size(source) > 0, () -> source + " is empty");
        }
    }

    @Test
    void moduleImportsOnlyOwnTypesAndCollections() throws IOException {
        for (Path source : policySources()) {
            String text = Files.readString(source);
            Matcher imported = IMPORT.matcher(text);
            while (imported.find()) {
                String name = imported.group(1);
                assertTrue(
                        name.startsWith("java.util.") || name.startsWith("brackenbridge."),
                        () -> source + " imports " + name);
                assertFalse(name.startsWith("java.util.concurrent"), () -> source + " imports " + name);
            }
            Matcher access = SYSTEM_ACCESS.matcher(withoutComments(text));
            assertFalse(access.find(), () -> source + " uses " + access.group());
        }
    }

    @Test
    void balancerSourceNamesItsInterface() throws IOException {
        for (Path source : policySources()) {
            if (source.endsWith("Balancer.java")) {
                String head = Files.readString(source).lines().limit(60).reduce("", (a, b) -> a + "\n" + b);
                assertTrue(head.contains("BalancerApi"), () -> source + " does not name its interface");
            }
        }
    }

    @Test
    void everyCoreSourceIsListedOnceAsPolicyOrNode() throws IOException {
        List<Path> listed = new ArrayList<>(policySources());
        listed.addAll(sourcesListedUnder(NODE));
        Path core = ROOT.resolve("core/src/main/java/brackenbridge");
        try (var files = Files.walk(core)) {
            List<Path> present = files.filter(path -> path.toString().endsWith(".java"))
                    .filter(path -> !path.endsWith("package-info.java"))
                    .toList();
            for (Path source : present) {
                assertEquals(
                        1,
                        Collections.frequency(listed, source),
                        () -> "occurrences of " + source + " in the deploy file");
            }
        }
        for (Path source : listed) {
            assertTrue(Files.isRegularFile(source), () -> source + " does not exist");
        }
    }

    private static List<Path> policySources() throws IOException {
        return sourcesListedUnder(POLICY);
    }

    private static List<Path> sourcesListedUnder(Pattern key) throws IOException {
        Matcher list = key.matcher(Files.readString(ROOT.resolve("deploy/balancer.toml")));
        assertTrue(list.find());
        List<Path> sources = new ArrayList<>();
        Matcher entry = QUOTED.matcher(list.group(1));
        while (entry.find()) {
            Path named = ROOT.resolve(entry.group(1));
            if (Files.isDirectory(named)) {
                try (var files = Files.walk(named)) {
                    files.filter(path -> path.toString().endsWith(".java")).forEach(sources::add);
                }
            } else {
                sources.add(named);
            }
        }
        assertEquals(sources.size(), sources.stream().distinct().count());
        return sources;
    }

    private static String withoutComments(String source) {
        return source.replaceAll("(?s)/\\*.*?\\*/", "").replaceAll("(?m)//.*$", "");
    }
}
