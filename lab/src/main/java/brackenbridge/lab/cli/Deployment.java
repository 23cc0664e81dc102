package brackenbridge.lab.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.tomlj.Toml;

/** Where the program was built, and how the deployment starts a node. */
record Deployment(Path home, String run) {
    private static final String JAR = "node/target/brackenbridge.jar";

    /** Reads the deploy file of the launcher's repository. */
    static Deployment read() throws IOException {
        String root = System.getenv("BRACKENBRIDGE_HOME");
        Path home = Path.of(root == null ? "." : root).toAbsolutePath();
        Path file = home.resolve("deploy/balancer.toml");
        String run = Files.exists(file) ? Toml.parse(file).getString("run") : null;
        if (run == null) {
            throw new IOException("no run line in " + file);
        }
        return new Deployment(home, run);
    }

    /** The same with another jar in place of the one that was built. */
    String runWith(String jar) {
        return run.replace(JAR, Path.of(jar).toAbsolutePath().toString());
    }
}
