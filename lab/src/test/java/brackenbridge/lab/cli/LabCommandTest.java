package brackenbridge.lab.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.lab.experiment.Results;
import com.eclipsesource.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LabCommandTest {
    private static final String EXPERIMENT = """
            name = "tiny"
            about = "Three servers, one of them hanging for a while"
            length = "8s"
            [[class]]
            name = "view"
            aim = "1s"
            deadline = "3s"
            [[tier]]
            name = "front"
            servers = 3
            work_mean = "10ms"
            [load]
            of_capacity = 0.4
            [[trouble]]
            kind = "hang"
            at = "3s"
            for = "2s"
            [compare]
            policies = ["module", "round_robin"]
            seeds = [1, 2, 3]
            """;

    @TempDir
    private Path folder;

    private String out;
    private String err;

    private int lab(String... words) {
        PrintStream oldOut = System.out;
        PrintStream oldErr = System.err;
        ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
        ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
        try {
            System.setOut(new PrintStream(outBytes, true, StandardCharsets.UTF_8));
            System.setErr(new PrintStream(errBytes, true, StandardCharsets.UTF_8));
            return new LabCommand().run(words);
        } finally {
            System.setOut(oldOut);
            System.setErr(oldErr);
            out = outBytes.toString(StandardCharsets.UTF_8);
            err = errBytes.toString(StandardCharsets.UTF_8);
        }
    }

    private Path file(String text) throws IOException {
        Path f = folder.resolve("tiny.toml");
        Files.writeString(f, text);
        return f;
    }

    @Test
    void simPlaysReportsAndCompares() throws IOException {
        Path file = file(EXPERIMENT);
        assertEquals(0, lab("sim", file.toString(), "--out", folder.resolve("a").toString(), "--threads", "2"), err);
        assertTrue(out.contains("rules: none broken"), out);
        String page = Files.readString(folder.resolve("a/report.html"));
        assertTrue(page.contains("<svg") && page.contains("Recovery") && page.contains("round_robin"));
        assertFalse(page.contains("http://") && page.contains("src="), "a page that stands alone");
        assertEquals(0, lab("sim", file.toString(), "--out", folder.resolve("b").toString(), "--seed", "2"));
        assertEquals(
                0,
                lab(
                        "compare",
                        folder.resolve("a").toString(),
                        folder.resolve("a").toString()));
        assertTrue(out.contains("equal") && !out.contains("WORSE"), out);
        assertEquals(
                0,
                lab(
                        "compare",
                        folder.resolve("a").toString(),
                        folder.resolve("b").toString()));
        assertTrue(out.contains("2 groups compared"), out);
    }

    @Test
    void whatCannotBeUsedIsOneLineAndTwo() throws IOException {
        assertEquals(
                2,
                lab(
                        "sim",
                        file(EXPERIMENT.replace("servers = 3", "servers = \"three\""))
                                .toString(),
                        "--out",
                        folder.toString()));
        assertTrue(
                err.matches("brackenbridge: .*tiny\\.toml:10:1: tier\\[0\\]\\.servers: is not a whole number\\n"), err);
        for (String[] words : List.of(
                new String[] {"sim"},
                new String[] {"simm"},
                new String[] {"report", folder.resolve("none").toString()},
                new String[] {
                    "load", "--target", "example.org:80", "--rate", "1", "--seconds", "1", "--out", folder.toString()
                },
                new String[] {
                    "load", "--target", "10.0.0.1:80", "--rate", "1", "--seconds", "1", "--out", folder.toString()
                })) {
            assertEquals(2, lab(words), String.join(" ", words));
            assertTrue(err.startsWith("brackenbridge: ") && err.indexOf('\n') == err.length() - 1, err);
        }
    }

    @Test
    void anInterruptionLeavesAReadablePart() throws IOException, InterruptedException {
        try (ServerSocket target = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
            Process p = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-cp",
                            System.getProperty("java.class.path"),
                            "brackenbridge.cli.Main",
                            "lab",
                            "load",
                            "--target",
                            "127.0.0.1:" + target.getLocalPort(),
                            "--rate",
                            "50",
                            "--seconds",
                            "100",
                            "--warmup",
                            "0",
                            "--out",
                            folder.toString(),
                            "--any-body")
                    .redirectErrorStream(true)
                    .redirectOutput(folder.resolve("said").toFile())
                    .start();
            for (int i = 0; i < 3; i++) {
                try (Socket s = target.accept()) {
                    InputStream in = s.getInputStream();
                    assertTrue(in.read() > 0);
                    s.getOutputStream()
                            .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                                    .getBytes(StandardCharsets.ISO_8859_1));
                }
            }
            new ProcessBuilder("kill", "-INT", Long.toString(p.pid())).start();
            assertTrue(p.waitFor(30, TimeUnit.SECONDS));
        }
        List<JsonObject> lines = Results.read(folder);
        assertEquals(1, lines.size(), Files.readString(folder.resolve("said")));
        assertTrue(lines.get(0).getBoolean("partial", false));
        assertEquals(0, lab("report", folder.toString()), err);
    }
}
