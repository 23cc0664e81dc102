package brackenbridge.lab;

import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.tomlj.Toml;

/** How tests start a real node process: as the deployment does, with the classes under test. */
public final class TestedNode {
    /** The root of the repository. */
    public static final Path HOME = Path.of("..").toAbsolutePath().normalize();

    private TestedNode() {}

    /** What the node's jar is made of: each jar more on its class path is a descriptor that its clients do not have. */
    private static final Pattern NODE_CLASSES =
            Pattern.compile(".*/(core|node)/target/.*|.*/(netty-|minimal-json-|jcommander-|jna-)[^/]*[.]jar");

    /** The deployment's command with the classes under test in place of the jar, which is not built yet. */
    public static String command() throws IOException {
        String run = Toml.parse(HOME.resolve("deploy/balancer.toml")).getString("run");
        String tested =
                run.replace("-jar node/target/brackenbridge.jar", "-cp '" + classPath() + "' brackenbridge.cli.Main");
        assertNotEquals(run, tested);
        return tested;
    }

    private static String classPath() {
        return Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                .filter(entry -> NODE_CLASSES.matcher(entry).matches())
                .collect(Collectors.joining(File.pathSeparator));
    }
}
