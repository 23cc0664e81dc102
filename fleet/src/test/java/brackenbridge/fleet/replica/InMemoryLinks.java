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

/** Peer links in memory with faults: lost and duplicated messages, blocked directions, stopped members. */
final class InMemoryLinks implements AutoCloseable {
    private final Map<String, MemberLinks> links = new ConcurrentHashMap<>();
    private final Set<String> blockedLinks = ConcurrentHashMap.newKeySet();
    private final List<String> memberNames;
    private final SplittableRandom random = new SplittableRandom(7);
    private volatile double lossRate;
    private volatile double duplicationRate;

    InMemoryLinks(String... names) {
        this.memberNames = List.of(names);
    }

    void setFaults(double lossProbability, double duplicationProbability) {
        lossRate = lossProbability;
        duplicationRate = duplicationProbability;
    }

    /** Blocks messages in one direction. */
    void blockLink(String sender, String receiver) {
        blockedLinks.add(sender + ">" + receiver);
    }

    void restoreLinks() {
        blockedLinks.clear();
    }

    private synchronized boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    /** Creates the links of a new process under this name, and closes those of the previous one. */
    MemberLinks connect(String name, long incarnation) {
        MemberLinks link = new MemberLinks(name, incarnation);
        MemberLinks previous = links.put(name, link);
        if (previous != null) {
            previous.close();
        }
        return link;
    }

    @Override
    public void close() {
        links.values().forEach(MemberLinks::close);
    }

    /** The links of one process of a member. */
    final class MemberLinks implements PeerLinks {
        private final String name;
        private final long incarnation;
        private final ExecutorService thread = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "in-memory-link");
            thread.setDaemon(true);
            return thread;
        });
        private volatile Receiver receiver;
        private final List<Watcher> watchers = new ArrayList<>();

        private MemberLinks(String name, long incarnation) {
            this.name = name;
            this.incarnation = incarnation;
        }

        @Override
        public Member self() {
            return new Member(name, "127.0.0.1:1", "z");
        }

        @Override
        public long incarnation() {
            return incarnation;
        }

        @Override
        public List<Member> peers() {
            return memberNames.stream()
                    .filter(peer -> !peer.equals(name))
                    .map(peer -> new Member(peer, "127.0.0.1:1", "z"))
                    .toList();
        }

        @Override
        public MemberStatus status(String peer) {
            return links.containsKey(peer) ? MemberStatus.ALIVE : MemberStatus.DEAD;
        }

        @Override
        public boolean send(String peer, MessageStream stream, byte[] body) {
            MemberLinks target = links.get(peer);
            if (target == null || blockedLinks.contains(name + ">" + peer) || chance(lossRate)) {
                return target != null;
            }
            target.deliver(name, incarnation, body);
            if (chance(duplicationRate)) {
                target.deliver(name, incarnation, body);
            }
            return true;
        }

        private void deliver(String sender, long senderIncarnation, byte[] body) {
            if (!thread.isShutdown()) {
                try {
                    thread.execute(() -> {
                        if (receiver != null) {
                            receiver.onMessage(sender, senderIncarnation, body);
                        }
                    });
                } catch (java.util.concurrent.RejectedExecutionException e) {
                    // The process ended while the message was delivered, so that it is lost.
                    return;
                }
            }
        }

        @Override
        public void setReceiver(MessageStream stream, Receiver messageReceiver) {
            receiver = messageReceiver;
        }

        @Override
        public void addWatcher(Watcher watcher) {
            watchers.add(watcher);
        }

        @Override
        public void start() {
            memberNames.stream().filter(peer -> !peer.equals(name)).forEach(peer -> {
                MemberLinks link = links.get(peer);
                if (link != null) {
                    link.watchers.forEach(watcher -> watcher.onStatus(name, MemberStatus.ALIVE, incarnation));
                }
            });
        }

        @Override
        public void close() {
            links.remove(name, this);
            thread.shutdownNow();
        }
    }
}
