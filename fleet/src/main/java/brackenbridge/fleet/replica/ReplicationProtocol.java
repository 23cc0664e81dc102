package brackenbridge.fleet.replica;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Which messages go to which peer, and when. Writes are pushed at once: by their owner to each peer in a small fleet;
 * in a large one each member passes news on to a few, once (rumours, Demers et al., Epidemic algorithms for replicated
 * database maintenance, 1987). Beside that every member compares how far it is with others again and again
 * (anti-entropy, the same paper), asks for what it lacks, and compares contents by digests.
 *
 * <p>Times and messages in, messages out. One thread at a time.
 */
public final class ReplicationProtocol {
    private static final int MOST_PENDING = 1024;

    /**
     * A message to send.
     *
     * @param peer to whom
     * @param body the message
     */
    public record Out(String peer, byte[] body) {}

    private static final class Peer {
        long life;
        boolean told;
        long mineHeld;
        double helloAtMs = Double.NEGATIVE_INFINITY;
        Map<Long, Long> mineEnded = Map.of();
        Map<Long, Long> mineEndedNew = new TreeMap<>();
        final Map<CatchUp.Of, ReplicationMessage.Want> pending = new LinkedHashMap<>();
    }

    private final RecordStore store;
    private final ReplicationLimits terms;
    private final SplittableRandom random;
    private final TokenBucket bucket;
    private final CatchUp catchUp;
    private final AntiEntropy differences;
    private final Map<String, Peer> peers = new TreeMap<>();
    private List<String> configured = List.of();
    private List<String> reachable = List.of();
    private final LinkedHashSet<String> waiting = new LinkedHashSet<>();
    private final TreeSet<String> news = new TreeSet<>();
    private final Map<String, Long> advanced = new HashMap<>();
    private final double beganMs;
    private double pushAtMs;
    private double beatAtMs;
    private double helloAtMs = Double.NEGATIVE_INFINITY;
    private double digestAtMs;
    private double foldAtMs;
    private boolean listened;
    private int compareWith;
    private long sentBytes;
    private long dropped;
    private long unreadable;

    /** An exchange for this copy; it begins at this time. */
    public ReplicationProtocol(RecordStore store, ReplicationLimits terms, SplittableRandom random, double nowMs) {
        this.store = store;
        this.terms = terms;
        this.random = random;
        this.bucket = new TokenBucket(terms.bytesASecond());
        this.catchUp = new CatchUp(terms);
        this.differences = new AntiEntropy(store);
        beganMs = nowMs;
        store.startSilently(nowMs);
        pushAtMs = nowMs;
        beatAtMs = nowMs + random.nextDouble() * terms.beatMs();
        digestAtMs = nowMs + (1 + random.nextDouble()) * terms.digestMs();
        foldAtMs = nowMs + 10 * terms.beatMs();
    }

    /** Who there is, and who can be reached as far as is known. */
    public void peers(List<String> all, List<String> reach) {
        configured = List.copyOf(all);
        reachable = List.copyOf(reach);
        peers.keySet().retainAll(configured);
        configured.forEach(p -> peers.computeIfAbsent(p, n -> new Peer()));
    }

    /** A peer can be reached again: how far both are is compared at once. */
    public void linked(String peer) {
        Peer p = peers.get(peer);
        if (p != null) {
            p.helloAtMs = Double.NEGATIVE_INFINITY;
            p.told = false;
            helloAtMs = Double.NEGATIVE_INFINITY;
        }
    }

    /** This member has written. */
    public void wrote(long had) {
        news.add(store.localMember());
        advanced.merge(store.localMember(), had, Math::min);
    }

    /** The next time at which {@link #tick} has something to do. */
    public double nextMs() {
        return Math.min(pushAtMs, beatAtMs);
    }

    // ---- out ----

