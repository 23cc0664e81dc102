package brackenbridge.fleet.replica;

import brackenbridge.clock.Clock;
import brackenbridge.fleet.peer.Member;
import brackenbridge.fleet.peer.MemberStatus;
import brackenbridge.fleet.peer.MessageStream;
import brackenbridge.fleet.peer.PeerLinks;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
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
    private static final long DISK_MS = 50;
    private static final long DISK_AGAIN_MS = 2000;

    /**
     * What a member holds of another; a line of {@code state status}.
     *
     * @param member which
     * @param life its newest life known here
     * @param wrote how many writes it is said to have made in it
     * @param have how many of them are here
     * @param heardMs how long ago it last gave a sign of life, in milliseconds; infinite if never
     * @param standing what links say of it
     * @param aside why its present life was put aside; null if it was not
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

    private record Key(RecordSpace space, String owner, String key) {}

    private final PeerLinks links;
    private final ReplicaDisk disk;
    private final Clock clock;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final Condition ticks = lock.newCondition();
    private final RecordStore store;
    private final ReplicationProtocol exchange;
    private final List<Listener> listeners = new CopyOnWriteArrayList<>();
    private final LinkedHashSet<Key> toTell = new LinkedHashSet<>();
    private final Map<CatchUp.Of, LinkedHashSet<RecordKey>> toWrite = new TreeMap<>();
    private final List<Thread> threads = new ArrayList<>();
    private long diskLife;
    private boolean onDisk;
    private boolean writing;
    private long unsent;
    private long failed;
    private boolean peersChanged = true;
    private volatile boolean closed;

    /**
     * A replica that is not started.
     *
     * @param links links that are not started either
     * @param disk the disk; null for none
     * @param clock the clock
     * @param terms how it exchanges
     * @throws IOException if the disk can be neither read nor begun anew
     */
    public ReplicaNode(PeerLinks links, ReplicaDisk disk, Clock clock, ReplicationLimits terms) throws IOException {
        this.links = links;
        this.disk = disk;
        this.clock = clock;
        long nonce = new java.security.SecureRandom().nextLong() | 1;
        long life = Math.max(links.life(), disk == null ? ReplicaDisk.lifeWithout(clock.nowMs()) : disk.life());
        store = new RecordStore(links.me().name(), life, nonce, true);
        diskLife = disk == null ? life : disk.life();
        onDisk = disk != null;
        if (disk != null) {
            disk.restore(store);
            store.drainChanges();
            writeEverything();
        }
        exchange = new ReplicationProtocol(store, terms, new SplittableRandom(nonce), clock.nowMs());
        links.receive(
                MessageStream.REPLICA, (peer, of, body) -> turn(() -> exchange.took(peer, of, body, clock.nowMs())));
        links.watch((peer, standing, of) -> turn(() -> {
            peersChanged = true;
            if (standing == MemberStatus.ALIVE) {
                exchange.linked(peer);
            }
            return List.of();
        }));
    }

    /** Begins to exchange; links are started by whoever made them. */
    public void start() {
        threads.add(thread("replica-turn", this::turns));
        threads.add(thread("replica-tell", this::tells));
        if (disk != null) {
            threads.add(thread("replica-disk", this::writes));
        }
    }

    private static Thread thread(String name, Runnable body) {
        Thread t = new Thread(body, name);
        t.setDaemon(true);
        t.start();
        return t;
    }

    // ---- turns ----

    private void turn(Supplier<List<ReplicationProtocol.Out>> what) {
        List<ReplicationProtocol.Out> out;
        List<String> alarms;
        lock.lock();
        try {
            out = what.get();
            alarms = settle();
        } catch (RuntimeException e) {
            // Guards against a fault here taking a peer's thread, or the process, with it.
            if (failed++ % 1000 == 0) {
                LOG.error("a turn of the replica failed, {} until now", failed, e);
            }
            return;
        } finally {
            lock.unlock();
        }
        alarms.forEach(LOG::error);
        long lost = out.stream()
                .filter(o -> !links.send(o.peer(), MessageStream.REPLICA, o.body()))
                .count();
        if (lost > 0) {
            lock.lock();
            try {
                unsent += lost;
            } finally {
                lock.unlock();
            }
        }
    }

    /** Takes note of what a turn has changed; with the lock held. */
    private List<String> settle() {
        boolean listens = !listeners.isEmpty();
        for (RecordTable.Change t : store.drainChanges()) {
            LinkedHashSet<RecordKey> items = disk == null
                    ? null
                    : toWrite.computeIfAbsent(new CatchUp.Of(t.owner(), t.incarnation()), k -> new LinkedHashSet<>());
            if (t.key() != null) {
                if (items != null) {
                    items.add(t.key());
                }
                if (listens) {
                    toTell.add(new Key(t.key().space(), t.owner(), t.key().key()));
                }
            }
        }
        changed.signalAll();
        List<String> alarms = new ArrayList<>(store.drainAlarms());
        alarms.addAll(exchange.differences().alarms());
        return alarms;
    }

    private void turns() {
        while (!closed) {
            turn(() -> {
                if (peersChanged) {
                    peersChanged = false;
                    List<String> all = links.peers().stream().map(Member::name).toList();
                    exchange.peers(
                            all,
                            all.stream()
                                    .filter(p -> links.standing(p) != MemberStatus.GONE)
                                    .toList());
                }
                return exchange.tick(clock.nowMs());
            });
            lock.lock();
            try {
                double waitMs = exchange.nextMs() - clock.nowMs();
                peersChanged |= links.peers().size() != exchange.configured();
                if (waitMs > 0 && !closed) {
                    tickWait((long) (Math.min(waitMs, 50) * 1e6));
                }
            } catch (InterruptedException e) {
                return;
            } finally {
                lock.unlock();
            }
        }
    }

    private void tickWait(long nanos) throws InterruptedException {
        long left = nanos;
        while (left > 0 && !closed) {
            left = ticks.awaitNanos(left);
        }
    }

    private void tells() {
        while (!closed) {
            Map<Key, Seen> tell = new LinkedHashMap<>();
            lock.lock();
            try {
                while (toTell.isEmpty() && !closed) {
                    changed.await();
                }
                double now = clock.nowMs();
                toTell.forEach(k -> tell.put(k, store.read(k.owner(), k.space(), k.key(), now)));
                toTell.clear();
            } catch (InterruptedException e) {
                return;
            } finally {
                lock.unlock();
            }
            tell.forEach((k, seen) -> listeners.forEach(l -> {
                try {
                    l.changed(k.space(), k.owner(), k.key(), seen);
                } catch (RuntimeException e) {
                    LOG.error("a listener failed on {}", k, e);
                }
            }));
        }
    }

    // ---- disk ----

    private void writes() {
        while (!closed) {
            lock.lock();
            try {
                while (toWrite.isEmpty() && !closed) {
                    changed.await();
                }
                // What changes within a moment is written together.
                tickWait(DISK_MS * 1_000_000);
            } catch (InterruptedException e) {
                return;
            } finally {
                lock.unlock();
            }
            if (!flush()) {
                lock.lock();
                try {
                    tickWait(DISK_AGAIN_MS * 1_000_000);
                } catch (InterruptedException e) {
                    return;
                } finally {
                    lock.unlock();
                }
            }
        }
    }

    /** All there is, is to be written; with the lock held. */
    private void writeEverything() {
        for (String owner : store.owners()) {
            for (long life : store.incarnations(owner)) {
                LinkedHashSet<RecordKey> items =
                        toWrite.computeIfAbsent(new CatchUp.Of(owner, life), k -> new LinkedHashSet<>());
                store.all(owner, life).forEach(e -> items.add(e.item()));
            }
        }
    }

    private boolean flush() {
        Map<CatchUp.Of, LinkedHashSet<RecordKey>> taken;
        List<ReplicaDisk.Batch> batches = new ArrayList<>();
        Map<CatchUp.Of, Integer> sizes = new TreeMap<>();
        long life;
        lock.lock();
        try {
            life = store.incarnation();
            if (disk.wantsAll()) {
                // Whatever the file had may be lost with what failed.
                writeEverything();
            }
            taken = new TreeMap<>(toWrite);
            toWrite.clear();
            writing = true;
            taken.forEach((of, items) -> {
                List<ReplicatedRecord> entries = new ArrayList<>();
                List<RecordKey> gone = new ArrayList<>();
                for (RecordKey i : items) {
                    ReplicatedRecord e = store.record(of.owner(), of.life(), i);
                    if (e == null) {
                        gone.add(i);
                    } else {
                        entries.add(e);
                    }
                }
                boolean there = store.incarnations(of.owner()).contains(of.life());
                sizes.put(of, store.size(of.owner(), of.life()));
                batches.add(new ReplicaDisk.Batch(
                        of.owner(),
                        of.life(),
                        there ? store.appliedSequence(of.owner(), of.life()).orElse(0) : null,
                        store.tombstoneFloor(of.owner(), of.life()),
                        entries,
                        gone));
            });
        } finally {
            lock.unlock();
        }
        boolean ok = false;
        try {
            if (life > diskLife) {
                disk.took(life);
                diskLife = life;
            }
            disk.write(batches, sizes);
            ok = true;
        } catch (IOException | RuntimeException e) {
            if (onDisk) {
                LOG.error("the disk does not take the replica, memory goes on: {}", e.getMessage());
            }
        }
        lock.lock();
        try {
            if (ok && !onDisk) {
                LOG.warn("the disk takes the replica again");
            }
            onDisk = ok;
            writing = false;
            if (!ok) {
                taken.forEach((of, items) ->
                        toWrite.computeIfAbsent(of, k -> new LinkedHashSet<>()).addAll(items));
            }
            changed.signalAll();
        } finally {
            lock.unlock();
        }
        return ok;
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

    private void write(Supplier<Boolean> what) {
        lock.lock();
        try {
            long had = store.appliedSequence(store.localMember(), store.incarnation())
                    .orElse(0);
            if (what.get()) {
                exchange.wrote(had);
                settle().forEach(LOG::error);
            }
        } finally {
            lock.unlock();
        }
    }

    private <T> T locked(Supplier<T> what) {
        lock.lock();
        try {
            return what.get();
        } finally {
            lock.unlock();
        }
    }

    @Override
    public long sum(RecordSpace space, String key) {
        return locked(() -> store.sum(space, key));
    }

    @Override
    public List<Seen> seen(RecordSpace space) {
        return locked(() -> store.readAll(space, clock.nowMs()));
    }

    @Override
    public Level level() {
        return locked(() -> exchange.level(clock.nowMs()));
    }

    @Override
    public void listen(Listener listener) {
        listeners.add(listener);
    }

    /** This member's life: greater than that of its links if peers knew a later one. */
    public long life() {
        return locked(store::incarnation);
    }

    /** This member's last write. */
    public RecordVersion version() {
        return locked(() -> new RecordVersion(
                store.incarnation(),
                store.appliedSequence(store.localMember(), store.incarnation()).orElse(0)));
    }

    /** The last differences that were found, with both values; what {@code state diff} shows. */
    public List<AntiEntropy.Difference> diff() {
        return locked(() -> exchange.differences().found());
    }

    /** What is held of each member; what {@code state status} shows. */
    public List<Status> status() {
        Map<String, MemberStatus> standings = new TreeMap<>();
        links.peers().forEach(p -> standings.put(p.name(), links.standing(p.name())));
        standings.put(store.localMember(), MemberStatus.ALIVE);
        return locked(() -> {
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
        return locked(() -> new Figures(
                exchange.sentBytes(),
                exchange.dropped(),
                unsent,
                exchange.unreadable(),
                exchange.differences().total(),
                store.size(),
                onDisk));
    }

    /** How many peers have said that they hold all writes of this member up to this one. */
    public int heldBy(RecordVersion version) {
        return locked(() -> version.life() == store.incarnation() ? exchange.heldBy(version.sequence()) : 0);
    }

    /** Waits until all that was written until now is on the disk; false if the time is over or there is no disk. */
    public boolean awaitDisk(double withinMs) throws InterruptedException {
        lock.lock();
        try {
            long left = (long) (withinMs * 1e6);
            while ((!toWrite.isEmpty() || writing) && left > 0 && disk != null) {
                left = changed.awaitNanos(left);
            }
            return disk != null && toWrite.isEmpty() && !writing && onDisk;
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void close() {
        lock.lock();
        try {
            closed = true;
            changed.signalAll();
            ticks.signalAll();
        } finally {
            lock.unlock();
        }
        for (Thread t : threads) {
            try {
                t.join(2000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (disk != null) {
            flush();
            disk.close();
        }
    }
}
