package brackenbridge.lab.scale;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A process of a scale test: lines in, lines out, its errors in a file; started again after a kill. */
final class ChildProcess implements AutoCloseable {
    private static final long END_MS = 3000;

    private final String name;
    private final List<String> command;
    private final Path errors;
    private final Consumer<String> lines;
    private Process process;
    private Writer input;

    /** A process that is not started; hears each line that it prints, on a thread of its own. */
    ChildProcess(String name, List<String> command, Path errors, Consumer<String> lines) {
        this.name = name;
        this.command = command;
        this.errors = errors;
        this.lines = lines;
    }

    /** A command that runs a class of this project with this process's class path. */
    static List<String> java(List<String> flags, String main, List<String> words) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(flags);
        StringBuilder classes = new StringBuilder();
        for (String part : System.getProperty("java.class.path").split(File.pathSeparator)) {
            classes.append(classes.length() == 0 ? "" : File.pathSeparator)
                    .append(Path.of(part).toAbsolutePath());
        }
        command.add("-cp");
        command.add(classes.toString());
        command.add(main);
        command.addAll(words);
        return command;
    }

    String name() {
        return name;
    }

    synchronized void start() throws IOException {
        process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.appendTo(errors.toFile()))
                .start();
        input = process.outputWriter(StandardCharsets.UTF_8);
        Process started = process;
        Thread reader = new Thread(() -> read(started), "read " + name);
        reader.setDaemon(true);
        reader.start();
    }

    private void read(Process from) {
        try (BufferedReader in = from.inputReader(StandardCharsets.UTF_8)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                lines.accept(line);
            }
        } catch (IOException e) {
            // The process has ended.
        }
    }

    synchronized void tell(String line) throws IOException {
        input.write(line + "\n");
        input.flush();
    }

    synchronized boolean alive() {
        return process != null && process.isAlive();
    }

    synchronized ProcessUsage usage() {
        return ProcessUsage.of(process.toHandle());
    }

    /** Ends it at once, as a power cut does. */
    synchronized void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    @Override
    public synchronized void close() {
        if (process == null) {
            return;
        }
        process.destroy();
        try {
            if (!process.waitFor(END_MS, TimeUnit.MILLISECONDS)) {
                process.destroyForcibly().waitFor(END_MS, TimeUnit.MILLISECONDS);
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
