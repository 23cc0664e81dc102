package brackenbridge.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.h2.store.fs.FileBaseDefault;
import org.h2.store.fs.FilePath;
import org.h2.store.fs.FilePathWrapper;

/**
 * An H2 file system with scheme {@code faulty} that injects faults into stores. For each directory it counts writes and
 * syncs, fails those selected by a test or by a random seed, and tracks the content that would survive a loss of power:
 * the data written before a successful sync. Data written before a failed sync is never synced by a later one, because
 * Linux drops such pages.
 */
public final class FaultyFiles extends FilePathWrapper {
    /** Prefix of file names. */
    public static final String SCHEME = "faulty:";

    private static final Map<String, Faults> DIRECTORIES = new ConcurrentHashMap<>();

    static {
        FilePath.register(new FaultyFiles());
    }

    /** A fault of an operation. */
    public enum Fault {
        /** A write writes nothing: the disk is full. */
        NO_SPACE,
        /** A write writes a part of the data, then the disk is full. */
        SHORT_WRITE,
        /** A write fails with a device error. */
        WRITE_ERROR,
        /** A sync fails, and the unsynced data is dropped. */
        SYNC_ERROR
    }

    /**
     * A recorded write, for tests that apply it partially.
     *
     * @param file the file
     * @param offset the offset in the file
     * @param bytes the data
     */
    public record Write(Path file, long offset, byte[] bytes) {
        /** Returns the content of the file after the first {@code prefix} bytes of this write. */
        public byte[] applyTo(byte[] before, int prefix) {
            byte[] torn = Arrays.copyOf(before, (int) Math.max(before.length, prefix == 0 ? 0 : offset + prefix));
            System.arraycopy(bytes, 0, torn, (int) offset, prefix);
            return torn;
        }
    }

    /** A range of a file that was written since the last sync. */
    private record Range(long from, int length) {}

    /** The content of a file that would survive a loss of power. */
    private static final class Image {
        byte[] syncedBytes = {};
        final List<Range> unsynced = new ArrayList<>();
    }

    /** Faults below one directory. */
    public static final class Faults {
        private final Map<String, Image> images = new TreeMap<>();
        private long operationCount;
        private long failedCount;
        private long failFrom = Long.MAX_VALUE;
        private Fault fixedFault;
        private Random random;
        private double failureRate;
        private long killAt = Long.MAX_VALUE;
        private int killPrefix;
        private List<Write> recordedWrites;

        /** Fails all further operations; a write fault does not affect syncs, and vice versa. */
        public void failAll(Fault fault) {
            failAfter(0, fault);
        }

        /** Lets a number of operations succeed and fails all later ones like {@link #failAll}. */
        public synchronized void failAfter(long succeeding, Fault fault) {
            fixedFault = fault;
            failFrom = operationCount + succeeding;
        }

        /** Fails operations randomly with this rate. */
        public synchronized void failRandomly(long seed, double rate) {
            random = new Random(seed);
            failureRate = rate;
        }

        /**
         * Simulates a kill during this operation: if it is a write, only its first {@code prefix} bytes are written.
         * All later operations fail.
         */
        public synchronized void killAt(long operation, int prefix) {
            killAt = operation;
            killPrefix = prefix;
        }

        /** Stops injecting faults. */
        public synchronized void clear() {
            failFrom = Long.MAX_VALUE;
            fixedFault = null;
            random = null;
            killAt = Long.MAX_VALUE;
        }

        /** Records all writes until {@link #stopRecording}. */
        public synchronized void startRecording() {
            recordedWrites = new ArrayList<>();
        }

        /** Stops recording and returns the writes since {@link #startRecording}. */
        public synchronized List<Write> stopRecording() {
            List<Write> taken = recordedWrites;
            recordedWrites = null;
            return taken;
        }

        /** The number of writes and syncs so far. */
        public synchronized long operationCount() {
            return operationCount;
        }

        /** The number of failed operations. */
        public synchronized long failedCount() {
            return failedCount;
        }

        /** Resets each file to its last synced content. */
        public synchronized void simulatePowerLoss() throws IOException {
            for (Map.Entry<String, Image> image : images.entrySet()) {
                Files.write(Path.of(image.getKey()), image.getValue().syncedBytes);
                image.getValue().unsynced.clear();
            }
        }

        private Fault nextFault(boolean sync) {
            operationCount++;
            if (fixedFault != null && operationCount > failFrom) {
                return (fixedFault == Fault.SYNC_ERROR) == sync ? fixedFault : null;
            }
            if (random == null || random.nextDouble() >= failureRate) {
                return null;
            }
            return sync ? Fault.SYNC_ERROR : Fault.values()[random.nextInt(Fault.SYNC_ERROR.ordinal())];
        }

        private synchronized Image image(String file) {
            return images.computeIfAbsent(file, path -> {
                Image image = new Image();
                image.syncedBytes = readFile(path);
                return image;
            });
        }

