package brackenbridge.lab.soak;

import brackenbridge.lab.live.LiveRunner;
import brackenbridge.lab.live.ProcessTable;
import brackenbridge.lab.model.Scheduler;
import brackenbridge.lab.rules.RuleChecker;
import brackenbridge.lab.rules.RuleChecker.Rule;
import brackenbridge.mgmt.ManagementCall;
import com.eclipsesource.json.JsonObject;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;

/**
 * The node under test: its processes, one after the other and two at once while one replaces another, and what is done
 * to them. It judges starts and ends. For the play's event loop; processes are watched by threads of their own.
 */
final class SoakNode {
    /** What a node needs of its play. */
    record Setting(
            String node,
            InetSocketAddress address,
            String command,
            Path home,
            Path folder,
            SoakPlan plan,
            InjectedFaults faults) {}

    private static final double START_LIMIT_MS = 10_000;
    private static final double REPLACEMENT_START_LIMIT_MS = 6000;
    /** A stopping process's machine still gets new connections for so long. */
    private static final double CONNECTS_AFTER_STOP_MS = 200;
    /** A draining node's front still sends new connections for so long. */
    private static final double CONNECTS_AFTER_DRAIN_MS = 300;
    /** Clients use a new class so long after the signal, if no other signal came after it. */
    private static final double CLASS_USED_AFTER_MS = 1200;
    /** What a process was told binds the one that replaces it so long after that is ready. */
    private static final double INHERITED_AFTER_MS = 2000;

    private static final double LATE_BY_FAULT_MS = 2000;

    private static final int READY_POLL_MS = 10;
    /** Clients hear of the end of a process so long after it at the latest. */
    private static final double END_SEEN_MS = 500;

    private static final Runnable NOTHING = () -> {};

    private final Setting setting;
    private final EventLoop loop;
    private final Scheduler scheduler;
    private final RuleChecker rules;
    private final SoakLog log;
    private final NodeFiles files;
    private final List<NodeInstance> instances = new ArrayList<>();
    private final List<String> addedClasses = new ArrayList<>();
    private double drainedMs = Double.NaN;
    private double lastReloadMs = Double.NaN;
    private Runnable afterNextReady = NOTHING;
    private boolean launching;
    private boolean over;
    private int signals;
    private int kills;

    SoakNode(
            Setting setting,
            EventLoop loop,
            Scheduler scheduler,
            RuleChecker rules,
            SoakLog log,
            JsonObject config,
            int memoryMb) {
        this.setting = setting;
        this.loop = loop;
        this.scheduler = scheduler;
        this.rules = rules;
        this.log = log;
        int toldDescriptors = setting.faults().has(SoakFault.HIGHER_LIMIT)
                ? 4 * setting.plan().descriptors()
                : setting.plan().descriptors();
        this.files = new NodeFiles(setting.folder(), config, toldDescriptors, memoryMb);
    }

    // What is done to it.

    /** Does a step. */
    void act(SoakStep step) {
        switch (step.action()) {
            case RELOAD -> reload(files::writeWithAddedClass);
            case RELOAD_INVALID ->
                reload(() -> {
                    files.writeInvalid();
                    return "";
                });
            case RELOAD_TRUNCATED ->
                reload(() -> {
                    files.writeTruncated();
                    return "";
                });
            case RELOAD_EMPTY ->
                reload(() -> {
                    files.writeEmpty();
                    return "";
                });
            case RELOAD_STOPPING -> signalStopping(Signals.SIGHUP, "SIGHUP");
            case RESTART -> restart(step.amountMs());
            case TERMINATE_AGAIN -> signalStopping(Signals.SIGTERM, "SIGTERM again");
            case REPLACE -> replace();
            case REPLACE_AGAIN ->
                afterNextReady = () -> scheduler.at(scheduler.nowMs() + step.amountMs(), this::replace);
            case DRAIN_NODE -> drain(true);
            case RETURN_NODE -> drain(false);
            case STALL -> stall(step.amountMs());
        }
    }

    /** Writes a file and returns the class that it adds; empty if it adds none. */
    private interface FileWriter {
        String write() throws IOException;
    }

