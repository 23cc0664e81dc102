package brackenbridge.lab.architecture;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** The checked-out source tree that the tests of this package read. */
final class SourceTree {
    /** The repository's root; Surefire starts tests in their module's directory. */
    static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

    private static final List<String> MODULES = List.of("core", "node", "fleet", "lab");

    private SourceTree() {}

    /** All Java files, of main and test sources of all modules. */
    static List<Path> javaFiles() {
        return MODULES.stream()
                .flatMap(module ->
                        Stream.of("main", "test").map(kind -> ROOT.resolve(module + "/src/" + kind + "/java")))
                .filter(Files::isDirectory)
                .flatMap(directory -> filesUnder(directory, ".java"))
                .sorted()
                .toList();
    }

    /** README.md and all pages under docs. */
    static List<Path> pages() {
        return Stream.concat(Stream.of(ROOT.resolve("README.md")), filesUnder(ROOT.resolve("docs"), ".md"))
                .sorted()
                .toList();
    }

    private static Stream<Path> filesUnder(Path directory, String suffix) {
        try (Stream<Path> files = Files.walk(directory)) {
            return files.filter(file -> file.toString().endsWith(suffix)).toList().stream();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The text of a file. */
    static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
