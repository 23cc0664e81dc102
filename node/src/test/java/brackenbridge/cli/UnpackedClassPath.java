package brackenbridge.cli;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Enumeration;
import java.util.List;
import java.util.jar.JarFile;
import java.util.zip.ZipEntry;

/**
 * The class path of the tests with its archives unpacked. A process holds a descriptor for each archive of its class
 * path: the node's own jar is one, while the tests' class path has dozens, which would count as the node's.
 */
final class UnpackedClassPath {
    private UnpackedClassPath() {}

    /** Unpacks all archives into this directory; returns the class path. */
    static String createIn(Path directory) throws IOException {
        List<String> entries = new ArrayList<>();
        for (String entry : System.getProperty("java.class.path").split(File.pathSeparator)) {
            if (entry.endsWith(".jar")) {
                unpack(entry, directory);
            } else {
                entries.add(entry);
            }
        }
        entries.add(directory.toString());
        return String.join(File.pathSeparator, entries);
    }

    private static void unpack(String archive, Path directory) throws IOException {
        try (JarFile jar = new JarFile(archive)) {
            for (Enumeration<? extends ZipEntry> files = jar.entries(); files.hasMoreElements(); ) {
                ZipEntry file = files.nextElement();
                Path target = directory.resolve(file.getName()).normalize();
                if (!file.isDirectory() && target.startsWith(directory)) {
                    Files.createDirectories(target.getParent());
                    try (InputStream content = jar.getInputStream(file)) {
                        Files.copy(content, target, StandardCopyOption.REPLACE_EXISTING);
                    }
                }
            }
        }
    }
}
