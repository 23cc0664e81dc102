package brackenbridge.fleet.node;

import brackenbridge.cli.Main;
import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.discovery.StrictJson;
import brackenbridge.fleet.config.FleetFile;
import brackenbridge.fleet.control.ControlClient;
import brackenbridge.fleet.control.Resource;
import brackenbridge.net.Node;
import com.eclipsesource.json.JsonObject;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A node's subscription to its settings and its endpoint list. A received value replaces the same part of the node's
 * configuration, and the complete configuration is validated as in a reload before it is applied. An invalid value is
 * rejected and reported to the control machine, and the previous value stays in force. Without a connection to a
 * control machine the node keeps the values received last, or those of its file if it has received none.
 */
public final class NodeSubscription implements Main.NodeExtension {
    private static final Logger LOG = LoggerFactory.getLogger(NodeSubscription.class);
    private static final long RECONCILE_INTERVAL_MS = 1000;
    private static final String RELOAD_COUNTER = "proxy.config_applied:";

    private final FleetFile fleetFile;
    private final Path configFile;
    private final String region;
    private final Config startConfig;
    /** For each resource, the key of the configuration whose value its content replaces. */
    private final Map<String, String> configKeys = new TreeMap<>();

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private Node node;
    private ControlClient client;

    // Accessed only on the event loop.
    private final Map<String, String> appliedContents = new TreeMap<>();
    private long ownReloads;
    private long handledReloads;

    /**
     * Creates the subscription of the node with this configuration.
     *
     * @param file the fleet file
     * @param configFile the node's configuration file
     * @param region the region in which the node runs
     * @param startConfig the configuration that the node starts with
     * @throws IllegalArgumentException if the fleet file contains no control machine
     */
    public NodeSubscription(FleetFile file, Path configFile, String region, Config startConfig) {
        if (file.control() == null) {
            throw new IllegalArgumentException("the fleet file contains no control machine");
        }
        this.fleetFile = file;
        this.configFile = configFile;
        this.region = region;
        this.startConfig = startConfig;
        configKeys.put("settings/tier-" + startConfig.settings().tier(), "settings");
        configKeys.put("list/tier-" + startConfig.settings().tier(), "known");
    }

    @Override
    public void onStarting(Node startingNode) {
        node = startingNode;
        client = new ControlClient(
                new ControlClient.Settings(
                        fleetFile.fleet(),
                        startConfig.name(),
                        region,
                        fleetFile.control().machines(),
                        List.copyOf(configKeys.keySet()),
                        fleetFile.control().limits()),
                loop,
                Clock.system(),
                new SplittableRandom(),
                this::apply);
        client.start();
        loop.scheduleWithFixedDelay(
                this::reconcile, RECONCILE_INTERVAL_MS, RECONCILE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Returns the status of the subscription. */
    public ControlClient.Status status() {
        return client.status();
    }

    private Optional<String> apply(Resource resource) {
        Map<String, String> nextContents = new TreeMap<>(appliedContents);
        nextContents.put(configKeys.get(resource.name()), new String(resource.content(), StandardCharsets.UTF_8));
        try {
            reload(mergeIntoFile(nextContents));
        } catch (IllegalArgumentException | IOException e) {
            LOG.warn(
                    "rejected version {} of {}, the previous version stays in force: {}",
                    resource.version(),
                    resource.name(),
                    e.getMessage());
            return Optional.of(String.valueOf(e.getMessage()));
        }
        appliedContents.clear();
        appliedContents.putAll(nextContents);
        LOG.info("applied version {} of {}", resource.version(), resource.name());
        return Optional.empty();
    }

    /** Returns the configuration of the file with these contents in place of its own, validated as in a reload. */
    private Config mergeIntoFile(Map<String, String> overrides) throws IOException {
        JsonObject json = StrictJson.parse(Files.readString(configFile)).asObject();
        overrides.forEach((key, content) -> json.set(key, StrictJson.parse(content)));
        Config config = Config.parse(json.toString()).withManagement(System.getenv("PROXY_MGMT"));
        startConfig.schema().requireSameKeysIn(config.schema());
        return config;
    }

    private void reload(Config config) {
        node.reconfigure(() -> config);
        ownReloads++;
    }

    /** Applies the received values again after a SIGHUP, which reloads the values of the file. */
    private void reconcile() {
        try {
            long reloads = countReloads(node.metricsText());
            long fileReloads = reloads - handledReloads - ownReloads;
            if (reloads <= handledReloads) {
                return;
            }
            handledReloads = reloads;
            ownReloads = Math.max(0, -fileReloads);
            if (fileReloads > 0 && !appliedContents.isEmpty()) {
                LOG.info("the configuration file was reloaded; agreed values are applied again");
                reload(mergeIntoFile(appliedContents));
            }
        } catch (IllegalArgumentException | IOException e) {
            LOG.warn("agreed values can't be applied again: {}", e.getMessage());
        }
    }

    private static long countReloads(String metrics) {
        int counterStart = metrics.indexOf(RELOAD_COUNTER);
        if (counterStart < 0) {
            return 0;
        }
        int end = counterStart + RELOAD_COUNTER.length();
        int digitsStart = end;
        while (end < metrics.length() && Character.isDigit(metrics.charAt(end))) {
            end++;
        }
        return end == digitsStart ? 0 : Long.parseLong(metrics.substring(digitsStart, end));
    }

    @Override
    public void onStopped() {
        client.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