    /** What is to be sent by now. */
    public List<Out> tick(double nowMs) {
        List<Out> out = new ArrayList<>();
        if ((!listened || nowMs >= helloAtMs) && !reachable.isEmpty()) {
            helloAtMs = nowMs + terms.beatMs();
            hello(nowMs, out);
        }
        if (nowMs >= beatAtMs) {
            beatAtMs = Math.max(beatAtMs + terms.beatMs(), nowMs);
            store.heartbeat();
            news.add(store.localMember());
            store.forgetTombstones(nowMs, terms.removalMs());
            for (String p : some(reachable.size() > terms.mesh() ? 1 : 2)) {
                all(p, true, nowMs, out);
            }
        }
        if (nowMs >= foldAtMs) {
            foldAtMs = nowMs + 10 * terms.beatMs();
            fold(nowMs);
        }
        if (nowMs >= pushAtMs) {
            pushAtMs = Math.max(pushAtMs + terms.pushMs(), nowMs);
            push(nowMs, out);
            ask(nowMs, out);
            serve(nowMs, out);
        }
        if (nowMs >= digestAtMs && listened && !reachable.isEmpty()) {
            digestAtMs = nowMs + terms.digestMs() * (0.75 + 0.5 * random.nextDouble());
            String p = reachable.get(compareWith++ % reachable.size());
            ReplicationMessage.Digests d = differences.next(p);
            if (!d.digests().isEmpty() && bucket.spare(nowMs)) {
                send(p, d, nowMs, out);
            }
        }
        return out;
    }

    private void send(String peer, ReplicationMessage m, double nowMs, List<Out> out) {
        if (!bucket.urgent(nowMs)) {
            dropped++;
            return;
        }
        byte[] body = ReplicationCodec.write(m);
        bucket.spent(body.length);
        sentBytes += body.length;
        out.add(new Out(peer, body));
    }

    /** Asks those who have not told yet what there is. */
    private void hello(double nowMs, List<Out> out) {
        long told = reachable.stream().filter(n -> peers.get(n).told).count();
        boolean large = reachable.size() > terms.mesh();
        int most = large ? 2 * terms.fanOut() : reachable.size();
        if (told < Math.min(most, reachable.size())) {
            int asked = 0;
            int from = random.nextInt(reachable.size());
            for (int i = 0; i < reachable.size() && asked < most; i++) {
                String n = reachable.get((from + i) % reachable.size());
                Peer p = peers.get(n);
                if (!p.told) {
                    asked++;
                    if (p.helloAtMs <= nowMs) {
                        p.helloAtMs = nowMs + terms.beatMs();
                        all(n, true, nowMs, out);
                    }
                }
            }
        }
        if (!listened) {
            // Some that can't be reached are not known as such yet: after a few beats, those who told are enough.
            int enough = large ? 3 : nowMs > beganMs + 3 * terms.beatMs() ? 1 : reachable.size();
            listened = told > 0 && told >= Math.min(reachable.size(), enough);
            if (listened) {
                store.startAnnouncing();
                wrote(0);
            }
        }
    }

    /** All marks there are, in as many messages as it takes. */
    private void all(String peer, boolean ask, double nowMs, List<Out> out) {
        TreeSet<String> names = new TreeSet<>(store.owners());
        if (!listened) {
            // Guards against a life that was used before: nobody tells before it has listened.
            names.remove(store.localMember());
        }
        List<ReplicationMessage.Mark> marks = store.marks(names, nowMs);
        List<ReplicationMessage.Have> ended = store.endedIncarnations();
        int pieces = 1 + Math.max(marks.size(), ended.size()) / ReplicationMessage.MOST;
        for (int i = 0; i < pieces; i++) {
            boolean last = i == pieces - 1;
            send(peer, new ReplicationMessage.Marks(ask && last, last, slice(marks, i), slice(ended, i)), nowMs, out);
        }
    }

    private static <T> List<T> slice(List<T> list, int piece) {
        int from = Math.min(list.size(), piece * ReplicationMessage.MOST);
        return list.subList(from, Math.min(list.size(), from + ReplicationMessage.MOST));
    }

    private List<String> some(int many) {
        if (many >= reachable.size()) {
            return reachable;
        }
        TreeSet<Integer> drawn = new TreeSet<>();
        while (drawn.size() < many) {
            drawn.add(random.nextInt(reachable.size()));
        }
        return drawn.stream().map(reachable::get).toList();
    }

