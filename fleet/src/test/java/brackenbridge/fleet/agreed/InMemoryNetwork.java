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

/** Links within one process, with injected loss, duplication, delay and partitions. */
final class InMemoryNetwork implements AutoCloseable {
    private final Map<String, InMemoryLinks> linksByMember = new ConcurrentHashMap<>();
    private final List<Member> members = new ArrayList<>();
    private final ScheduledExecutorService deliveries = Executors.newSingleThreadScheduledExecutor();
    private final AtomicLong lastIncarnation = new AtomicLong();
    private final Random random;
    private volatile Set<String> partitioned = Set.of();
    private volatile double lossRate;
    private volatile double duplicateRate;
    private volatile int maxDelayUs = 300;

    InMemoryNetwork(int count, long seed) {
        random = new Random(seed);
        for (int i = 0; i < count; i++) {
            members.add(new Member("m" + i, "127.0.0.1:0", "z"));
        }
    }

    List<Member> members() {
        return members;
    }

    /** Creates the links of a new incarnation of a member. */
    PeerLinks links(String name) {
        InMemoryLinks links = new InMemoryLinks(members.stream()
                .filter(member -> member.name().equals(name))
                .findFirst()
                .orElseThrow());
        linksByMember.put(name, links);
        return links;
    }

    /** Drops all messages between these members and the others, in both directions. */
    void partition(String... names) {
        partitioned = Set.copyOf(List.of(names));
    }

    /** Sets the rates of lost and duplicated messages and the maximum delay. */
    void setFaults(double newLossRate, double newDuplicateRate, int newMaxDelayUs) {
        lossRate = newLossRate;
        duplicateRate = newDuplicateRate;
        maxDelayUs = newMaxDelayUs;
    }

    @Override
    public void close() {
        deliveries.shutdownNow();
        new HashSet<>(linksByMember.values()).forEach(InMemoryLinks::close);
    }

    private final class InMemoryLinks implements PeerLinks {
        private final Member me;
        private final long incarnation = lastIncarnation.incrementAndGet();
        private final ExecutorService thread = Executors.newSingleThreadExecutor();
        private final Map<MessageStream, Receiver> receivers = new ConcurrentHashMap<>();

        InMemoryLinks(Member me) {
            this.me = me;
        }

        @Override
        public Member self() {
            return me;
        }

        @Override
        public long incarnation() {
            return incarnation;
        }

        @Override
        public List<Member> peers() {
            return members.stream().filter(member -> !member.equals(me)).toList();
        }

        @Override
        public MemberStatus status(String peer) {
            return MemberStatus.ALIVE;
        }

        @Override
        public boolean send(String peer, MessageStream stream, byte[] body) {
            int copies;
            long delayUs;
            synchronized (random) {
                copies = random.nextDouble() < lossRate ? 0 : random.nextDouble() < duplicateRate ? 2 : 1;
                delayUs = random.nextInt(maxDelayUs);
            }
            for (int i = 0; i < copies; i++) {
                try {
                    deliveries.schedule(
                            () -> deliver(peer, stream, body), delayUs + i * 20_000L, TimeUnit.MICROSECONDS);
                } catch (RejectedExecutionException links) {
                    return false;
                }
            }
            return true;
        }

        private void deliver(String peer, MessageStream stream, byte[] body) {
            InMemoryLinks target = linksByMember.get(peer);
            if (target == null || partitioned.contains(peer) != partitioned.contains(me.name())) {
                return;
            }
            try {
                target.thread.execute(() -> target.receivers.get(stream).onMessage(me.name(), incarnation, body));
            } catch (RejectedExecutionException links) {
                // The receiver has stopped: the message is lost, as on a broken link.
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
            linksByMember.remove(me.name(), this);
            thread.shutdownNow();
        }
    }
}
