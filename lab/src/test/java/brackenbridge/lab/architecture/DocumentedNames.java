package brackenbridge.lab.architecture;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Finds the names of Java types in the code spans of a page, and tells which of them name nothing. */
final class DocumentedNames {
    private static final Pattern FENCED_BLOCK = Pattern.compile("(?ms)^ *```.*?^ *```");
    private static final Pattern CODE_SPAN = Pattern.compile("`([^`\n]+)`");

    /** A type, perhaps with a package before it, a member or the beginning of one behind it, and plain arguments. */
    private static final Pattern TYPE_NAME = Pattern.compile("(?<package>(?:[a-z][a-z0-9]*\\.)*)"
            + "(?<type>[A-Z][A-Za-z0-9]*)"
            + "(?<members>(?:[.#][A-Za-z_][A-Za-z0-9_]*)*)"
            + "(?<cut>\\.\\.\\.)?"
            + "(?:\\([^)]*\\)|(?: [0-9.]+)+)?");

    /** Where types of the JDK and of libraries are looked up when a page names them without their package. */
    private static final List<String> FOREIGN_PACKAGES = List.of(
            "java.io",
            "java.lang",
            "java.net",
            "java.nio",
            "java.nio.channels",
            "java.nio.file",
            "java.util",
            "java.util.concurrent",
            "io.microraft",
            "io.netty.bootstrap",
            "io.netty.buffer",
            "io.netty.channel",
            "io.netty.channel.nio",
            "io.netty.channel.socket",
            "io.netty.util",
            "org.HdrHistogram",
            "org.h2.mvstore");

    /** Words that look like types and are none: each with what it is. */
    private static final Map<String, String> OTHER_WORDS =
            Map.of("Date", "a header field of HTTP", "Host", "a header field of HTTP", "VmHWM", "a line of /proc");

    private final DeclaredTypes types;

    DocumentedNames(DeclaredTypes types) {
        this.types = types;
    }

    /** The names in a page's code spans that look like types and name neither one of ours nor a known foreign one. */
    List<String> unknownNames(String page) {
        return CODE_SPAN
                .matcher(FENCED_BLOCK.matcher(page).replaceAll(""))
                .results()
                .map(span -> span.group(1))
                .filter(this::isUnknown)
                .distinct()
                .toList();
    }

    private boolean isUnknown(String span) {
        Matcher name = TYPE_NAME.matcher(span);
        if (!name.matches() || !hasLowerCase(name.group("type")) || OTHER_WORDS.containsKey(span)) {
            return false;
        }
        String packageName = name.group("package").replaceAll("\\.$", "");
        List<String> members = Stream.of(name.group("members").split("[.#]"))
                .filter(member -> !member.isEmpty())
                .toList();
        boolean cut = name.group("cut") != null;
        return types.find(packageName, name.group("type")).stream().noneMatch(type -> declares(type, members, cut))
                && !isForeign(packageName, name.group("type"), members, cut);
    }

    private static boolean hasLowerCase(String name) {
        return name.chars().anyMatch(Character::isLowerCase);
    }

    private boolean declares(DeclaredType type, List<String> members, boolean cut) {
        if (members.isEmpty()) {
            return true;
        }
        String first = members.get(0);
        if (members.size() == 1) {
            return types.hasMember(type, isNamed(first, cut));
        }
        return types.findNested(type, first).stream()
                .anyMatch(nested -> declares(nested, members.subList(1, members.size()), cut));
    }

    private static Predicate<String> isNamed(String name, boolean cut) {
        return cut ? declared -> declared.startsWith(name) : name::equals;
    }

    private static boolean isForeign(String packageName, String type, List<String> members, boolean cut) {
        Stream<String> packages = packageName.isEmpty() ? FOREIGN_PACKAGES.stream() : Stream.of(packageName);
        return packages.flatMap(candidate -> load(candidate + "." + type))
                .anyMatch(found -> members.isEmpty()
                        || members.size() == 1 && memberNames(found).anyMatch(isNamed(members.get(0), cut)));
    }

    private static Stream<Class<?>> load(String name) {
        try {
            return Stream.of(Class.forName(name, false, DocumentedNames.class.getClassLoader()));
        } catch (ClassNotFoundException | NoClassDefFoundError e) {
            return Stream.empty();
        }
    }

    private static Stream<String> memberNames(Class<?> type) {
        return Stream.of(
                        Arrays.stream(type.getMethods()).map(method -> method.getName()),
                        Arrays.stream(type.getFields()).map(field -> field.getName()),
                        Arrays.stream(type.getClasses()).map(Class::getSimpleName))
                .flatMap(names -> names);
    }
}