    private void push(double nowMs, List<Out> out) {
        if (!listened || news.isEmpty()) {
            return;
        }
        boolean large = reachable.size() > terms.mesh();
        List<String> of = large
                ? List.copyOf(news)
                : news.contains(store.localMember()) ? List.of(store.localMember()) : List.of();
        if (!of.isEmpty()) {
            if (of.contains(store.localMember()) && advanced.containsKey(store.localMember())) {
                store.heartbeat();
            }
            List<ReplicationMessage> messages = new ArrayList<>();
            List<ReplicationMessage.Mark> marks = store.marks(of, nowMs);
            for (int i = 0; i * ReplicationMessage.MOST < marks.size(); i++) {
                messages.add(new ReplicationMessage.Marks(false, false, slice(marks, i), List.of()));
            }
            for (String o : of) {
                ReplicationMessage.Chunk c = advanced.containsKey(o)
                        ? store.readAfter(o, store.newestIncarnation(o), advanced.get(o), terms.pieceBytes())
                        : null;
                if (c != null) {
                    messages.add(c);
                }
            }
            for (String p : large ? some(terms.fanOut()) : reachable) {
                for (ReplicationMessage m : messages) {
                    send(p, m, nowMs, out);
                }
            }
        }
        news.clear();
        advanced.clear();
    }

    private void ask(double nowMs, List<Out> out) {
        catchUp.due(nowMs)
                .forEach((peer, of) -> send(
                        peer,
                        new ReplicationMessage.Wants(of.stream()
                                .map(o -> store.request(o.owner(), o.life()))
                                .toList()),
                        nowMs,
                        out));
    }

    /** Answers to wants, as far as bytes allow: each peer gets a piece in turn. */
    private void serve(double nowMs, List<Out> out) {
        while (!waiting.isEmpty() && bucket.spare(nowMs)) {
            String n = waiting.iterator().next();
            waiting.remove(n);
            Peer p = peers.get(n);
            if (p == null || p.pending.isEmpty()) {
                continue;
            }
            CatchUp.Of of = p.pending.keySet().iterator().next();
            ReplicationMessage.Chunk c = store.answer(p.pending.remove(of), terms.pieceBytes());
            if (c != null) {
                send(n, c, nowMs, out);
            }
            if (!p.pending.isEmpty()) {
                waiting.add(n);
            }
        }
    }

    /** Folds ended lives of this member once all members were heard to hold as much of them as this one. */
    private void fold(double nowMs) {
        Map<Long, Long> ended = store.endedLocalIncarnations();
        long below = 0;
        for (Map.Entry<Long, Long> e : ended.entrySet()) {
            if (!configured.stream()
                    .allMatch(p -> e.getValue().equals(peers.get(p).mineEnded.get(e.getKey())))) {
                break;
            }
            below = e.getKey() + 1;
        }
        if (below > 0 && catchUp.level(listened, nowMs)) {
            long had = store.appliedSequence(store.localMember(), store.incarnation())
                    .orElse(0);
            if (store.foldCounters(below, nowMs) > 0) {
                wrote(had);
            }
        }
    }

    // ---- in ----

    /**
     * A message has come.
     *
     * @param peer who sent it
     * @param life the life of the sender's process
     * @param body the message
     * @return what is to be sent at once in answer
     */
    public List<Out> took(String peer, long life, byte[] body, double nowMs) {
        List<Out> out = new ArrayList<>();
        Peer p = peers.get(peer);
        // Guards against what an ended process of the peer left on its way.
        if (p == null || life < p.life) {
            return out;
        }
        p.life = life;
        ReplicationMessage m;
        try {
            m = ReplicationCodec.read(body);
        } catch (java.io.IOException e) {
            unreadable++;
            return out;
        }
        if (m instanceof ReplicationMessage.Marks marks) {
            marks(peer, p, marks, nowMs, out);
        } else if (m instanceof ReplicationMessage.Wants wants) {
            for (ReplicationMessage.Want w : wants.wants()) {
                if (p.pending.size() < MOST_PENDING) {
                    p.pending.put(new CatchUp.Of(w.owner(), w.life()), w);
                }
            }
            waiting.add(peer);
            serve(nowMs, out);
        } else if (m instanceof ReplicationMessage.Chunk c) {
            chunk(peer, c, nowMs, out);
        } else if (m instanceof ReplicationMessage.Digests d) {
            answer(peer, differences.took(peer, d), nowMs, out);
        } else if (m instanceof ReplicationMessage.Ranges r) {
            answer(peer, differences.took(peer, r), nowMs, out);
        } else if (m instanceof ReplicationMessage.Copies c) {
            answer(peer, differences.took(peer, c, nowMs), nowMs, out);
        }
        return out;
    }

