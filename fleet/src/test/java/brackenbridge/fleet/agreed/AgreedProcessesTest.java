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

    private void start(int i) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                MemberMain.class.getName(),
                String.valueOf(i),
                root.resolve("m" + i).toString()));
        ports.forEach(p -> command.add(String.valueOf(p)));
        Process p = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        processes[i] = p;
        Thread reader = new Thread(() -> readOutput(i, p), "reads " + i);
        reader.setDaemon(true);
        reader.start();
    }

    private void readOutput(int i, Process p) {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(p.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String[] w = line.split(" ");
                switch (w[0]) {
                    case "sees" -> {
                        synchronized (observations) {
                            // The last line of a process that was killed may be cut off.
                            if (w.length == 6) {
                                observations.add(new Observation(
                                        i,
                                        Long.parseLong(w[1]),
                                        Long.parseLong(w[2]),
                                        Long.parseLong(w[3]),
                                        Long.parseLong(w[4]),
                                        Long.parseLong(w[5])));
                            }
                        }
                    }
                    case "verdict" -> verdicts.put(w[1], w[2]);
                    case "kept" -> history.put(Long.parseLong(w[1]), w.length > 2 ? w[2] : "");
                    default -> whoReplies[i] = w[1] + " " + w[2];
                }
            }
        } catch (IOException e) {
            // It was killed: its pipe is closed.
            whoReplies[i] = "";
        }
    }

    private void send(int i, String line) {
        try {
            OutputStream out = processes[i].getOutputStream();
            out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
        } catch (IOException e) {
            whoReplies[i] = "";
        }
    }

    private void signal(String which, int i) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + which, String.valueOf(processes[i].pid()))
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
                        l -> l >= 0);
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
        for (Process p : processes) {
            if (p != null) {
                p.destroyForcibly();
            }
        }
    }

    @Test
    void acknowledgedProposalsSurviveKilledAndStalledLeaders() throws Exception {
        for (int i = 0; i < 3; i++) {
            try (ServerSocket s = new ServerSocket(0)) {
                ports.add(s.getLocalPort());
            }
        }
        for (int i = 0; i < 3; i++) {
            start(i);
        }
        Set<String> acknowledged = new HashSet<>();
        for (int round = 0; round < 6; round++) {
            int leader = awaitLeader();
            int other = (leader + 1) % 3;
            long expected = Long.parseLong(whoReplies[other].split(" ")[1]);
            String content = "round" + round;
            send(other, "propose " + expected + " " + content);
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
            Observation held = await20s().until(this::latestHolder, s -> s.token() > 0);
            signal("STOP", held.process());
            await20s().until(() -> latestHolder().token() > held.token());
            signal("CONT", held.process());
        }
        awaitLeader();
        send(1, "history");
        await20s().until(() -> history.values().containsAll(acknowledged));
        List<Observation> all;
        synchronized (observations) {
            all = List.copyOf(observations);
        }
        assertTrue(all.stream().map(Observation::token).distinct().count() >= 4, "the role has changed hands");
        assertConsistent(all);
    }

    private static void assertConsistent(List<Observation> all) {
        // What is higher was seen at the latest at this moment; whoever is lower must not be seen after it.
        TreeMap<Long, Long> tokenBy = new TreeMap<>();
        TreeMap<Long, Long> lowBy = new TreeMap<>();
        Map<Long, Integer> holder = new TreeMap<>();
        for (Observation s : all) {
            if (s.token() > 0) {
                tokenBy.merge(s.token(), s.afterNanos(), Math::min);
                assertEquals(s.process(), holder.merge(s.token(), s.process(), (a, b) -> a), "token " + s.token());
            }
            if (s.lowestGeneration() > 0) {
                lowBy.merge(s.lowestGeneration(), s.afterNanos(), Math::min);
            }
        }
        for (Observation s : all) {
            if (s.token() > 0) {
                tokenBy.tailMap(s.token(), false)
                        .values()
                        .forEach(at -> assertTrue(s.beforeNanos() <= at, s + ": another held it before"));
            }
            if (s.lowestGeneration() > 0) {
                lowBy.tailMap(s.highestGeneration(), false)
                        .values()
                        .forEach(at -> assertTrue(
                                s.beforeNanos() <= at,
                                s + ": another acted by a later one before, and by none of these"));
            }
        }
    }
}
