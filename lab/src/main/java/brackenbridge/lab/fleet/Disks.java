package brackenbridge.lab.fleet;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/** What happens to a member's disk while it does not run. */
final class Disks {
    private Disks() {}

    /** Leaves nothing. */
    static void wipe(Path disk) throws IOException {
        if (Files.exists(disk)) {
            try (Stream<Path> all = Files.walk(disk)) {
                for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(p);
                }
            }
        }
        Files.createDirectories(disk);
    }

    /** Puts a copy of one in the place of another. */
    static void copy(Path from, Path to) throws IOException {
        wipe(to);
        try (Stream<Path> all = Files.walk(from)) {
            for (Path p : all.toList()) {
                Path at = to.resolve(from.relativize(p).toString());
                if (Files.isDirectory(p)) {
                    Files.createDirectories(at);
                } else {
                    Files.copy(p, at);
                }
            }
        }
    }

    /** Cuts the end of one file off, as a power cut in mid-write does; which one, or empty if there was none. */
    static String tear(Path disk, SplittableRandom random) throws IOException {
        List<Path> files = files(disk);
        if (files.isEmpty()) {
            return "";
        }
        Path p = files.get(random.nextInt(files.size()));
        try (FileChannel c = FileChannel.open(p, StandardOpenOption.WRITE)) {
            c.truncate(Math.max(0, c.size() - 1 - random.nextLong(Math.min(c.size(), 5000))));
        }
        return p.getFileName().toString();
    }

    /** Turns one bit of one file; which one, or empty if there was none. */
    static String flip(Path disk, SplittableRandom random) throws IOException {
        List<Path> files = files(disk);
        if (files.isEmpty()) {
            return "";
        }
        Path p = files.get(random.nextInt(files.size()));
        try (FileChannel c = FileChannel.open(p, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            long at = random.nextLong(c.size());
            ByteBuffer one = ByteBuffer.allocate(1);
            c.read(one, at);
            one.put(0, (byte) (one.get(0) ^ 1 << random.nextInt(8)));
            one.flip();
            c.write(one, at);
        }
        return p.getFileName().toString();
    }

    private static List<Path> files(Path disk) throws IOException {
        try (Stream<Path> all = Files.walk(disk)) {
            return all.filter(p -> Files.isRegularFile(p) && p.toFile().length() > 0)
                    .sorted()
                    .toList();
        }
    }
}
