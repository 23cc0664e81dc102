package brackenbridge.fleet.peer;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerProcessTest {
    private final List<Child> children = new ArrayList<>();

    private final class Child {
        final String name;
        final Process process;
        final List<String> output = new CopyOnWriteArrayList<>();

        Child(String name, long incarnation) throws IOException {
            this.name = name;
            ProcessBuilder builder = new ProcessBuilder(
                    System.getProperty("java.home") + "/bin/java",
                    "-Xmx64m",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:+UseSerialGC",
                    "-cp",
                    System.getProperty("java.class.path"),
                    PeerProcess.class.getName(),
                    name,
                    Long.toString(incarnation));
            process = builder.redirectError(ProcessBuilder.Redirect.DISCARD).start();
            children.add(this);
            Thread reader = new Thread(() -> {
                try (BufferedReader in = process.inputReader(StandardCharsets.UTF_8)) {
                    for (String line = in.readLine(); line != null; line = in.readLine()) {
                        output.add(line);
                    }
                } catch (IOException e) {
                    // The process was killed: there is nothing more to read.
                    return;
                }
            });
            reader.setDaemon(true);
            reader.start();
        }

        String address() {
            await().until(() -> output.stream().anyMatch(text -> text.startsWith("at ")));
            return output.get(0).substring(3);
        }

        void awaitLine(String line) {
            await().until(() -> output.contains(line));
        }

        void signal(String signal) throws IOException, InterruptedException {
            assertEquals(
                    0,
                    new ProcessBuilder("kill", signal, Long.toString(process.pid()))
                            .start()
                            .waitFor());
        }

        long count(String status) {
            return output.stream()
                    .filter(text -> text.contains(" " + status + " "))
                    .count();
        }
    }

    private void connectAll(Child... all) throws IOException {
        StringBuilder members = new StringBuilder();
        for (Child child : all) {
            members.append(child.name).append('=').append(child.address()).append(' ');
        }
        for (Child child : all) {
            child.process.getOutputStream().write((members.toString().trim() + "\n").getBytes());
            child.process.getOutputStream().flush();
        }
    }

    @AfterEach
    void killChildren() {
        children.forEach(child -> child.process.destroyForcibly());
    }

    @Test
    void pausedKilledAndRestartedProcessesAreDistinguished() throws Exception {
        Child memberA = new Child("a", 1);
        Child memberB = new Child("b", 1);
        Child memberC = new Child("c", 1);
        connectAll(memberA, memberB, memberC);
        for (Child child : List.of(memberA, memberB)) {
            child.awaitLine("c ALIVE 1");
        }
        memberC.awaitLine("a ALIVE 1");
        memberC.signal("-STOP");
        memberA.awaitLine("c SUSPECT 1");
        memberA.awaitLine("c DEAD 1");
        memberB.awaitLine("c DEAD 1");
        memberC.signal("-CONT");
        await().until(() -> memberA.count("ALIVE") == 3 && memberB.count("ALIVE") == 3);
        assertEquals(
                0,
                memberC.count("DEAD") + memberC.count("SUSPECT"),
                "the paused member declares nobody dead: " + memberC.output);
        memberC.process.destroyForcibly();
        await().until(() -> memberA.count("DEAD") == 2 && memberB.count("DEAD") == 2);
        Child later = new Child("c", 2);
        connectAll(memberA, memberB, later);
        memberA.awaitLine("c ALIVE 2");
        memberB.awaitLine("c ALIVE 2");
        memberB.process.getOutputStream().close();
        memberA.awaitLine("b DEAD 1");
        later.awaitLine("b DEAD 1");
        assertTrue(
                memberA.output.stream().noneMatch("b SUSPECT 1"::equals),
                "a member that leaves is not suspected first: " + memberA.output);
    }
}
