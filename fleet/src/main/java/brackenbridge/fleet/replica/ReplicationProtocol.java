package brackenbridge.fleet.replica;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
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
    /** Requests of one peer that wait for an answer, at the most. */
    private static final int MAX_PENDING_REQUESTS = 1024;
    /** Between two attempts to fold ended incarnations, in heartbeats. */
    private static final int FOLD_HEARTBEATS = 10;
    /** After so many heartbeats one full list is enough to begin with. */
    private static final int PATIENT_HEARTBEATS = 3;
    /** Full lists that are enough to begin with in a large fleet. */
    private static final int LISTS_IN_LARGE_FLEET = 3;

    /**
     * A message to send.
     *
     * @param peer to whom
     * @param body the message
     */
    public record OutgoingMessage(String peer, byte[] body) {}

    private final RecordStore store;
    private final ReplicationLimits limits;
    private final SplittableRandom random;
    private final TokenBucket bucket;
    private final CatchUp catchUp;
    private final AntiEntropy antiEntropy;
    private final Map<String, PeerProgress> peers = new TreeMap<>();
    private List<String> configured = List.of();
    private List<String> reachable = List.of();
    private final LinkedHashSet<String> requesters = new LinkedHashSet<>();
    private final TreeSet<String> changedOwners = new TreeSet<>();
    private final Map<String, Long> pushAfter = new HashMap<>();
    private final double beganMs;
    private double pushAtMs;
    private double beatAtMs;
    private double listRequestAtMs = Double.NEGATIVE_INFINITY;
    private double digestAtMs;
    private double foldAtMs;
    /** Whether enough peers have listed all their marks; this member announces nothing before. */
    private boolean initialized;

    private int compareWith;
    private long sentBytes;
    private long throttledMessages;
    private long malformedMessages;

    /** A protocol for this copy; it begins at this time, in milliseconds. */
    public ReplicationProtocol(RecordStore store, ReplicationLimits limits, SplittableRandom random, double nowMs) {
        this.store = store;
        this.limits = limits;
        this.random = random;
        this.bucket = new TokenBucket(limits.bytesPerSecond());
        this.catchUp = new CatchUp(limits);
        this.antiEntropy = new AntiEntropy(store);
        beganMs = nowMs;
        store.startSilently(nowMs);
        pushAtMs = nowMs;
        beatAtMs = nowMs + random.nextDouble() * limits.heartbeatIntervalMs();
        digestAtMs = nowMs + (1 + random.nextDouble()) * limits.digestIntervalMs();
        foldAtMs = nowMs + FOLD_HEARTBEATS * limits.heartbeatIntervalMs();
    }

    /**
     * Sets the peers.
     *
     * @param all peers by the configuration
     * @param reach those that can be reached, as far as is known
     */
    public void setPeers(List<String> all, List<String> reach) {
        configured = List.copyOf(all);
        reachable = List.copyOf(reach);
        peers.keySet().retainAll(configured);
        configured.forEach(p -> peers.computeIfAbsent(p, n -> new PeerProgress()));
    }

    /** A peer can be reached again: positions of logs are compared with it at once. */
    public void onPeerReachable(String peer) {
        PeerProgress p = peers.get(peer);
        if (p != null) {
            p.listRequestAtMs = Double.NEGATIVE_INFINITY;
            p.hasListedAll = false;
            listRequestAtMs = Double.NEGATIVE_INFINITY;
        }
    }

    /**
     * This member has written.
     *
     * @param had the sequence number before the writes
     */
    public void onLocalWrite(long had) {
        changedOwners.add(store.localMember());
        pushAfter.merge(store.localMember(), had, Math::min);
    }

    /** The next time at which {@link #tick} has something to do, in milliseconds. */
    public double nextTickMs() {
        return Math.min(pushAtMs, beatAtMs);
    }

    // ---- out ----

    /** What is to be sent by now. */
    public List<OutgoingMessage> tick(double nowMs) {
        List<OutgoingMessage> out = new ArrayList<>();
        if ((!initialized || nowMs >= listRequestAtMs) && !reachable.isEmpty()) {
            listRequestAtMs = nowMs + limits.heartbeatIntervalMs();
            requestLists(nowMs, out);
        }
        if (nowMs >= beatAtMs) {
            beatAtMs = Math.max(beatAtMs + limits.heartbeatIntervalMs(), nowMs);
            store.incrementHeartbeat();
            changedOwners.add(store.localMember());
            store.forgetTombstones(nowMs, limits.tombstoneRetentionMs());
            for (String p : samplePeers(reachable.size() > limits.maxMeshPeers() ? 1 : 2)) {
                sendMarks(p, true, nowMs, out);
            }
        }
        if (nowMs >= foldAtMs) {
            foldAtMs = nowMs + FOLD_HEARTBEATS * limits.heartbeatIntervalMs();
            foldEndedIncarnations(nowMs);
        }
        if (nowMs >= pushAtMs) {
            pushAtMs = Math.max(pushAtMs + limits.pushIntervalMs(), nowMs);
            push(nowMs, out);
            requestMissing(nowMs, out);
            answerRequests(nowMs, out);
        }
        if (nowMs >= digestAtMs && initialized && !reachable.isEmpty()) {
            digestAtMs = nowMs + limits.digestIntervalMs() * (0.75 + 0.5 * random.nextDouble());
            String p = reachable.get(compareWith++ % reachable.size());
            ReplicationMessage.LogDigests d = antiEntropy.nextDigests(p);
            if (!d.digests().isEmpty() && bucket.canSendDeferrable(nowMs)) {
                send(p, d, nowMs, out);
            }
        }
        return out;
    }

    private void send(String peer, ReplicationMessage m, double nowMs, List<OutgoingMessage> out) {
        if (!bucket.canSendUrgent(nowMs)) {
            throttledMessages++;
            return;
        }
        byte[] body = ReplicationCodec.write(m);
        bucket.consume(body.length);
        sentBytes += body.length;
        out.add(new OutgoingMessage(peer, body));
    }

    /** Requests full lists of marks from peers that have not sent one yet. */
    private void requestLists(double nowMs, List<OutgoingMessage> out) {
        long told = reachable.stream().filter(n -> peers.get(n).hasListedAll).count();
        boolean large = reachable.size() > limits.maxMeshPeers();
        int most = large ? 2 * limits.fanOut() : reachable.size();
        if (told < Math.min(most, reachable.size())) {
            int asked = 0;
            int from = random.nextInt(reachable.size());
            for (int i = 0; i < reachable.size() && asked < most; i++) {
                String n = reachable.get((from + i) % reachable.size());
                PeerProgress p = peers.get(n);
                if (!p.hasListedAll) {
                    asked++;
                    if (p.listRequestAtMs <= nowMs) {
                        p.listRequestAtMs = nowMs + limits.heartbeatIntervalMs();
                        sendMarks(n, true, nowMs, out);
                    }
                }
            }
        }
        if (!initialized) {
            // Some that can't be reached are not known as such yet: after a few heartbeats, those who answered are
            // enough.
            int enough = large
                    ? LISTS_IN_LARGE_FLEET
                    : nowMs > beganMs + PATIENT_HEARTBEATS * limits.heartbeatIntervalMs() ? 1 : reachable.size();
            initialized = told > 0 && told >= Math.min(reachable.size(), enough);
            if (initialized) {
                store.startAnnouncing();
                onLocalWrite(0);
            }
        }
    }

    /** All marks there are, in as many messages as it takes. */
    private void sendMarks(String peer, boolean ask, double nowMs, List<OutgoingMessage> out) {
        TreeSet<String> names = new TreeSet<>(store.owners());
        if (!initialized) {
            // Guards against an incarnation that was used before: nobody announces itself before it has heard the
            // others.
            names.remove(store.localMember());
        }
        List<ReplicationMessage.OwnerSummary> marks = store.summaries(names, nowMs);
        List<ReplicationMessage.EndedLog> ended = store.endedLogs();
        int pieces = 1 + Math.max(marks.size(), ended.size()) / ReplicationMessage.MAX_LIST_SIZE;
        for (int i = 0; i < pieces; i++) {
            boolean last = i == pieces - 1;
            send(
                    peer,
                    new ReplicationMessage.OwnerSummaries(ask && last, last, slice(marks, i), slice(ended, i)),
                    nowMs,
                    out);
        }
    }

    private static <T> List<T> slice(List<T> list, int piece) {
        int from = Math.min(list.size(), piece * ReplicationMessage.MAX_LIST_SIZE);
        return list.subList(from, Math.min(list.size(), from + ReplicationMessage.MAX_LIST_SIZE));
    }

    private List<String> samplePeers(int many) {
        if (many >= reachable.size()) {
            return reachable;
        }
        TreeSet<Integer> drawn = new TreeSet<>();
        while (drawn.size() < many) {
            drawn.add(random.nextInt(reachable.size()));
        }
        return drawn.stream().map(reachable::get).toList();
    }

    private void push(double nowMs, List<OutgoingMessage> out) {
        if (!initialized || changedOwners.isEmpty()) {
            return;
        }
        boolean large = reachable.size() > limits.maxMeshPeers();
        List<String> of = large
                ? List.copyOf(changedOwners)
                : changedOwners.contains(store.localMember()) ? List.of(store.localMember()) : List.of();
        if (!of.isEmpty()) {
            if (of.contains(store.localMember()) && pushAfter.containsKey(store.localMember())) {
                store.incrementHeartbeat();
            }
            List<ReplicationMessage> messages = new ArrayList<>();
            List<ReplicationMessage.OwnerSummary> marks = store.summaries(of, nowMs);
            for (int i = 0; i * ReplicationMessage.MAX_LIST_SIZE < marks.size(); i++) {
                messages.add(new ReplicationMessage.OwnerSummaries(false, false, slice(marks, i), List.of()));
            }
            for (String o : of) {
                ReplicationMessage.LogChunk c = pushAfter.containsKey(o)
                        ? store.readAfter(o, store.newestIncarnation(o), pushAfter.get(o), limits.chunkBytes())
                        : null;
                if (c != null) {
                    messages.add(c);
                }
            }
            for (String p : large ? samplePeers(limits.fanOut()) : reachable) {
                for (ReplicationMessage m : messages) {
                    send(p, m, nowMs, out);
                }
            }
        }
        changedOwners.clear();
        pushAfter.clear();
    }

    private void requestMissing(double nowMs, List<OutgoingMessage> out) {
        catchUp.dueRequests(nowMs)
                .forEach((peer, of) -> send(
                        peer,
                        new ReplicationMessage.LogRequests(of.stream()
                                .map(o -> store.createRequest(o.owner(), o.incarnation()))
                                .toList()),
                        nowMs,
                        out));
    }

    /** Answers requests as far as the rate limit allows: each peer gets a piece in turn. */
    private void answerRequests(double nowMs, List<OutgoingMessage> out) {
        while (!requesters.isEmpty() && bucket.canSendDeferrable(nowMs)) {
            String n = requesters.iterator().next();
            requesters.remove(n);
            PeerProgress p = peers.get(n);
            if (p == null || p.pending.isEmpty()) {
                continue;
            }
            CatchUp.LogId of = p.pending.keySet().iterator().next();
            ReplicationMessage.LogChunk c = store.answer(p.pending.remove(of), limits.chunkBytes());
            if (c != null) {
                send(n, c, nowMs, out);
            }
            if (!p.pending.isEmpty()) {
                requesters.add(n);
            }
        }
    }

    /** Folds ended incarnations of this member once all members have said to hold as much of them as this one. */
    private void foldEndedIncarnations(double nowMs) {
        Map<Long, Long> ended = store.endedLocalIncarnations();
        long below = 0;
        for (Map.Entry<Long, Long> e : ended.entrySet()) {
            if (!configured.stream()
                    .allMatch(
                            p -> e.getValue().equals(peers.get(p).endedSequences.get(e.getKey())))) {
                break;
            }
            below = e.getKey() + 1;
        }
        if (below > 0 && catchUp.isLevel(initialized, nowMs)) {
            long had = store.appliedSequence(store.localMember(), store.incarnation())
                    .orElse(0);
            if (store.foldCounters(below, nowMs) > 0) {
                onLocalWrite(had);
            }
        }
    }

    // ---- in ----

    /**
     * A message has come.
     *
     * @param peer who sent it
     * @param life the incarnation of the sender's process
     * @param body the message
     * @return what is to be sent at once in answer
     */
    public List<OutgoingMessage> onMessage(String peer, long life, byte[] body, double nowMs) {
        List<OutgoingMessage> out = new ArrayList<>();
        PeerProgress p = peers.get(peer);
        // Guards against what an ended process of the peer left on its way.
        if (p == null || life < p.life) {
            return out;
        }
        p.life = life;
        ReplicationMessage m;
        try {
            m = ReplicationCodec.read(body);
        } catch (java.io.IOException e) {
            malformedMessages++;
            return out;
        }
        if (m instanceof ReplicationMessage.OwnerSummaries marks) {
            onMarks(peer, p, marks, nowMs, out);
        } else if (m instanceof ReplicationMessage.LogRequests wants) {
            for (ReplicationMessage.LogRequest w : wants.requests()) {
                if (p.pending.size() < MAX_PENDING_REQUESTS) {
                    p.pending.put(new CatchUp.LogId(w.owner(), w.incarnation()), w);
                }
            }
            requesters.add(peer);
            answerRequests(nowMs, out);
        } else if (m instanceof ReplicationMessage.LogChunk c) {
            onChunk(peer, c, nowMs, out);
        } else if (m instanceof ReplicationMessage.LogDigests d) {
            answer(peer, antiEntropy.onDigests(peer, d), nowMs, out);
        } else if (m instanceof ReplicationMessage.RangeDigests r) {
            answer(peer, antiEntropy.onRanges(peer, r), nowMs, out);
        } else if (m instanceof ReplicationMessage.RangeRecords c) {
            answer(peer, antiEntropy.onCopies(peer, c, nowMs), nowMs, out);
        }
        return out;
    }

    private void answer(String peer, List<ReplicationMessage> answers, double nowMs, List<OutgoingMessage> out) {
        for (ReplicationMessage a : answers) {
            if (bucket.canSendDeferrable(nowMs)) {
                send(peer, a, nowMs, out);
            }
        }
    }

    private void onMarks(
            String peer, PeerProgress p, ReplicationMessage.OwnerSummaries m, double nowMs, List<OutgoingMessage> out) {
        for (ReplicationMessage.OwnerSummary mark : m.summaries()) {
            long newest = store.newestIncarnation(mark.owner());
            if (store.merge(mark, nowMs)) {
                changedOwners.add(mark.owner());
            }
            if (mark.incarnation() > newest) {
                catchUp.dropEnded(mark.owner(), mark.incarnation());
                pushAfter.remove(mark.owner());
            }
            onPosition(peer, mark.owner(), mark.incarnation(), mark.appliedSequence(), nowMs);
            if (mark.owner().equals(store.localMember()) && mark.incarnation() == store.incarnation()) {
                p.localSequence = Math.max(p.localSequence, mark.appliedSequence());
            }
        }
        for (ReplicationMessage.EndedLog h : m.endedLogs()) {
            onPosition(peer, h.owner(), h.incarnation(), h.appliedSequence(), nowMs);
            if (h.owner().equals(store.localMember())) {
                p.partialEndedSequences.put(h.incarnation(), h.appliedSequence());
            }
        }
        if (m.complete()) {
            p.hasListedAll = true;
            p.endedSequences = p.partialEndedSequences;
            p.partialEndedSequences = new TreeMap<>();
        }
        if (m.replyRequested()) {
            sendMarks(peer, false, nowMs, out);
        }
    }

    private void onPosition(String peer, String owner, long life, long have, double nowMs) {
        if (owner.equals(store.localMember()) && life >= store.incarnation()) {
            return;
        }
        CatchUp.LogId of = new CatchUp.LogId(owner, life);
        long held = store.appliedSequence(owner, life).orElse(0);
        if (life < store.newestIncarnation(owner)) {
            // What remains of an ended incarnation is fetched only if it was not folded.
            held = store.appliedSequence(owner, life).orElse(life < oldestKept(owner) ? Long.MAX_VALUE : 0);
        }
        catchUp.onPosition(peer, of, have, held, nowMs);
    }

    private long oldestKept(String owner) {
        List<Long> lives = store.incarnations(owner);
        return lives.size() > RecordStore.MAX_ENDED_INCARNATIONS ? lives.get(0) : 0;
    }

    private void onChunk(String peer, ReplicationMessage.LogChunk c, double nowMs, List<OutgoingMessage> out) {
        long had = store.appliedSequence(c.owner(), c.incarnation()).orElse(0);
        RecordStore.MergeResult t = store.merge(c, nowMs);
        CatchUp.LogId of = new CatchUp.LogId(c.owner(), c.incarnation());
        if (t == RecordStore.MergeResult.NEW) {
            if (c.incarnation() == store.newestIncarnation(c.owner())) {
                changedOwners.add(c.owner());
                pushAfter.merge(c.owner(), had, Math::min);
            }
            catchUp.onProgress(
                    of, store.appliedSequence(c.owner(), c.incarnation()).orElse(c.upToSequence()), nowMs);
            requestMissing(nowMs, out);
        } else if (t == RecordStore.MergeResult.GAP) {
            onPosition(
                    peer, c.owner(), c.incarnation(), c.snapshotEnd() == 0 ? c.upToSequence() : c.snapshotEnd(), nowMs);
        } else if (t == RecordStore.MergeResult.KNOWN) {
            catchUp.onProgress(
                    of,
                    Math.max(had, c.incarnation() < store.newestIncarnation(c.owner()) ? c.upToSequence() : 0),
                    nowMs);
        }
    }

    // ---- figures ----

    /** How far this member is. */
    public Replica.SyncState syncState(double nowMs) {
        return new Replica.SyncState(
                catchUp.isLevel(initialized, nowMs),
                catchUp.missingWrites(),
                antiEntropy.openLogs(),
                antiEntropy.outOfDecision() || store.quarantineReason(store.localMember()) != null);
    }

    /** The copies that differ. */
    public AntiEntropy antiEntropy() {
        return antiEntropy;
    }

    /** How many peers there are by the file. */
    int configuredPeers() {
        return configured.size();
    }

    /** How many peers have said that they hold this member's writes up to this one. */
    int peersHolding(long sequence) {
        return (int)
                peers.values().stream().filter(p -> p.localSequence >= sequence).count();
    }

    /** Bytes sent since the start. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Messages that were not sent for want of bytes. */
    public long throttledMessages() {
        return throttledMessages;
    }

    /** Messages that could not be read. */
    public long malformedMessages() {
        return malformedMessages;
    }

    @Override
    public String toString() {
        return store.localMember() + ": "
                + Arrays.toString(new long[] {sentBytes, throttledMessages, malformedMessages});
    }
}
