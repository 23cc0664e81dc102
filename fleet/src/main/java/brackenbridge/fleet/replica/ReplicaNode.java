package brackenbridge.fleet.replica;

import brackenbridge.clock.Clock;
import brackenbridge.fleet.peer.Member;
import brackenbridge.fleet.peer.MemberStatus;
import brackenbridge.fleet.peer.MessageStream;
import brackenbridge.fleet.peer.PeerLinks;
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
 * A member's replica in a process: links, threads and a disk around {@link ReplicationProtocol}. One thread drives the
 * protocol's timers, one writes behind to the disk, one calls listeners; peers' threads deliver messages. The lock is
 * held for one message or one turn.
 */
public final class ReplicaNode implements Replica, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ReplicaNode.class);
    /** The longest wait between two turns of the protocol, in milliseconds. */
    private static final double MAX_WAIT_MS = 50;
    /** Of failed turns, one in so many is logged. */
    private static final long LOG_EVERY_FAILED = 1000;
    /** How long closing waits for each thread, in milliseconds. */
    private static final long JOIN_MS = 2000;

    /**
     * What a member holds of another; a line of {@code state status}.
     *
     * @param member which
     * @param life its newest incarnation known here
     * @param wrote how many writes it is said to have made in it
     * @param have how many of them are here
     * @param heardMs how long ago it last gave a heartbeat, in milliseconds; infinite if never
     * @param standing what links say of it
     * @param aside why its present incarnation was quarantined; null if it was not
     */
    public record Status(
            String member, long life, long wrote, long have, double heardMs, MemberStatus standing, String aside) {}

    /**
     * What a member's exchange has done.
     *
     * @param sentBytes bytes sent since the start
     * @param dropped messages not sent for want of bytes a second
     * @param unsent messages that links did not take
     * @param unreadable messages that could not be read
     * @param differences differences found since the start
     * @param records records that are held
     * @param onDisk whether the disk takes what is written; false without a disk
     */
    public record Figures(
            long sentBytes,
            long dropped,
            long unsent,
            long unreadable,
            long differences,
            long records,
            boolean onDisk) {}

    private final PeerLinks links;
    private final ReplicaDisk disk;
    private final Clock clock;
    private final ReplicaMonitor monitor = new ReplicaMonitor();
    private final ChangeNotifier notifier;
    /** Null without a disk. */
    private final DiskWriter diskWriter;

    private final List<Thread> threads = new ArrayList<>();

    // Guarded by the monitor.
    private final RecordStore store;
    private final ReplicationProtocol protocol;
    private long unsentMessages;
    private long failedTurns;
    private boolean peersChanged = true;

    /**
     * A replica that is not started.
     *
     * @param links links that are not started either
     * @param disk the disk; null for none
     * @param clock the clock
     * @param limits bounds and intervals of the replication
     * @throws IOException if the disk can be neither read nor begun anew
     */
    public ReplicaNode(PeerLinks links, ReplicaDisk disk, Clock clock, ReplicationLimits limits) throws IOException {
        this.links = links;
        this.disk = disk;
        this.clock = clock;
        long nonce = new java.security.SecureRandom().nextLong() | 1;
        long incarnation =
                Math.max(links.incarnation(), disk == null ? ReplicaDisk.lifeWithout(clock.nowMs()) : disk.life());
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
                (peer, of, body) -> runTurn(() -> protocol.onMessage(peer, of, body, clock.nowMs())));
        links.addWatcher((peer, status, of) -> runTurn(() -> {
            peersChanged = true;
            if (status == MemberStatus.ALIVE) {
                protocol.onPeerReachable(peer);
            }
            return List.of();
        }));
    }

    /** Begins to exchange; links are started by whoever made them. */
    public void start() {
        threads.add(startThread("replica-turn", this::runTimers));
        threads.add(startThread("replica-tell", notifier));
        if (diskWriter != null) {
            threads.add(startThread("replica-disk", diskWriter));
        }
    }

    private static Thread startThread(String name, Runnable body) {
        Thread t = new Thread(body, name);
        t.setDaemon(true);
        t.start();
        return t;
    }

    // ---- turns ----

    /** One step of the protocol under the lock; what it sends goes out without it. */
    private void runTurn(Supplier<List<ReplicationProtocol.Out>> step) {
        List<ReplicationProtocol.Out> messages;
        List<String> alarms;
        monitor.lock();
        try {
            messages = step.get();
            alarms = collectChanges();
        } catch (RuntimeException e) {
            // Guards against a fault here taking a peer's thread, or the process, with it.
            if (failedTurns++ % LOG_EVERY_FAILED == 0) {
                LOG.error("a turn of the replica failed, {} until now", failedTurns, e);
            }
            return;
        } finally {
            monitor.unlock();
        }
        alarms.forEach(LOG::error);
        send(messages);
    }

    private void send(List<ReplicationProtocol.Out> messages) {
        long unsent = messages.stream()
                .filter(message -> !links.send(message.peer(), MessageStream.REPLICA, message.body()))
                .count();
        if (unsent > 0) {
            monitor.locked(() -> unsentMessages += unsent);
        }
    }

    /** Queues what a turn has changed for listeners and the disk, and returns its alarms; with the lock held. */
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

    /** Drives the protocol's timers until the end. */
    private void runTimers() {
        while (!monitor.isClosed()) {
            runTurn(() -> {
                updatePeers();
                return protocol.tick(clock.nowMs());
            });
            monitor.lock();
            try {
                double waitMs = protocol.nextTickMs() - clock.nowMs();
                peersChanged |= links.peers().size() != protocol.configuredPeers();
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
            List<String> all = links.peers().stream().map(Member::name).toList();
            List<String> reachable = all.stream()
                    .filter(peer -> links.status(peer) != MemberStatus.DEAD)
                    .toList();
            protocol.setPeers(all, reachable);
        }
    }

    // ---- for the process ----

    @Override
    public void put(RecordSpace space, String key, byte[] value) {
        byte[] mine = value.clone();
        write(() -> store.put(space, key, mine, clock.nowMs()));
    }

    @Override
    public void remove(RecordSpace space, String key) {
        write(() -> store.remove(space, key, clock.nowMs()));
    }

    @Override
    public void add(RecordSpace space, String key, long by) {
        write(() -> by > 0 ? store.add(space, key, by, clock.nowMs()) : by < 0 && refuse(by));
    }

    private static boolean refuse(long by) {
        throw new IllegalArgumentException("a part of a sum only grows: " + by);
    }

    private void write(Supplier<Boolean> action) {
        monitor.lock();
        try {
            long before = store.appliedSequence(store.localMember(), store.incarnation())
                    .orElse(0);
            if (action.get()) {
                protocol.onLocalWrite(before);
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
    public List<Seen> seen(RecordSpace space) {
        return monitor.locked(() -> store.readAll(space, clock.nowMs()));
    }

    @Override
    public Level level() {
        return monitor.locked(() -> protocol.level(clock.nowMs()));
    }

    @Override
    public void listen(Listener listener) {
        notifier.addListener(listener);
    }

    /** This member's incarnation: greater than that of its links if peers knew a later one. */
    public long life() {
        return monitor.locked(store::incarnation);
    }

    /** This member's last write. */
    public RecordVersion version() {
        return monitor.locked(() -> new RecordVersion(
                store.incarnation(),
                store.appliedSequence(store.localMember(), store.incarnation()).orElse(0)));
    }

    /** The last differences that were found, with both values; what {@code state diff} shows. */
    public List<AntiEntropy.Difference> diff() {
        return monitor.locked(() -> protocol.antiEntropy().recentDifferences());
    }

    /** What is held of each member; what {@code state status} shows. */
    public List<Status> status() {
        Map<String, MemberStatus> standings = new TreeMap<>();
        links.peers().forEach(p -> standings.put(p.name(), links.status(p.name())));
        standings.put(store.localMember(), MemberStatus.ALIVE);
        return monitor.locked(() -> {
            List<Status> all = new ArrayList<>();
            LinkedHashSet<String> names = new LinkedHashSet<>(standings.keySet());
            names.addAll(store.owners());
            for (String n : names) {
                long newest = store.newestIncarnation(n);
                all.add(new Status(
                        n,
                        newest,
                        store.announcedSequence(n),
                        store.appliedSequence(n, newest).orElse(0),
                        store.heartbeatAgeMs(n, clock.nowMs()),
                        standings.getOrDefault(n, MemberStatus.UNKNOWN),
                        store.quarantineReason(n)));
            }
            return all;
        });
    }

    /** What it has done. */
    public Figures figures() {
        return monitor.locked(() -> new Figures(
                protocol.sentBytes(),
                protocol.dropped(),
                unsentMessages,
                protocol.unreadable(),
                protocol.antiEntropy().totalDifferences(),
                store.size(),
                diskWriter != null && diskWriter.isHealthy()));
    }

    /** How many peers have said that they hold all writes of this member up to this one. */
    public int heldBy(RecordVersion version) {
        return monitor.locked(
                () -> version.life() == store.incarnation() ? protocol.peersHolding(version.sequence()) : 0);
    }

    /** Waits until all that was written until now is on the disk; false if the time is over or there is no disk. */
    public boolean awaitDisk(double withinMs) throws InterruptedException {
        return diskWriter != null && diskWriter.awaitFlushed(withinMs);
    }

    @Override
    public void close() {
        monitor.close();
        for (Thread t : threads) {
            try {
                t.join(JOIN_MS);
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
