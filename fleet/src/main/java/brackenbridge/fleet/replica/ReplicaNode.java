package brackenbridge.fleet.replica;

import brackenbridge.clock.Clock;
import brackenbridge.fleet.peer.Member;
import brackenbridge.fleet.peer.MemberStatus;
import brackenbridge.fleet.peer.MessageStream;
import brackenbridge.fleet.peer.PeerLinks;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a member's replica in a process: links, threads and a disk around {@link ReplicationProtocol}. One thread drives
 * the protocol's timers, one writes to disk asynchronously, one notifies listeners; threads of the peer links deliver
 * messages. The lock is held for one message or one timer step.
 */
public final class ReplicaNode implements Replica, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ReplicaNode.class);
    /** The longest wait between two timer steps, in milliseconds. */
    private static final double MAX_WAIT_MS = 50;
    /** One of this many failed steps is logged. */
    private static final long FAILURES_PER_LOG_LINE = 1000;
    /** The time that closing waits for each thread, in milliseconds. */
    private static final long JOIN_TIMEOUT_MS = 2000;

    /**
     * This member's copy of another member's log; a line of {@code state status}.
     *
     * @param member the name of that member
     * @param incarnation its newest known incarnation
     * @param announcedSequence the number of writes that it has announced in that incarnation
     * @param appliedSequence the number of them that are applied here
     * @param heartbeatAgeMs the time since its last heartbeat, in milliseconds; infinite if there was none
     * @param status its status by the peer links
     * @param quarantineReason why that incarnation is quarantined; null if it is not
     */
    public record Status(
            @JsonProperty("member") String member,
            @JsonProperty("life") long incarnation,
            @JsonProperty("wrote") long announcedSequence,
            @JsonProperty("have") long appliedSequence,
            @JsonProperty("heardMs") double heartbeatAgeMs,
            @JsonProperty("standing") MemberStatus status,
            @JsonProperty("aside") String quarantineReason) {}

    /**
     * Statistics of the replication since the start.
     *
     * @param sentBytes bytes sent
     * @param throttledMessages messages not sent because of the limit on bytes per second
     * @param unsentMessages messages that the links did not accept
     * @param malformedMessages received messages that could not be decoded
     * @param differences differences found between copies
     * @param records records in this copy
     * @param diskHealthy whether the last write to disk succeeded; false without a disk
     */
    public record Statistics(
            @JsonProperty("sentBytes") long sentBytes,
            @JsonProperty("dropped") long throttledMessages,
            @JsonProperty("unsent") long unsentMessages,
            @JsonProperty("unreadable") long malformedMessages,
            @JsonProperty("differences") long differences,
            @JsonProperty("records") long records,
            @JsonProperty("onDisk") boolean diskHealthy) {}

    private final PeerLinks links;
    private final ReplicaDisk disk;
    private final Clock clock;
    private final ReplicaMonitor monitor = new ReplicaMonitor();
    private final ChangeNotifier notifier;
    /** Writes changes to disk; null without a disk. */
    private final DiskWriter diskWriter;

    private final List<Thread> threads = new ArrayList<>();

    // Guarded by the monitor.
    private final RecordStore store;
    private final ReplicationProtocol protocol;
    private long unsentMessages;
    private long failedSteps;
    private boolean peersChanged = true;

    /**
     * Creates a replica without starting it.
     *
     * @param links peer links that are not started yet
     * @param disk the disk; null for none
     * @param clock the source of the time
     * @param limits bounds and intervals of the replication
     * @throws IOException if the disk can be neither read nor replaced by an empty file
     */
    public ReplicaNode(PeerLinks links, ReplicaDisk disk, Clock clock, ReplicationLimits limits) throws IOException {
        this.links = links;
        this.disk = disk;
        this.clock = clock;
        long nonce = new java.security.SecureRandom().nextLong() | 1;
        long incarnation = Math.max(
                links.incarnation(),
                disk == null ? ReplicaDisk.incarnationWithoutDisk(clock.nowMs()) : disk.incarnation());
        store = new RecordStore(links.self().name(), incarnation, nonce, true);
        notifier = new ChangeNotifier(monitor, store, clock);
        diskWriter = disk == null ? null : new DiskWriter(monitor, store, disk);
        if (disk != null) {
            disk.restore(store);
            store.drainChanges();
            diskWriter.enqueueAll();
        }
        protocol = new ReplicationProtocol(store, limits, new SplittableRandom(nonce), clock.nowMs());
        links.setReceiver(
                MessageStream.REPLICA,
                (peer, peerIncarnation, body) ->
                        runStep(() -> protocol.onMessage(peer, peerIncarnation, body, clock.nowMs())));
        links.addWatcher((peer, status, peerIncarnation) -> runStep(() -> {
            peersChanged = true;
            if (status == MemberStatus.ALIVE) {
                protocol.onPeerReachable(peer);
            }
            return List.of();
        }));
    }

    /** Starts the threads of the replica; the caller starts the links. */
    public void start() {
        threads.add(startThread("replica-turn", this::runTimers));
        threads.add(startThread("replica-tell", notifier));
        if (diskWriter != null) {
            threads.add(startThread("replica-disk", diskWriter));
        }
    }

    private static Thread startThread(String name, Runnable body) {
        Thread thread = new Thread(body, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---- protocol steps ----

    /** Runs one step of the protocol under the lock, then sends its messages without the lock. */
    private void runStep(Supplier<List<ReplicationProtocol.OutgoingMessage>> step) {
        List<ReplicationProtocol.OutgoingMessage> messages;
        List<String> alarms;
        monitor.lock();
        try {
            messages = step.get();
            alarms = collectChanges();
        } catch (RuntimeException e) {
            // Guards against a fault here ending a thread of the peer links, or the process.
            if (failedSteps++ % FAILURES_PER_LOG_LINE == 0) {
                LOG.error("replication step failed, {} failures so far", failedSteps, e);
            }
            return;
        } finally {
            monitor.unlock();
        }
        alarms.forEach(LOG::error);
        send(messages);
    }

    private void send(List<ReplicationProtocol.OutgoingMessage> messages) {
        long unsent = messages.stream()
                .filter(message -> !links.send(message.peer(), MessageStream.REPLICA, message.body()))
                .count();
        if (unsent > 0) {
            monitor.locked(() -> unsentMessages += unsent);
        }
    }

    /** Queues the changes of a step for listeners and the disk, and returns its alarms; with the lock held. */
    private List<String> collectChanges() {
        boolean notifies = notifier.hasListeners();
        for (RecordTable.Change change : store.drainChanges()) {
            if (diskWriter != null) {
                diskWriter.enqueue(change);
            }
            if (change.key() != null && notifies) {
                notifier.enqueue(change);
            }
        }
        monitor.signalChange();
        List<String> alarms = new ArrayList<>(store.drainAlarms());
        alarms.addAll(protocol.antiEntropy().drainAlarms());
        return alarms;
    }

    /** Drives the protocol's timers until the replica is closed. */
    private void runTimers() {
        while (!monitor.isClosed()) {
            runStep(() -> {
                updatePeers();
                return protocol.tick(clock.nowMs());
            });
            monitor.lock();
            try {
                double waitMs = protocol.nextTickMs() - clock.nowMs();
                peersChanged |= links.peers().size() != protocol.countConfiguredPeers();
                monitor.pause(Math.min(waitMs, MAX_WAIT_MS));
            } catch (InterruptedException e) {
                return;
            } finally {
                monitor.unlock();
            }
        }
    }

    private void updatePeers() {
        if (peersChanged) {
            peersChanged = false;
            List<String> names = links.peers().stream().map(Member::name).toList();
            List<String> reachable = names.stream()
                    .filter(peer -> links.status(peer) != MemberStatus.DEAD)
                    .toList();
            protocol.setPeers(names, reachable);
        }
    }

    // ---- reads and writes ----

    @Override
    public void put(RecordSpace space, String key, byte[] value) {
        byte[] copy = value.clone();
        write(() -> store.put(space, key, copy, clock.nowMs()));
    }

    @Override
    public void remove(RecordSpace space, String key) {
        write(() -> store.remove(space, key, clock.nowMs()));
    }

    @Override
    public void add(RecordSpace space, String key, long increment) {
        write(() -> increment > 0
                ? store.add(space, key, increment, clock.nowMs())
                : increment < 0 && rejectNegative(increment));
    }

    private static boolean rejectNegative(long increment) {
        throw new IllegalArgumentException("a counter can only grow, increment " + increment);
    }

    private void write(Supplier<Boolean> action) {
        monitor.lock();
        try {
            long previousSequence = store.appliedSequence(store.localMember(), store.incarnation())
                    .orElse(0);
            if (action.get()) {
                protocol.onLocalWrite(previousSequence);
                collectChanges().forEach(LOG::error);
            }
        } finally {
            monitor.unlock();
        }
    }

    @Override
    public long sum(RecordSpace space, String key) {
        return monitor.locked(() -> store.sum(space, key));
    }

    @Override
    public List<ReadRecord> readAll(RecordSpace space) {
        return monitor.locked(() -> store.readAll(space, clock.nowMs()));
    }

    @Override
    public SyncState syncState() {
        return monitor.locked(() -> protocol.syncState(clock.nowMs()));
    }

    @Override
    public void addListener(Listener listener) {
        notifier.addListener(listener);
    }

    /** This member's incarnation; later than that of its links if peers knew a later one. */
    public long incarnation() {
        return monitor.locked(store::incarnation);
    }

    /** The version of this member's last write. */
    public RecordVersion latestVersion() {
        return monitor.locked(() -> new RecordVersion(
                store.incarnation(),
                store.appliedSequence(store.localMember(), store.incarnation()).orElse(0)));
    }

    /** The latest differences between copies, with both values; shown by {@code state diff}. */
    public List<AntiEntropy.Difference> recentDifferences() {
        return monitor.locked(() -> protocol.antiEntropy().recentDifferences());
    }

    /** The state of the copy of each member's log; shown by {@code state status}. */
    public List<Status> status() {
        Map<String, MemberStatus> standings = new TreeMap<>();
        links.peers().forEach(peer -> standings.put(peer.name(), links.status(peer.name())));
        standings.put(store.localMember(), MemberStatus.ALIVE);
        return monitor.locked(() -> {
            List<Status> statuses = new ArrayList<>();
            LinkedHashSet<String> names = new LinkedHashSet<>(standings.keySet());
            names.addAll(store.owners());
            for (String name : names) {
                long newest = store.newestIncarnation(name);
                statuses.add(new Status(
                        name,
                        newest,
                        store.announcedSequence(name),
                        store.appliedSequence(name, newest).orElse(0),
                        store.heartbeatAgeMs(name, clock.nowMs()),
                        standings.getOrDefault(name, MemberStatus.UNKNOWN),
                        store.quarantineReason(name)));
            }
            return statuses;
        });
    }

    /** Statistics since the start. */
    public Statistics statistics() {
        return monitor.locked(() -> new Statistics(
                protocol.sentBytes(),
                protocol.throttledMessages(),
                unsentMessages,
                protocol.malformedMessages(),
                protocol.antiEntropy().totalDifferences(),
                store.size(),
                diskWriter != null && diskWriter.isHealthy()));
    }

    /** The number of peers that have reported all writes of this member up to this one as applied. */
    public int countPeersHolding(RecordVersion version) {
        return monitor.locked(() ->
                version.incarnation() == store.incarnation() ? protocol.countPeersHolding(version.sequence()) : 0);
    }

    /**
     * Waits until all changes until now are on disk.
     *
     * @return false if the time ran out, the last write failed or there is no disk
     */
    public boolean awaitFlushed(double withinMs) throws InterruptedException {
        return diskWriter != null && diskWriter.awaitFlushed(withinMs);
    }

    @Override
    public void close() {
        monitor.close();
        for (Thread thread : threads) {
            try {
                thread.join(JOIN_TIMEOUT_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (disk != null) {
            diskWriter.flush();
            disk.close();
        }
    }
}
