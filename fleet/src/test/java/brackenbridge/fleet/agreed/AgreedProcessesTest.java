package brackenbridge.fleet.agreed;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.awaitility.core.ConditionFactory;
import org.awaitility.core.ConditionTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Members in separate processes. The leader is killed or stopped during proposals, and role holders are stopped; the
 * observations of all processes must be consistent and no acknowledged proposal may be lost.
 */
class AgreedProcessesTest {
    @TempDir
    Path root;

    /** The state of a process between two times of the machine's monotonic clock, which all processes share. */
    private record Observation(
            int process,
            long beforeNanos,
            long afterNanos,
            long token,
            long lowestGeneration,
            long highestGeneration) {}

    private final Process[] processes = new Process[3];
    private final String[] whoReplies = new String[3];
    private final List<Integer> ports = new ArrayList<>();
    private final List<Observation> observations = new ArrayList<>();
    private final Map<String, String> verdicts = new ConcurrentHashMap<>();
    private final Map<Long, String> history = new ConcurrentHashMap<>();

    private void start(int index) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                MemberMain.class.getName(),
                String.valueOf(index),
                root.resolve("m" + index).toString()));
        ports.forEach(port -> command.add(String.valueOf(port)));
        Process process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        processes[index] = process;
        Thread reader = new Thread(() -> readOutput(index, process), "reader-" + index);
        reader.setDaemon(true);
        reader.start();
    }

    private void readOutput(int index, Process process) {
        try (BufferedReader input =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = input.readLine(); line != null; line = input.readLine()) {
                String[] words = line.split(" ");
                switch (words[0]) {
                    case "sees" -> {
                        synchronized (observations) {
                            // The last line of a killed process may be incomplete.
                            if (words.length == 6) {
                                observations.add(new Observation(
                                        index,
                                        Long.parseLong(words[1]),
                                        Long.parseLong(words[2]),
                                        Long.parseLong(words[3]),
                                        Long.parseLong(words[4]),
                                        Long.parseLong(words[5])));
                            }
                        }
                    }
                    case "verdict" -> verdicts.put(words[1], words[2]);
                    case "kept" -> history.put(Long.parseLong(words[1]), words.length > 2 ? words[2] : "");
                    default -> whoReplies[index] = words[1] + " " + words[2];
                }
            }
        } catch (IOException e) {
            // The process was killed, which closes its pipe.
            whoReplies[index] = "";
        }
    }

    private void send(int index, String line) {
        try {
            OutputStream out = processes[index].getOutputStream();
            out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
        } catch (IOException e) {
            whoReplies[index] = "";
        }
    }

    private void signal(String signal, int index) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + signal, String.valueOf(processes[index].pid()))
                        .start()
                        .waitFor());
    }

    private static ConditionFactory await20s() {
        return await().atMost(Duration.ofSeconds(20)).pollInterval(Duration.ofMillis(20));
    }

    private int awaitLeader() {
        // Each attempt waits up to 2 s; a process that is not up by then is asked again until the overall timeout.
        return await20s()
                .ignoreException(ConditionTimeoutException.class)
                .until(
                        () -> {
                            Arrays.fill(whoReplies, "");
                            for (int i = 0; i < 3; i++) {
                                send(i, "who");
                            }
                            await().atMost(Duration.ofSeconds(2))
                                    .until(() -> Arrays.stream(whoReplies).noneMatch(String::isEmpty));
                            List<Integer> leaders = new ArrayList<>();
                            for (int i = 0; i < 3; i++) {
                                if (whoReplies[i].startsWith("true")) {
                                    leaders.add(i);
                                }
                            }
                            return leaders.size() == 1 ? leaders.get(0) : -1;
                        },
                        leader -> leader >= 0);
    }

    private Observation latestHolder() {
        synchronized (observations) {
            return observations.stream()
                    .max(Comparator.comparingLong(Observation::token))
                    .orElseThrow();
        }
    }

    @AfterEach
    void killProcesses() {
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void acknowledgedProposalsSurviveKilledAndStalledLeaders() throws Exception {
        for (int i = 0; i < 3; i++) {
            try (ServerSocket socket = new ServerSocket(0)) {
                ports.add(socket.getLocalPort());
            }
        }
        for (int i = 0; i < 3; i++) {
            start(i);
        }
        Set<String> acknowledged = new HashSet<>();
        for (int round = 0; round < 6; round++) {
            int leader = awaitLeader();
            int proposer = (leader + 1) % 3;
            long expected = Long.parseLong(whoReplies[proposer].split(" ")[1]);
            String content = "round" + round;
            send(proposer, "propose " + expected + " " + content);
            boolean killed = round % 2 == 0;
            signal(killed ? "KILL" : "STOP", leader);
            await20s().until(() -> verdicts.containsKey(content));
            if (verdicts.get(content).equals("IN_FORCE")) {
                acknowledged.add(content);
            }
            if (killed) {
                processes[leader].waitFor();
                start(leader);
            } else {
                signal("CONT", leader);
            }
            await20s().until(() -> awaitLeader() >= 0);
        }
        assertTrue(acknowledged.size() >= 3, "verdicts: " + verdicts);
        // The holder is stopped until another process has the role, and must not consider itself the holder afterwards.
        for (int round = 0; round < 2; round++) {
            Observation holder = await20s().until(this::latestHolder, observation -> observation.token() > 0);
            signal("STOP", holder.process());
            await20s().until(() -> latestHolder().token() > holder.token());
            signal("CONT", holder.process());
        }
        awaitLeader();
        send(1, "history");
        await20s().until(() -> history.values().containsAll(acknowledged));
        List<Observation> observed;
        synchronized (observations) {
            observed = List.copyOf(observations);
        }
        assertTrue(observed.stream().map(Observation::token).distinct().count() >= 4, "too few holders of the role");
        assertConsistent(observed);
    }

    private static void assertConsistent(List<Observation> observed) {
        // The earliest time by which each token and generation was in use; lower ones must not be in use after it.
        TreeMap<Long, Long> seenTokens = new TreeMap<>();
        TreeMap<Long, Long> seenGenerations = new TreeMap<>();
        Map<Long, Integer> holder = new TreeMap<>();
        for (Observation observation : observed) {
            if (observation.token() > 0) {
                seenTokens.merge(observation.token(), observation.afterNanos(), Math::min);
                assertEquals(
                        observation.process(),
                        holder.merge(observation.token(), observation.process(), (first, second) -> first),
                        "token " + observation.token());
            }
            if (observation.lowestGeneration() > 0) {
                seenGenerations.merge(observation.lowestGeneration(), observation.afterNanos(), Math::min);
            }
        }
        for (Observation observation : observed) {
            if (observation.token() > 0) {
                seenTokens
                        .tailMap(observation.token(), false)
                        .values()
                        .forEach(atNanos -> assertTrue(
                                observation.beforeNanos() <= atNanos,
                                observation + ": a higher token was in use before"));
            }
            if (observation.lowestGeneration() > 0) {
                seenGenerations
                        .tailMap(observation.highestGeneration(), false)
                        .values()
                        .forEach(atNanos -> assertTrue(
                                observation.beforeNanos() <= atNanos,
                                observation + ": only later generations were in use elsewhere before"));
            }
        }
    }
}
