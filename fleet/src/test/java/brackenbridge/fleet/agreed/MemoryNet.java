package brackenbridge.fleet.agreed;

import brackenbridge.fleet.peer.Member;
import brackenbridge.fleet.peer.MemberStatus;
import brackenbridge.fleet.peer.MessageStream;
import brackenbridge.fleet.peer.PeerLinks;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Links within one process, with faults: loss, repetition, delay and partition. */
final class MemoryNet implements AutoCloseable {
    private final Map<String, Ends> ends = new ConcurrentHashMap<>();
    private final List<Member> members = new ArrayList<>();
    private final ScheduledExecutorService wire = Executors.newSingleThreadScheduledExecutor();
    private final AtomicLong lives = new AtomicLong();
    private final Random random;
    private volatile Set<String> cut = Set.of();
    private volatile double loss;
    private volatile double twice;
    private volatile int delayUs = 300;

    MemoryNet(int n, long seed) {
        random = new Random(seed);
        for (int i = 0; i < n; i++) {
            members.add(new Member("m" + i, "127.0.0.1:0", "z"));
        }
    }

    List<Member> members() {
        return members;
    }

    /** Links of a member's new life. */
    PeerLinks links(String name) {
        Ends e = new Ends(
                members.stream().filter(m -> m.name().equals(name)).findFirst().orElseThrow());
        ends.put(name, e);
        return e;
    }

    /** Nothing passes between these and the others, either way. */
    void cut(String... names) {
        cut = Set.copyOf(List.of(names));
    }

    /** Parts of messages that are lost or come twice, and how late they are at the most. */
    void faults(double lost, double repeated, int delayedUs) {
        loss = lost;
        twice = repeated;
        delayUs = delayedUs;
    }

    @Override
    public void close() {
        wire.shutdownNow();
        new HashSet<>(ends.values()).forEach(Ends::close);
    }

    private final class Ends implements PeerLinks {
        private final Member me;
        private final long life = lives.incrementAndGet();
        private final ExecutorService thread = Executors.newSingleThreadExecutor();
        private final Map<MessageStream, Receiver> receivers = new ConcurrentHashMap<>();

        Ends(Member me) {
            this.me = me;
        }

        @Override
        public Member self() {
            return me;
        }

        @Override
        public long incarnation() {
            return life;
        }

        @Override
        public List<Member> peers() {
            return members.stream().filter(m -> !m.equals(me)).toList();
        }

        @Override
        public MemberStatus status(String peer) {
            return MemberStatus.ALIVE;
        }

        @Override
        public boolean send(String peer, MessageStream stream, byte[] body) {
            int copies;
            long us;
            synchronized (random) {
                copies = random.nextDouble() < loss ? 0 : random.nextDouble() < twice ? 2 : 1;
                us = random.nextInt(delayUs);
            }
            for (int i = 0; i < copies; i++) {
                try {
                    wire.schedule(() -> arrives(peer, stream, body), us + i * 20_000L, TimeUnit.MICROSECONDS);
                } catch (RejectedExecutionException e) {
                    return false;
                }
            }
            return true;
        }

        private void arrives(String peer, MessageStream stream, byte[] body) {
            Ends to = ends.get(peer);
            if (to == null || cut.contains(peer) != cut.contains(me.name())) {
                return;
            }
            try {
                to.thread.execute(() -> to.receivers.get(stream).onMessage(me.name(), life, body));
            } catch (RejectedExecutionException e) {
                // It has ended: lost, as on a broken link.
                return;
            }
        }

        @Override
        public void setReceiver(MessageStream stream, Receiver receiver) {
            receivers.put(stream, receiver);
        }

        @Override
        public void addWatcher(Watcher watcher) {}

        @Override
        public void start() {}

        @Override
        public void close() {
            ends.remove(me.name(), this);
            thread.shutdownNow();
        }
    }
}