    private void reload(FileWriter writer) {
        NodeInstance instance = serving();
        if (instance == null || isStarting()) {
            log.add("a reload is left out: no process serves, or another one starts");
            return;
        }
        String added;
        try {
            added = writer.write();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        instance.reloaded();
        double nowMs = scheduler.nowMs();
        lastReloadMs = nowMs;
        signal(instance, Signals.SIGHUP, "SIGHUP" + (added.isEmpty() ? ", the file can't be used" : ", adds " + added));
        if (!added.isEmpty()) {
            scheduler.at(nowMs + CLASS_USED_AFTER_MS, () -> {
                if (lastReloadMs == nowMs) {
                    addedClasses.add(added);
                }
            });
        }
    }

    private void signalStopping(int signal, String words) {
        instances.stream()
                .filter(instance -> instance.isStopping() && !instance.hasEnded())
                .reduce((earlier, later) -> later)
                .ifPresentOrElse(
                        instance -> signal(instance, signal, words),
                        () -> log.add(words + " is left out: no process stops"));
    }

    private boolean signal(NodeInstance instance, int signal, String words) {
        log.add(words + " to " + instance.name());
        signals++;
        return Signals.send(instance.process(), signal);
    }

    private void restart(double pauseMs) {
        NodeInstance instance = serving();
        if (instance == null || isStarting()) {
            log.add("a restart is left out: no process serves, or another one starts");
            return;
        }
        stop(
                instance,
                () -> scheduler.at(scheduler.nowMs() + pauseMs, () -> {
                    if (!over) {
                        start(NOTHING);
                    }
                }));
    }

    /** Tells a process to stop; the platform kills it if it has not ended in time. */
    void stop(NodeInstance instance, Runnable whenEnded) {
        double nowMs = scheduler.nowMs();
        instance.stopping(nowMs);
        if (setting.faults().take(SoakFault.LATE_EXIT)) {
            scheduler.at(nowMs + LATE_BY_FAULT_MS, () -> signal(instance, Signals.SIGTERM, "SIGTERM, late,"));
        } else {
            signal(instance, Signals.SIGTERM, "SIGTERM");
        }
        // A process that the machine keeps from running exits as much later.
        scheduler.at(
                nowMs + setting.plan().killAfterMs(),
                () -> scheduler.at(scheduler.nowMs() + rules.machineDelayMs(), () -> killIfAlive(instance)));
        instance.process().onExit().thenRun(() -> loop.execute(whenEnded));
    }

    private void killIfAlive(NodeInstance instance) {
        // Not by Process.isAlive, which lags behind while this program's own thread has no processor.
        if (!ProcessTable.hasEnded(instance.process().pid())) {
            kills++;
            log.add("SIGKILL to " + instance.name());
            instance.process().destroyForcibly();
            rules.report(
                    Rule.EXIT,
                    scheduler.nowMs(),
                    String.format(
                            Locale.ROOT,
                            "%s had not ended %.0f ms after SIGTERM",
                            instance.name(),
                            setting.plan().killAfterMs()));
        }
    }

    private void replace() {
        NodeInstance old = serving();
        if (old == null || isStarting() || over) {
            log.add("a replacement is left out: no process serves, or another one starts");
            return;
        }
        start(() -> replaced(old));
    }

    private void replaced(NodeInstance old) {
        String replacement = instances.get(instances.size() - 1).name();
        drainedMs = Double.NaN;
        stop(old, NOTHING);
        scheduler.at(scheduler.nowMs() + INHERITED_AFTER_MS, () -> rules.inherit(old.name(), replacement));
    }

    private void drain(boolean on) {
        NodeInstance instance = serving();
        if (instance == null) {
            log.add("a drain or return is left out: no process serves");
            return;
        }
        drainedMs = on ? scheduler.nowMs() : Double.NaN;
        String call = on ? "LAMEDUCK" : "REJOIN";
        log.add(call + " to " + instance.name());
        signals++;
        thread(
                call,
                () -> log.add(instance.name() + " answers " + call + ": "
                        + call(instance, call).trim()));
    }

    private void stall(double forMs) {
        NodeInstance instance = serving();
        if (instance == null || isStarting()) {
            return;
        }
        signal(instance, Signals.SIGSTOP, "SIGSTOP");
        scheduler.at(scheduler.nowMs() + forMs, () -> signal(instance, Signals.SIGCONT, "SIGCONT"));
    }

    // Its processes.

    /** Starts the first process. */
    void start() {
        start(NOTHING);
    }

    /** Starts a process by the deployment's command; the work runs once it takes clients. */
    private void start(Runnable whenReady) {
        boolean alone = instances.stream().allMatch(NodeInstance::hasEnded);
        String name = setting.node() + "/" + (instances.size() + 1);
        launching = true;
        log.add(name + " starts");
        // Not on the event loop: what it measures must not wait for a program to be started.
        thread("start", () -> {
            NodeInstance instance = launch(name, alone);
            loop.execute(() -> {
                launching = false;
                instances.add(instance);
                watch(instance, alone ? START_LIMIT_MS : REPLACEMENT_START_LIMIT_MS, whenReady);
            });
        });
    }

    private NodeInstance launch(String name, boolean alone) {
        try {
            files.writeValid();
            String management = dial(LiveRunner.freePort());
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", setting.command())
                    .directory(setting.home().toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(setting.folder()
                            .resolve("process-" + (instances.size() + 1) + ".log")
                            .toFile());
            Path temporary = Files.createDirectories(setting.folder().resolve("tmp"));
            builder.environment()
                    .put("PROXY_CONFIG", files.file().toAbsolutePath().toString());
            builder.environment().put("PROXY_MGMT", management);
            builder.environment().put("TMPDIR", temporary.toAbsolutePath().toString());
            return new NodeInstance(name, builder.start(), management, scheduler.nowMs(), alone);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String dial(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    private void watch(NodeInstance instance, double limitMs, Runnable whenReady) {
        instance.process().onExit().thenAccept(process -> loop.execute(() -> ended(instance, process.exitValue())));
        thread("ready", () -> {
            while (instance.process().isAlive()) {
                if (call(instance, "PING").startsWith("+OK")) {
                    loop.execute(() -> ready(instance, limitMs, whenReady));
                    return;
                }
                pause();
            }
        });
    }

    private static void pause() {
        try {
            Thread.sleep(READY_POLL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void thread(String name, Runnable task) {
        Thread thread = new Thread(task, "soak " + name);
        thread.setDaemon(true);
        thread.start();
    }

    private static String call(NodeInstance instance, String call) {
        try {
            return ManagementCall.send(instance.management(), call);
        } catch (IOException e) {
            return "";
        }
    }

    private void ready(NodeInstance instance, double limitMs, Runnable whenReady) {
        double nowMs = scheduler.nowMs();
        instance.ready(nowMs);
        log.add(instance.name() + " is ready");
        if (nowMs - instance.startedMs() > limitMs) {
            rules.report(
                    Rule.EXIT,
                    nowMs,
                    String.format(
                            Locale.ROOT, "%s was ready after %.0f ms", instance.name(), nowMs - instance.startedMs()));
        }
        whenReady.run();
        Runnable next = afterNextReady;
        afterNextReady = NOTHING;
        next.run();
    }

    private void ended(NodeInstance instance, int status) {
        instance.end();
        log.add(instance.name() + " ends with status " + status);
        if (over && !instance.isStopping()) {
            return;
        }
        if (!instance.isStopping() || status != 0) {
            rules.report(
                    Rule.EXIT,
                    scheduler.nowMs(),
                    instance.name() + " ended with status " + status
                            + (instance.isStopping() ? "" : " and was not told to"));
        }
    }

    // What is known of it.

    /** The newest process that takes clients; null if there is none. */
    NodeInstance serving() {
        NodeInstance found = null;
        for (NodeInstance instance : instances) {
            found = instance.serves() ? instance : found;
        }
        return found;
    }

    private boolean isStarting() {
        return launching || instances.stream().anyMatch(instance -> !instance.isReady() && !instance.hasEnded());
    }

    /** Processes that run. */
    List<NodeInstance> running() {
        return instances.stream().filter(instance -> !instance.hasEnded()).toList();
    }

    /** Whether a process was told to stop that may have ended since this time. */
    boolean mayHaveEndedSince(double fromMs) {
        double latestEndMs = setting.plan().killAfterMs() + END_SEEN_MS;
        return instances.stream()
                .anyMatch(instance -> instance.isStopping() && fromMs < instance.stopMs() + latestEndMs);
    }

    /** Whether the front sends new connections to the node. */
    boolean takesConnections() {
        double nowMs = scheduler.nowMs();
        if (!Double.isNaN(drainedMs) && nowMs > drainedMs + CONNECTS_AFTER_DRAIN_MS) {
            return false;
        }
        return instances.stream()
                .anyMatch(instance -> instance.serves()
                        || instance.isReady()
                                && !instance.hasEnded()
                                && nowMs < instance.stopMs() + CONNECTS_AFTER_STOP_MS);
    }

    /** Classes that were added by reloads and may be used. */
    List<String> addedClasses() {
        return addedClasses;
    }

    /** The process that made a connection, by name; null if it can't be told. */
    String caller(Channel accepted) {
        List<NodeInstance> running = running();
        if (running.size() == 1) {
            return running.get(0).name();
        }
        InetSocketAddress remote = (InetSocketAddress) accepted.remoteAddress();
        InetSocketAddress local = (InetSocketAddress) accepted.localAddress();
        if (remote == null || local == null) {
            return null;
        }
        OptionalLong pid = SocketOwner.find(
                remote.getPort(),
                local.getPort(),
                running.stream().map(instance -> instance.process().pid()).toList());
        return running.stream()
                .filter(instance -> pid.isPresent() && instance.process().pid() == pid.getAsLong())
                .map(NodeInstance::name)
                .findFirst()
                .orElse(null);
    }

    int starts() {
        return instances.size();
    }

    int signals() {
        return signals;
    }

    int kills() {
        return kills;
    }

    /** No process is started any more. */
    void finish() {
        over = true;
    }
}
