package brackenbridge.lab.fleet;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A member as a process: lines in, JSON lines out, each into the journal. A line has {@code what}, and {@code at} if
 * the member knows the moment better than who reads it; {@code {"what":"ready"}} says that it serves.
 */
final class MemberProcess {
    private static final int MOST_WAITING = 2000;

    /** One run of the program. */
    private final class Run {
        final Process process;
        final BlockingQueue<String> lines = new LinkedBlockingQueue<>(MOST_WAITING);
        volatile boolean ready;

        Run(Process process) {
            this.process = process;
        }

        void read() {
            try (BufferedReader in = process.inputReader(StandardCharsets.UTF_8)) {
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    took(line);
                }
            } catch (IOException e) {
                // The process has ended, which is told below.
            }
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            boolean was = ready;
            ready = false;
            journal.lab("ended", Json.object().add("member", name));
            if (!was) {
                refused.accept(name);
            }
        }

        private void took(String line) {
            try {
                JsonObject o = Json.parse(line).asObject();
                JsonValue at = o.get("at");
                String what = o.getString("what", "said");
                o.remove("at").remove("what");
                journal.add(at == null ? Journal.now() : at.asDouble(), name, what, o);
                if (what.equals("ready")) {
                    ready = true;
                    readied.accept(name);
                }
            } catch (ParseException | UnsupportedOperationException e) {
                journal.add(Journal.now(), name, "said", Json.object().add("text", line));
            }
        }

        void write() {
            try (Writer out = process.outputWriter(StandardCharsets.UTF_8)) {
                while (process.isAlive()) {
                    String line = lines.poll(100, TimeUnit.MILLISECONDS);
                    if (line != null) {
                        out.write(line + "\n");
                        out.flush();
                    }
                }
            } catch (IOException e) {
                // The process has ended.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private final String name;
    private final List<String> command;
    private final Path disk;
    private final Path errors;
    private final Journal journal;
    private final Consumer<String> readied;
    private final Consumer<String> refused;
    private volatile Run run;
    private volatile boolean stalled;

    /**
     * A member that has not started yet.
     *
     * @param readied hears its name, on a thread of its own, each time that it is ready
     * @param refused hears its name when it has ended without ever being ready
     */
    MemberProcess(
            String name,
            List<String> command,
            Path disk,
            Path errors,
            Journal journal,
            Consumer<String> readied,
            Consumer<String> refused) {
        this.name = name;
        this.command = command;
        this.disk = disk;
        this.errors = errors;
        this.journal = journal;
        this.readied = readied;
        this.refused = refused;
    }

    String name() {
        return name;
    }

    List<String> command() {
        return command;
    }

    Path disk() {
        return disk;
    }

    synchronized void start() throws IOException {
        Files.createDirectories(disk);
        run = new Run(new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.appendTo(errors.toFile()))
                .start());
        stalled = false;
        journal.lab("started", Json.object().add("member", name).add("pid", run.process.pid()));
        thread("read", run::read);
        thread("write", run::write);
    }

    private void thread(String what, Runnable task) {
        Thread t = new Thread(task, what + " " + name);
        t.setDaemon(true);
        t.start();
    }

    /** Whether it runs and has said that it is ready. */
    boolean ready() {
        Run r = run;
        return r != null && r.ready && r.process.isAlive();
    }

    boolean alive() {
        Run r = run;
        return r != null && r.process.isAlive();
    }

    boolean stalled() {
        return stalled;
    }

    /** Tells it a line; not taken if it is not there, stands still or has too many waiting. */
    boolean tell(String line) {
        Run r = run;
        return ready() && !stalled && r.lines.offer(line);
    }

    synchronized void stall(boolean on) {
        if (alive()) {
            stalled = on;
            signal(on ? "-STOP" : "-CONT");
        }
    }

    private void signal(String which) {
        try {
            new ProcessBuilder("kill", which, Long.toString(run.process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Kills it and waits for its end. */
    void kill() {
        end(false);
    }

    /** Tells it to end, and kills it if it has not within 5 s. */
    void stop() {
        end(true);
    }

    private synchronized void end(boolean gently) {
        if (run == null) {
            return;
        }
        if (stalled && alive()) {
            // Guards against a process that stands still, which hears no other signal.
            signal("-CONT");
        }
        stalled = false;
        try {
            if (gently) {
                run.process.destroy();
                run.process.waitFor(5, TimeUnit.SECONDS);
            }
            run.process.destroyForcibly().waitFor();
        } catch (InterruptedException e) {
            run.process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
