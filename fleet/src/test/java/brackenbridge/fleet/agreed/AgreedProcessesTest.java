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

/** Members as processes, whose leader is killed or stands still in the middle of a proposal; judged by one log. */
class AgreedProcessesTest {
    @TempDir
    Path root;

    /** What a process saw between two moments of the machine's one monotonic clock. */
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
        ports.forEach(process -> command.add(String.valueOf(process)));
        Process process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        processes[index] = process;
        Thread reader = new Thread(() -> readOutput(index, process), "reads " + index);
        reader.setDaemon(true);
        reader.start();
    }

    private void readOutput(int index, Process process) {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String[] words = line.split(" ");
                switch (words[0]) {
                    case "sees" -> {
                        synchronized (observations) {
                            // The last line of a process that was killed may be cut off.
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
            // It was killed: its pipe is closed.
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

    private void signal(String which, int index) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + which, String.valueOf(processes[index].pid()))
                        .start()
                        .waitFor());
    }

    private static ConditionFactory await20s() {
        return await().atMost(Duration.ofSeconds(20)).pollInterval(Duration.ofMillis(20));
    }

    private int awaitLeader() {
        // One try takes 2 s at most; a process that is not up by then is asked again, for as long as the wait allows.
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
                            List<Integer> leads = new ArrayList<>();
                            for (int i = 0; i < 3; i++) {
                                if (whoReplies[i].startsWith("true")) {
                                    leads.add(i);
                                }
                            }
                            return leads.size() == 1 ? leads.get(0) : -1;
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
            boolean kill = round % 2 == 0;
            signal(kill ? "KILL" : "STOP", leader);
            await20s().until(() -> verdicts.containsKey(content));
            if (verdicts.get(content).equals("IN_FORCE")) {
                acknowledged.add(content);
            }
            if (kill) {
                processes[leader].waitFor();
                start(leader);
            } else {
                signal("CONT", leader);
            }
            await20s().until(() -> awaitLeader() >= 0);
        }
        assertTrue(acknowledged.size() >= 3, "verdicts " + verdicts);
        // The holder stands still until another has the role, and must not take itself for it when it goes on.
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
        assertTrue(observed.stream().map(Observation::token).distinct().count() >= 4, "the role has changed hands");
        assertConsistent(observed);
    }

    private static void assertConsistent(List<Observation> observed) {
        // What is higher was seen at the latest at this moment; whoever is lower must not be seen after it.
        TreeMap<Long, Long> tokenBy = new TreeMap<>();
        TreeMap<Long, Long> lowBy = new TreeMap<>();
        Map<Long, Integer> holder = new TreeMap<>();
        for (Observation observation : observed) {
            if (observation.token() > 0) {
                tokenBy.merge(observation.token(), observation.afterNanos(), Math::min);
                assertEquals(
                        observation.process(),
                        holder.merge(observation.token(), observation.process(), (a, b) -> a),
                        "token " + observation.token());
            }
            if (observation.lowestGeneration() > 0) {
                lowBy.merge(observation.lowestGeneration(), observation.afterNanos(), Math::min);
            }
        }
        for (Observation observation : observed) {
            if (observation.token() > 0) {
                tokenBy.tailMap(observation.token(), false)
                        .values()
                        .forEach(atNanos -> assertTrue(
                                observation.beforeNanos() <= atNanos, observation + ": another held it before"));
            }
            if (observation.lowestGeneration() > 0) {
                lowBy.tailMap(observation.highestGeneration(), false)
                        .values()
                        .forEach(atNanos -> assertTrue(
                                observation.beforeNanos() <= atNanos,
                                observation + ": another acted by a later one before, and by none of these"));
            }
        }
    }
}
