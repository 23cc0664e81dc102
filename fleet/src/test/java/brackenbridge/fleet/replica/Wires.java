package brackenbridge.fleet.replica;

import brackenbridge.fleet.peer.Member;
import brackenbridge.fleet.peer.MemberStatus;
import brackenbridge.fleet.peer.MessageStream;
import brackenbridge.fleet.peer.PeerLinks;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Links in memory, with faults: lost and repeated messages, cut ways, members that are gone. */
final class Wires implements AutoCloseable {
    private final Map<String, End> ends = new ConcurrentHashMap<>();
    private final Set<String> cut = ConcurrentHashMap.newKeySet();
    private final List<String> names;
    private final SplittableRandom random = new SplittableRandom(7);
    private volatile double lost;
    private volatile double repeated;

    Wires(String... names) {
        this.names = List.of(names);
    }

    void faults(double lostPart, double repeatedPart) {
        lost = lostPart;
        repeated = repeatedPart;
    }

    void cut(String from, String to) {
        cut.add(from + ">" + to);
    }

    void mend() {
        cut.clear();
    }

    private synchronized boolean draw(double part) {
        return random.nextDouble() < part;
    }

    /** A new process under this name; the one before it is gone. */
    End end(String name, long life) {
        End e = new End(name, life);
        End before = ends.put(name, e);
        if (before != null) {
            before.close();
        }
        return e;
    }

    @Override
    public void close() {
        ends.values().forEach(End::close);
    }

    final class End implements PeerLinks {
        private final String name;
        private final long life;
        private final ExecutorService thread = Executors.newSingleThreadExecutor(r -> {
            Thread t = new Thread(r, "wire");
            t.setDaemon(true);
            return t;
        });
        private volatile Receiver receiver;
        private final List<Watcher> watchers = new ArrayList<>();

        private End(String name, long life) {
            this.name = name;
            this.life = life;
        }

        @Override
        public Member self() {
            return new Member(name, "127.0.0.1:1", "z");
        }

        @Override
        public long incarnation() {
            return life;
        }

        @Override
        public List<Member> peers() {
            return names.stream()
                    .filter(n -> !n.equals(name))
                    .map(n -> new Member(n, "127.0.0.1:1", "z"))
                    .toList();
        }

        @Override
        public MemberStatus status(String peer) {
            return ends.containsKey(peer) ? MemberStatus.ALIVE : MemberStatus.DEAD;
        }

        @Override
        public boolean send(String peer, MessageStream stream, byte[] body) {
            End to = ends.get(peer);
            if (to == null || cut.contains(name + ">" + peer) || draw(lost)) {
                return to != null;
            }
            to.deliver(name, life, body);
            if (draw(repeated)) {
                to.deliver(name, life, body);
            }
            return true;
        }

        private void deliver(String from, long of, byte[] body) {
            if (!thread.isShutdown()) {
                try {
                    thread.execute(() -> {
                        if (receiver != null) {
                            receiver.onMessage(from, of, body);
                        }
                    });
                } catch (java.util.concurrent.RejectedExecutionException e) {
                    // The process ended as the message came: it is lost.
                    return;
                }
            }
        }

        @Override
        public void setReceiver(MessageStream stream, Receiver r) {
            receiver = r;
        }

        @Override
        public void addWatcher(Watcher w) {
            watchers.add(w);
        }

        @Override
        public void start() {
            names.stream().filter(n -> !n.equals(name)).forEach(n -> {
                End e = ends.get(n);
                if (e != null) {
                    e.watchers.forEach(w -> w.onStatus(name, MemberStatus.ALIVE, life));
                }
            });
        }

        @Override
        public void close() {
            ends.remove(name, this);
            thread.shutdownNow();
        }
    }
}