        private static byte[] readFile(String file) {
            try {
                Path path = Path.of(file);
                return Files.exists(path) ? Files.readAllBytes(path) : new byte[0];
            } catch (IOException image) {
                throw new UncheckedIOException(image);
            }
        }

        private synchronized int write(String file, FileChannel target, ByteBuffer bytes, long offset)
                throws IOException {
            if (operationCount >= killAt) {
                int prefix = operationCount == killAt ? killPrefix : 0;
                operationCount++;
                writePrefix(file, target, bytes, offset, Math.min(prefix, bytes.remaining()));
                throw new IOException("killed");
            }
            Fault fault = nextFault(false);
            if (fault == null) {
                return writePrefix(file, target, bytes, offset, bytes.remaining());
            }
            failedCount++;
            if (fault == Fault.SHORT_WRITE) {
                writePrefix(file, target, bytes, offset, bytes.remaining() / 2);
            }
            throw new IOException(fault == Fault.WRITE_ERROR ? "Input/output error" : "No space left on device");
        }

        private int writePrefix(String file, FileChannel target, ByteBuffer bytes, long offset, int length)
                throws IOException {
            ByteBuffer piece = bytes.slice(bytes.position(), length);
            if (recordedWrites != null) {
                byte[] copy = new byte[length];
                piece.duplicate().get(copy);
                recordedWrites.add(new Write(Path.of(file), offset, copy));
            }
            while (piece.hasRemaining()) {
                target.write(piece, offset + piece.position());
            }
            bytes.position(bytes.position() + length);
            image(file).unsynced.add(new Range(offset, length));
            return length;
        }

        private synchronized void sync(String file, FileChannel channel) throws IOException {
            if (operationCount >= killAt) {
                operationCount++;
                throw new IOException("killed");
            }
            Image image = image(file);
            if (nextFault(true) != null) {
                failedCount++;
                image.unsynced.clear();
                throw new IOException("Input/output error");
            }
            byte[] current = readFile(file);
            byte[] durable = Arrays.copyOf(image.syncedBytes, (int) channel.size());
            for (Range r : image.unsynced) {
                int target = (int) Math.min(current.length, r.from() + r.length());
                if (r.from() < target) {
                    System.arraycopy(current, (int) r.from(), durable, (int) r.from(), (int) (target - r.from()));
                }
            }
            image.syncedBytes = durable;
            image.unsynced.clear();
        }

        private synchronized void truncate(FileChannel channel, long size) throws IOException {
            if (operationCount >= killAt) {
                throw new IOException("killed");
            }
            channel.truncate(size);
        }

        private synchronized void onDelete(String file) {
            images.remove(file);
        }

        private synchronized void onMove(String from, String target) {
            Image image = images.remove(from);
            if (image != null) {
                images.put(target, image);
            }
        }
    }

    /** Registers a directory below which the returned object injects faults; initially it injects none. */
    public static Faults injectBelow(Path directory) {
        Faults faults = new Faults();
        DIRECTORIES.put(directory.toString(), faults);
        return faults;
    }

    private Faults faults() {
        String file = unwrap().toString();
        return DIRECTORIES.entrySet().stream()
                .filter(image -> file.startsWith(image.getKey()))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("no faults registered for " + file));
    }

    @Override
    public String getScheme() {
        return "faulty";
    }

    @Override
    public void moveTo(FilePath target, boolean atomicReplace) {
        super.moveTo(target, atomicReplace);
        faults().onMove(getBase().toString(), target.unwrap().toString());
    }

    @Override
    public void delete() {
        super.delete();
        faults().onDelete(getBase().toString());
    }

    @Override
    public FileChannel open(String mode) throws IOException {
        return new Channel(getBase().toString(), getBase().open(mode), faults());
    }

    private static final class Channel extends FileBaseDefault {
        private final String file;
        private final FileChannel base;
        private final Faults faults;

        Channel(String file, FileChannel base, Faults faults) {
            this.file = file;
            this.base = base;
            this.faults = faults;
            faults.image(file);
        }

        @Override
        public long size() throws IOException {
            return base.size();
        }

        @Override
        public int read(ByteBuffer target, long offset) throws IOException {
            return base.read(target, offset);
        }

        @Override
        public int write(ByteBuffer from, long offset) throws IOException {
            return faults.write(file, base, from, offset);
        }

        @Override
        protected void implTruncate(long size) throws IOException {
            faults.truncate(base, size);
        }

        @Override
        public void force(boolean metadata) throws IOException {
            faults.sync(file, base);
        }

        @Override
        public FileLock tryLock(long position, long size, boolean shared) throws IOException {
            return base.tryLock(position, size, shared);
        }

        @Override
        protected void implCloseChannel() throws IOException {
            base.close();
        }
    }
}
