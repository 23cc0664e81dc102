package brackenbridge.lab.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tomlj.Toml;

/** The command by which a deployment starts a node, on the jar that the build has just made. */
class DeploymentTest {
    private static final Path HOME = Path.of("..");

    @TempDir
    private Path folder;

    private String classesOf(String run) throws Exception {
        Path log = folder.resolve("classes.log");
        Process p = new ProcessBuilder(
                        "sh",
                        "-c",
                        run.replace(" serve", " version")
                                .replace(" -jar", " -Xlog:class+load=info:file=" + log + " -jar"))
                .directory(HOME.toFile())
                .redirectErrorStream(true)
                .start();
        String said = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, p.waitFor(), said);
        assertTrue(said.matches("brackenbridge \\S+\\R"), said);
        return Files.readString(log);
    }

    @Test
    void nodeLoadsItsClassesFromTheBuildsArchiveAndDoesWithoutIt() throws Exception {
        String run = Toml.parse(Files.readString(HOME.resolve("deploy/balancer.toml")))
                .getString("run");
        String main = "brackenbridge.cli.Main source: ";
        assertTrue(classesOf(run).contains(main + "shared objects file (top)"));
        assertTrue(classesOf(run.replace(".jsa", ".none")).contains(main + "file:"));
    }
}
