package brackenbridge.lab.live;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Processes of a measurement, each on cores of its own where the machine has {@code taskset}. */
final class PinnedProcesses implements AutoCloseable {
    private static final Path TASKSET = Path.of("/usr/bin/taskset");
    private static final long END_S = 2;

    private final List<Process> processes = new ArrayList<>();

    private static List<String> pinned(String cores, List<String> command) {
        List<String> all = new ArrayList<>();
        if (Files.isExecutable(TASKSET)) {
            all.addAll(List.of(TASKSET.toString(), "-c", cores));
        }
        all.addAll(command);
        return all;
    }

    /** The flags of the virtual machine in a deployment's command for a node. */
    static List<String> flags(String run) {
        List<String> flags = new ArrayList<>();
        for (String word : run.split(" +")) {
            if (word.startsWith("-X") || word.startsWith("-D")) {
                flags.add(word);
            }
        }
        return flags;
    }

    /** Starts a command of the laboratory and reads the one line that it says. */
    String lab(String cores, List<String> flags, String... words) throws IOException {
        List<String> command = new ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(flags);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "brackenbridge.cli.Main", "lab"));
        command.addAll(List.of(words));
        Process process = new ProcessBuilder(pinned(cores, command))
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        processes.add(process);
        return new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8)).readLine();
    }

    /** Starts a node by the deployment's command, with this configuration. */
    void node(String cores, String run, Path home, Path config, Path log) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(pinned(cores, List.of("/bin/sh", "-c", run)))
                .directory(home.toFile())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        builder.environment().put("PROXY_CONFIG", config.toAbsolutePath().toString());
        processes.add(builder.start());
    }

    @Override
    public void close() {
        for (Process process : processes) {
            process.destroyForcibly();
            try {
                process.waitFor(END_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        processes.clear();
    }
}
