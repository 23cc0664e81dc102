package brackenbridge.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeSet;

/**
 * Golden files in {@code src/test/resources/golden}, with which serialized objects are compared. With the system
 * property {@value #WRITE_PROPERTY} the files are written first; see the README in that directory.
 */
public final class GoldenFiles {
    /** If set to the directory of the golden files, their content is replaced by the current serialized form. */
    public static final String WRITE_PROPERTY = "golden.write";

    private static final int BYTES_PER_LINE = 40;

    private GoldenFiles() {}

    /** Reads an object from its serialized form. */
    @FunctionalInterface
    public interface Reader<T> {
        /** Reads the object. */
        T read(byte[] form) throws IOException;
    }

    /** Serializes an object. */
    @FunctionalInterface
    public interface Writer<T> {
        /** Returns the serialized form. */
        byte[] write(T object) throws IOException;
    }

    /** Asserts that the object serializes to the golden file and that reading the file returns an equal object. */
    public static <T> void check(String name, T object, Writer<? super T> writer, Reader<? extends T> reader)
            throws IOException {
        byte[] written = writer.write(object);
        writeIfEnabled(name, written);
        byte[] golden = read(name);
        assertEquals(
                toHexLines(golden),
                toHexLines(written),
                () -> name + ": serialized form differs from " + toPrintable(golden));
        T read = reader.read(golden);
        assertDeepEquals(name, object, read);
        assertArrayEquals(golden, writer.write(read), name + ": serialized again after reading");
    }

    /** Whether the golden files are written first. */
    public static boolean isWriteEnabled() {
        return System.getProperty(WRITE_PROPERTY) != null;
    }

    /** Replaces the content of a golden file if writing is enabled. */
    public static void writeIfEnabled(String name, byte[] content) throws IOException {
        if (isWriteEnabled()) {
            Path file = Path.of(System.getProperty(WRITE_PROPERTY), name + ".hex");
            Files.createDirectories(file.getParent());
            Files.writeString(file, toHexLines(content));
        }
    }

    /** Returns the content of a golden file. */
    public static byte[] read(String name) throws IOException {
        if (isWriteEnabled()) {
            return parseHex(Files.readString(Path.of(System.getProperty(WRITE_PROPERTY), name + ".hex")));
        }
        try (InputStream in = GoldenFiles.class.getResourceAsStream("/golden/" + name + ".hex")) {
            assertNotNull(in, "no golden file " + name);
            return parseHex(new String(in.readAllBytes(), StandardCharsets.US_ASCII));
        }
    }

    private static byte[] parseHex(String hex) {
        return HexFormat.of().parseHex(hex.replace("\n", ""));
    }

    private static String toHexLines(byte[] content) {
        StringBuilder hex = new StringBuilder();
        for (int from = 0; from < content.length; from += BYTES_PER_LINE) {
            int to = Math.min(content.length, from + BYTES_PER_LINE);
            hex.append(HexFormat.of().formatHex(content, from, to)).append('\n');
        }
        return hex.toString();
    }

    private static String toPrintable(byte[] content) {
        return new String(content, StandardCharsets.ISO_8859_1).replaceAll("[^ -~]", ".");
    }

    /** Asserts that two objects have the same class and values, recursively; arrays are compared by content. */
    public static void assertDeepEquals(String path, Object expected, Object actual) {
        if (expected instanceof byte[] bytes) {
            assertArrayEquals(bytes, (byte[]) actual, path);
        } else if (expected instanceof Map<?, ?> map) {
            assertEquals(map.keySet(), ((Map<?, ?>) actual).keySet(), path);
            map.forEach((key, value) -> assertDeepEquals(path + "." + key, value, ((Map<?, ?>) actual).get(key)));
        } else if (expected instanceof Iterable<?> all) {
            assertSameElements(path, all, (Iterable<?>) actual);
        } else if (expected != null && isComparedByFields(expected.getClass())) {
            assertEquals(expected.getClass(), actual == null ? null : actual.getClass(), path);
            assertSameFields(path, expected, actual);
        } else {
            assertEquals(expected, actual, path);
        }
    }

    private static boolean isComparedByFields(Class<?> type) {
        return type.isRecord() || type.getName().startsWith("io.microraft.model.");
    }

    private static void assertSameElements(String path, Iterable<?> expected, Iterable<?> actual) {
        Iterator<?> actualElements = actual.iterator();
        int index = 0;
        for (Object element : expected) {
            assertEquals(true, actualElements.hasNext(), path + " ends before " + index);
            assertDeepEquals(path + "[" + index + "]", element, actualElements.next());
            index++;
        }
        assertEquals(false, actualElements.hasNext(), path + " goes on after " + index);
    }

    private static void assertSameFields(String path, Object expected, Object actual) {
        for (Class<?> type = expected.getClass(); type != null && type != Object.class; type = type.getSuperclass()) {
            for (Field field : type.getDeclaredFields()) {
                if (!Modifier.isStatic(field.getModifiers())) {
                    field.setAccessible(true);
                    assertDeepEquals(
                            path + "." + field.getName(), fieldValue(field, expected), fieldValue(field, actual));
                }
            }
        }
    }

    private static Object fieldValue(Field field, Object object) {
        try {
            return field.get(object);
        } catch (IllegalAccessException e) {
            throw new UncheckedIOException(new IOException(e));
        }
    }

    /** Asserts that all permitted subtypes of a sealed type are among the checked objects. */
    public static void assertAllCovered(Class<?> sealedType, Iterable<?> checked) {
        TreeSet<String> permitted = new TreeSet<>();
        for (Class<?> type : sealedType.getPermittedSubclasses()) {
            permitted.add(type.getName());
        }
        TreeSet<String> seen = new TreeSet<>();
        checked.forEach(object -> seen.add(object.getClass().getName()));
        assertEquals(permitted, seen, "types without a golden file, or unexpected types");
    }
}
