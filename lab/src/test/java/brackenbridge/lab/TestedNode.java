package brackenbridge.lab;

import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.nio.file.Path;
import org.tomlj.Toml;

/** How tests start a real node process: as the deployment does, with the classes under test. */
public final class TestedNode {
    /** The root of the repository. */
    public static final Path HOME = Path.of("..").toAbsolutePath().normalize();

    private TestedNode() {}

    /** The deployment's command with the classes under test in place of the jar, which is not built yet. */
    public static String command() throws IOException {
        String run = Toml.parse(HOME.resolve("deploy/balancer.toml")).getString("run");
        String tested = run.replace(
                "-jar node/target/brackenbridge.jar",
                "-cp '" + System.getProperty("java.class.path") + "' brackenbridge.cli.Main");
        assertNotEquals(run, tested);
        return tested;
    }
}