    private void answer(String peer, List<ReplicationMessage> answers, double nowMs, List<Out> out) {
        for (ReplicationMessage a : answers) {
            if (bucket.spare(nowMs)) {
                send(peer, a, nowMs, out);
            }
        }
    }

    private void marks(String peer, Peer p, ReplicationMessage.Marks m, double nowMs, List<Out> out) {
        for (ReplicationMessage.Mark mark : m.marks()) {
            long newest = store.newestIncarnation(mark.owner());
            if (store.merge(mark, nowMs)) {
                news.add(mark.owner());
            }
            if (mark.life() > newest) {
                catchUp.ended(mark.owner(), mark.life());
                advanced.remove(mark.owner());
            }
            named(peer, mark.owner(), mark.life(), mark.have(), nowMs);
            if (mark.owner().equals(store.localMember()) && mark.life() == store.incarnation()) {
                p.mineHeld = Math.max(p.mineHeld, mark.have());
            }
        }
        for (ReplicationMessage.Have h : m.ended()) {
            named(peer, h.owner(), h.life(), h.have(), nowMs);
            if (h.owner().equals(store.localMember())) {
                p.mineEndedNew.put(h.life(), h.have());
            }
        }
        if (m.whole()) {
            p.told = true;
            p.mineEnded = p.mineEndedNew;
            p.mineEndedNew = new TreeMap<>();
        }
        if (m.ask()) {
            all(peer, false, nowMs, out);
        }
    }

    private void named(String peer, String owner, long life, long have, double nowMs) {
        if (owner.equals(store.localMember()) && life >= store.incarnation()) {
            return;
        }
        CatchUp.Of of = new CatchUp.Of(owner, life);
        long held = store.appliedSequence(owner, life).orElse(0);
        if (life < store.newestIncarnation(owner)) {
            // What remains of an ended life is worth the way only if it was not folded.
            held = store.appliedSequence(owner, life).orElse(life < oldestKept(owner) ? Long.MAX_VALUE : 0);
        }
        catchUp.named(peer, of, have, held, nowMs);
    }

    private long oldestKept(String owner) {
        List<Long> lives = store.incarnations(owner);
        return lives.size() > RecordStore.MAX_ENDED_INCARNATIONS ? lives.get(0) : 0;
    }

    private void chunk(String peer, ReplicationMessage.Chunk c, double nowMs, List<Out> out) {
        long had = store.appliedSequence(c.owner(), c.life()).orElse(0);
        RecordStore.MergeResult t = store.merge(c, nowMs);
        CatchUp.Of of = new CatchUp.Of(c.owner(), c.life());
        if (t == RecordStore.MergeResult.NEW) {
            if (c.life() == store.newestIncarnation(c.owner())) {
                news.add(c.owner());
                advanced.merge(c.owner(), had, Math::min);
            }
            catchUp.held(of, store.appliedSequence(c.owner(), c.life()).orElse(c.to()), nowMs);
            ask(nowMs, out);
        } else if (t == RecordStore.MergeResult.GAP) {
            named(peer, c.owner(), c.life(), c.base() == 0 ? c.to() : c.base(), nowMs);
        } else if (t == RecordStore.MergeResult.KNOWN) {
            catchUp.held(of, Math.max(had, c.life() < store.newestIncarnation(c.owner()) ? c.to() : 0), nowMs);
        }
    }

    // ---- figures ----

    /** How far this member is. */
    public Replica.Level level(double nowMs) {
        return new Replica.Level(
                catchUp.level(listened, nowMs),
                catchUp.behind(),
                differences.open(),
                differences.outOfDecision() || store.quarantineReason(store.localMember()) != null);
    }

    /** The copies that differ. */
    public AntiEntropy differences() {
        return differences;
    }

    /** How many peers there are by the file. */
    int configured() {
        return configured.size();
    }

    /** How many peers have said that they hold this member's writes up to this one. */
    int heldBy(long sequence) {
        return (int) peers.values().stream().filter(p -> p.mineHeld >= sequence).count();
    }

    /** Bytes sent since the start. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Messages that were not sent for want of bytes. */
    public long dropped() {
        return dropped;
    }

    /** Messages that could not be read. */
    public long unreadable() {
        return unreadable;
    }

    @Override
    public String toString() {
        return store.localMember() + ": " + Arrays.toString(new long[] {sentBytes, dropped, unreadable});
    }
}
