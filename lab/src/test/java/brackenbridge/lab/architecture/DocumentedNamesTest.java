package brackenbridge.lab.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Pages name only types and members that exist, and the architecture page names every package. */
class DocumentedNamesTest {
    /** Records of past work: their names and lines are those of the commits that they speak of, and they say so. */
    private static final List<String> RECORDS = List.of("docs/measurements/history.md", "docs/release-review.md");

    private static final String RECORD_NOTE = "Names in it are those of the commits that it speaks of.";

    private static DocumentedNames names;

    @BeforeAll
    static void readTheSources() {
        names = new DocumentedNames(DeclaredTypes.read(SourceTree.javaFiles()));
    }

    @Test
    void eachTypeThatAPageNamesExists() {
        Map<String, List<String>> unknownByPage = new TreeMap<>();
        for (Path page : SourceTree.pages()) {
            String pageName = SourceTree.ROOT.relativize(page).toString();
            List<String> unknown = names.unknownNames(SourceTree.read(page));
            if (!RECORDS.contains(pageName) && !unknown.isEmpty()) {
                unknownByPage.put(pageName, unknown);
            }
        }
        assertTrue(
                unknownByPage.isEmpty(),
                () -> unknownByPage.entrySet().stream()
                        .map(entry -> entry.getKey() + ": " + String.join(", ", entry.getValue()))
                        .collect(Collectors.joining("\n", "names that nothing bears:\n", "\n")));
    }

    @Test
    void eachRecordSaysThatItsNamesAreOld() {
        for (String record : RECORDS) {
            assertTrue(SourceTree.read(SourceTree.ROOT.resolve(record)).contains(RECORD_NOTE), record);
        }
    }

    @Test
    void architecturePageNamesEveryPackage() {
        String page = SourceTree.read(SourceTree.ROOT.resolve("docs/ARCHITECTURE.md"));
        List<String> missing = SourceTree.javaFiles().stream()
                .filter(file -> file.endsWith("package-info.java"))
                .map(DocumentedNamesTest::shortPackageName)
                .filter(name -> !page.contains("`" + name + "`"))
                .toList();
        assertEquals(List.of(), missing);
    }

    @Test
    void unknownTypesMembersAndPackagesAreFound() {
        List<String> unknown = List.of(
                "Reducerr",
                "net.Reducer",
                "core.Reducerr",
                "Reducer.noSuchMethod",
                "Reducer#noSuchMethod",
                "RejectionReason.NoSuchType",
                "DocumentedNamesTest.noSuchTest...",
                "MissingTool 40 10",
                "String.noSuchMethod",
                "io.netty.buffer.MissingBuffer");
        assertEquals(unknown, names.unknownNames(asCode(unknown.stream())));
    }

    @Test
    void knownNamesAndOtherWordsPass() {
        Stream<String> known = Stream.of(
                "Reducer",
                "core.Reducer",
                "brackenbridge.core.Reducer",
                "RejectionReason.Port",
                "DocumentedNamesTest.eachTypeThat...",
                "DocumentedNamesTest#knownNamesAndOtherWordsPass",
                "DeclaredType.isInPackage(name)",
                "String.format",
                "ByteBuf",
                "java.util.concurrent.TimeUnit",
                "core.balancing",
                "net.client",
                "LAMEDUCK",
                "Retry-After",
                "Connection: close",
                "Date");
        assertEquals(List.of(), names.unknownNames(asCode(known)));
        assertEquals(List.of(), names.unknownNames("plain NoSuchType\n```\n`NoSuchType`\n```\n"));
    }

    private static String asCode(Stream<String> words) {
        return words.map(word -> "`" + word + "`").collect(Collectors.joining(", and\n"));
    }

    private static String shortPackageName(Path packageInfo) {
        Path directory = packageInfo.getParent();
        String path = directory.toString().replace('\\', '/');
        String name = path.substring(path.indexOf("/src/main/java/") + "/src/main/java/".length());
        return name.replace('/', '.').replaceFirst("^brackenbridge\\.", "");
    }
}
