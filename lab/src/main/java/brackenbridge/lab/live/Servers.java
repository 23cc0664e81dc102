package brackenbridge.lab.live;

import brackenbridge.clock.Clock;
import brackenbridge.lab.rules.RuleChecker;
import brackenbridge.lab.stats.Scoreboard;
import brackenbridge.lab.trouble.Faults;
import brackenbridge.lab.world.World;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Only the stand-ins of a world, and a configuration for each node to use with them. */
public final class Servers implements AutoCloseable {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final LiveWorld live;
    private final List<Path> configs = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();

    /** Starts them; the configurations go into the folder. Requests of any client are taken. */
    public Servers(World world, long seed, Path folder) throws IOException {
        EventLoop loop = group.next();
        Clock clock = Clock.system();
        live = new LiveWorld(world, seed, loop, clock, new Scoreboard(world), ProcessLinks.DIRECT);
        live.registry().open(id -> {
            // What another process sends is known by its id alone: whether it may run twice is not, so it may.
            double deadline = clock.nowMs()
                    + world.classes().stream()
                            .mapToDouble(World.ClassSpec::deadlineMs)
                            .max()
                            .orElse(1000);
            RuleChecker.Entry entry = live.ledger().taken(clock.nowMs(), id, "-", "any", false, deadline);
            return live.registry().add(id, entry, clock.nowMs(), deadline);
        });
        Files.createDirectories(folder);
        for (int i = 0; i < world.nodes(0); i++) {
            String name = "n0-" + i;
            InetSocketAddress at = LiveRunner.freePort();
            Path file = folder.resolve(name + ".json");
            Files.writeString(
                    file,
                    live.nodeConfig(name, i, at.getHostString() + ":" + at.getPort())
                            .toString());
            configs.add(file);
            addresses.add(at);
        }
        loop.execute(() -> new Faults(live)
                .schedule(
                        world.troubles().stream()
                                .filter(t -> !t.kind().ofNodes())
                                .toList(),
                        clock.nowMs()));
    }

    /** The nodes' configurations. */
    public List<Path> configs() {
        return List.copyOf(configs);
    }

    /** Where the nodes are to listen. */
    public List<InetSocketAddress> addresses() {
        return List.copyOf(addresses);
    }

    /** The addresses of the first tier's servers. */
    public List<String> dials() {
        return live.servers(0).stream()
                .map(s ->
                        s.target(brackenbridge.core.balancing.EndpointState.UP).address())
                .toList();
    }

    @Override
    public void close() throws IOException {
        live.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
