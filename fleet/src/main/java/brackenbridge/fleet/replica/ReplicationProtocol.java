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
    private static final int FULL_WAIT_HEARTBEATS = 3;
    /** Full lists that are enough to begin with in a large fleet. */
    private static final int LARGE_FLEET_SUMMARIES = 3;

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
    private List<String> configuredPeers = List.of();
    private List<String> reachablePeers = List.of();
    private final LinkedHashSet<String> requesters = new LinkedHashSet<>();
    private final TreeSet<String> changedOwners = new TreeSet<>();
    private final Map<String, Long> pushFromSequences = new HashMap<>();
    private final double startedAtMs;
    private double nextPushMs;
    private double nextHeartbeatMs;
    private double nextSummaryRequestMs = Double.NEGATIVE_INFINITY;
    private double nextDigestMs;
    private double nextFoldMs;
    /** Whether enough peers have listed all their marks; this member announces nothing before. */
    private boolean initialized;

    private int nextDigestPeer;
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
        startedAtMs = nowMs;
        store.startSilently(nowMs);
        nextPushMs = nowMs;
        nextHeartbeatMs = nowMs + random.nextDouble() * limits.heartbeatIntervalMs();
        nextDigestMs = nowMs + (1 + random.nextDouble()) * limits.digestIntervalMs();
        nextFoldMs = nowMs + FOLD_HEARTBEATS * limits.heartbeatIntervalMs();
    }

    /**
     * Sets the peers.
     *
     * @param all peers by the configuration
     * @param reach those that can be reached, as far as is known
     */
    public void setPeers(List<String> configured, List<String> reachable) {
        configuredPeers = List.copyOf(configured);
        reachablePeers = List.copyOf(reachable);
        peers.keySet().retainAll(configuredPeers);
        configuredPeers.forEach(peer -> peers.computeIfAbsent(peer, name -> new PeerProgress()));
    }

    /** A peer can be reached again: positions of logs are compared with it at once. */
    public void onPeerReachable(String peer) {
        PeerProgress progress = peers.get(peer);
        if (progress != null) {
            progress.nextSummaryRequestMs = Double.NEGATIVE_INFINITY;
            progress.hasSentAllSummaries = false;
            nextSummaryRequestMs = Double.NEGATIVE_INFINITY;
        }
    }

    /**
     * This member has written.
     *
     * @param had the sequence number before the writes
     */
    public void onLocalWrite(long previousSequence) {
        changedOwners.add(store.localMember());
        pushFromSequences.merge(store.localMember(), previousSequence, Math::min);
    }

    /** The next time at which {@link #tick} has something to do, in milliseconds. */
    public double nextTickMs() {
        return Math.min(nextPushMs, nextHeartbeatMs);
    }

    // ---- out ----

    /** What is to be sent by now. */
    public List<OutgoingMessage> tick(double nowMs) {
        List<OutgoingMessage> out = new ArrayList<>();
        if ((!initialized || nowMs >= nextSummaryRequestMs) && !reachablePeers.isEmpty()) {
            nextSummaryRequestMs = nowMs + limits.heartbeatIntervalMs();
            requestSummaries(nowMs, out);
        }
        if (nowMs >= nextHeartbeatMs) {
            nextHeartbeatMs = Math.max(nextHeartbeatMs + limits.heartbeatIntervalMs(), nowMs);
            store.incrementHeartbeat();
            changedOwners.add(store.localMember());
            store.forgetTombstones(nowMs, limits.tombstoneRetentionMs());
            for (String peer : samplePeers(reachablePeers.size() > limits.maxMeshPeers() ? 1 : 2)) {
                sendSummaries(peer, true, nowMs, out);
            }
        }
        if (nowMs >= nextFoldMs) {
            nextFoldMs = nowMs + FOLD_HEARTBEATS * limits.heartbeatIntervalMs();
            foldEndedIncarnations(nowMs);
        }
        if (nowMs >= nextPushMs) {
            nextPushMs = Math.max(nextPushMs + limits.pushIntervalMs(), nowMs);
            push(nowMs, out);
            requestMissing(nowMs, out);
            answerRequests(nowMs, out);
        }
        if (nowMs >= nextDigestMs && initialized && !reachablePeers.isEmpty()) {
            nextDigestMs = nowMs + limits.digestIntervalMs() * (0.75 + 0.5 * random.nextDouble());
            String peer = reachablePeers.get(nextDigestPeer++ % reachablePeers.size());
            ReplicationMessage.LogDigests digests = antiEntropy.nextDigests(peer);
            if (!digests.digests().isEmpty() && bucket.canSendDeferrable(nowMs)) {
                send(peer, digests, nowMs, out);
            }
        }
        return out;
    }

    private void send(String peer, ReplicationMessage message, double nowMs, List<OutgoingMessage> out) {
        if (!bucket.canSendUrgent(nowMs)) {
            throttledMessages++;
            return;
        }
        byte[] body = ReplicationCodec.write(message);
        bucket.consume(body.length);
        sentBytes += body.length;
        out.add(new OutgoingMessage(peer, body));
    }

    /** Requests full lists of marks from peers that have not sent one yet. */
    private void requestSummaries(double nowMs, List<OutgoingMessage> out) {
        long listed = reachablePeers.stream()
                .filter(peer -> peers.get(peer).hasSentAllSummaries)
                .count();
        boolean large = reachablePeers.size() > limits.maxMeshPeers();
        int maxRequests = large ? 2 * limits.fanOut() : reachablePeers.size();
        if (listed < Math.min(maxRequests, reachablePeers.size())) {
            int considered = 0;
            int start = random.nextInt(reachablePeers.size());
            for (int i = 0; i < reachablePeers.size() && considered < maxRequests; i++) {
                String peer = reachablePeers.get((start + i) % reachablePeers.size());
                PeerProgress progress = peers.get(peer);
                if (!progress.hasSentAllSummaries) {
                    considered++;
                    if (progress.nextSummaryRequestMs <= nowMs) {
                        progress.nextSummaryRequestMs = nowMs + limits.heartbeatIntervalMs();
                        sendSummaries(peer, true, nowMs, out);
                    }
                }
            }
        }
        if (!initialized) {
            // Some that can't be reached are not known as such yet: after a few heartbeats, those who answered are
            // enough.
            int required = large
                    ? LARGE_FLEET_SUMMARIES
                    : nowMs > startedAtMs + FULL_WAIT_HEARTBEATS * limits.heartbeatIntervalMs()
                            ? 1
                            : reachablePeers.size();
            initialized = listed > 0 && listed >= Math.min(reachablePeers.size(), required);
            if (initialized) {
                store.startAnnouncing();
                onLocalWrite(0);
            }
        }
    }

    /** All marks there are, in as many messages as it takes. */
    private void sendSummaries(String peer, boolean replyRequested, double nowMs, List<OutgoingMessage> out) {
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
                    new ReplicationMessage.OwnerSummaries(
                            replyRequested && last, last, slice(marks, i), slice(ended, i)),
                    nowMs,
                    out);
        }
    }

    private static <T> List<T> slice(List<T> list, int piece) {
        int start = Math.min(list.size(), piece * ReplicationMessage.MAX_LIST_SIZE);
        return list.subList(start, Math.min(list.size(), start + ReplicationMessage.MAX_LIST_SIZE));
    }

    private List<String> samplePeers(int count) {
        if (count >= reachablePeers.size()) {
            return reachablePeers;
        }
        TreeSet<Integer> sampled = new TreeSet<>();
        while (sampled.size() < count) {
            sampled.add(random.nextInt(reachablePeers.size()));
        }
        return sampled.stream().map(reachablePeers::get).toList();
    }

    private void push(double nowMs, List<OutgoingMessage> out) {
        if (!initialized || changedOwners.isEmpty()) {
            return;
        }
        boolean large = reachablePeers.size() > limits.maxMeshPeers();
        List<String> owners = large
                ? List.copyOf(changedOwners)
                : changedOwners.contains(store.localMember()) ? List.of(store.localMember()) : List.of();
        if (!owners.isEmpty()) {
            if (owners.contains(store.localMember()) && pushFromSequences.containsKey(store.localMember())) {
                store.incrementHeartbeat();
            }
            List<ReplicationMessage> messages = new ArrayList<>();
            List<ReplicationMessage.OwnerSummary> marks = store.summaries(owners, nowMs);
            for (int i = 0; i * ReplicationMessage.MAX_LIST_SIZE < marks.size(); i++) {
                messages.add(new ReplicationMessage.OwnerSummaries(false, false, slice(marks, i), List.of()));
            }
            for (String owner : owners) {
                ReplicationMessage.LogChunk chunk = pushFromSequences.containsKey(owner)
                        ? store.readAfter(
                                owner,
                                store.newestIncarnation(owner),
                                pushFromSequences.get(owner),
                                limits.chunkBytes())
                        : null;
                if (chunk != null) {
                    messages.add(chunk);
                }
            }
            for (String peer : large ? samplePeers(limits.fanOut()) : reachablePeers) {
                for (ReplicationMessage message : messages) {
                    send(peer, message, nowMs, out);
                }
            }
        }
        changedOwners.clear();
        pushFromSequences.clear();
    }

    private void requestMissing(double nowMs, List<OutgoingMessage> out) {
        catchUp.dueRequests(nowMs)
                .forEach((peer, logs) -> send(
                        peer,
                        new ReplicationMessage.LogRequests(logs.stream()
                                .map(log -> store.createRequest(log.owner(), log.incarnation()))
                                .toList()),
                        nowMs,
                        out));
    }

    /** Answers requests as far as the rate limit allows: each peer gets a piece in turn. */
    private void answerRequests(double nowMs, List<OutgoingMessage> out) {
        while (!requesters.isEmpty() && bucket.canSendDeferrable(nowMs)) {
            String peer = requesters.iterator().next();
            requesters.remove(peer);
            PeerProgress progress = peers.get(peer);
            if (progress == null || progress.pendingRequests.isEmpty()) {
                continue;
            }
            CatchUp.LogId log = progress.pendingRequests.keySet().iterator().next();
            ReplicationMessage.LogChunk chunk = store.answer(progress.pendingRequests.remove(log), limits.chunkBytes());
            if (chunk != null) {
                send(peer, chunk, nowMs, out);
            }
            if (!progress.pendingRequests.isEmpty()) {
                requesters.add(peer);
            }
        }
    }

    /** Folds ended incarnations of this member once all members have said to hold as much of them as this one. */
    private void foldEndedIncarnations(double nowMs) {
        Map<Long, Long> ended = store.endedLocalIncarnations();
        long endBefore = 0;
        for (Map.Entry<Long, Long> endedSequence : ended.entrySet()) {
            if (!configuredPeers.stream()
                    .allMatch(peer -> endedSequence
                            .getValue()
                            .equals(peers.get(peer).endedSequences.get(endedSequence.getKey())))) {
                break;
            }
            endBefore = endedSequence.getKey() + 1;
        }
        if (endBefore > 0 && catchUp.isCaughtUp(initialized, nowMs)) {
            long previousSequence = store.appliedSequence(store.localMember(), store.incarnation())
                    .orElse(0);
            if (store.foldCounters(endBefore, nowMs) > 0) {
                onLocalWrite(previousSequence);
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
    public List<OutgoingMessage> onMessage(String peer, long incarnation, byte[] body, double nowMs) {
        List<OutgoingMessage> out = new ArrayList<>();
        PeerProgress progress = peers.get(peer);
        // Guards against what an ended process of the peer left on its way.
        if (progress == null || incarnation < progress.incarnation) {
            return out;
        }
        progress.incarnation = incarnation;
        ReplicationMessage message;
        try {
            message = ReplicationCodec.read(body);
        } catch (java.io.IOException e) {
            malformedMessages++;
            return out;
        }
        if (message instanceof ReplicationMessage.OwnerSummaries marks) {
            onSummaries(peer, progress, marks, nowMs, out);
        } else if (message instanceof ReplicationMessage.LogRequests wants) {
            for (ReplicationMessage.LogRequest request : wants.requests()) {
                if (progress.pendingRequests.size() < MAX_PENDING_REQUESTS) {
                    progress.pendingRequests.put(new CatchUp.LogId(request.owner(), request.incarnation()), request);
                }
            }
            requesters.add(peer);
            answerRequests(nowMs, out);
        } else if (message instanceof ReplicationMessage.LogChunk chunk) {
            onChunk(peer, chunk, nowMs, out);
        } else if (message instanceof ReplicationMessage.LogDigests digests) {
            sendAnswers(peer, antiEntropy.onDigests(peer, digests), nowMs, out);
        } else if (message instanceof ReplicationMessage.RangeDigests ranges) {
            sendAnswers(peer, antiEntropy.onRangeDigests(peer, ranges), nowMs, out);
        } else if (message instanceof ReplicationMessage.RangeRecords records) {
            sendAnswers(peer, antiEntropy.onRangeRecords(peer, records, nowMs), nowMs, out);
        }
        return out;
    }

    private void sendAnswers(String peer, List<ReplicationMessage> answers, double nowMs, List<OutgoingMessage> out) {
        for (ReplicationMessage answer : answers) {
            if (bucket.canSendDeferrable(nowMs)) {
                send(peer, answer, nowMs, out);
            }
        }
    }

    private void onSummaries(
            String peer,
            PeerProgress progress,
            ReplicationMessage.OwnerSummaries summaries,
            double nowMs,
            List<OutgoingMessage> out) {
        for (ReplicationMessage.OwnerSummary mark : summaries.summaries()) {
            long newest = store.newestIncarnation(mark.owner());
            if (store.merge(mark, nowMs)) {
                changedOwners.add(mark.owner());
            }
            if (mark.incarnation() > newest) {
                catchUp.dropEnded(mark.owner(), mark.incarnation());
                pushFromSequences.remove(mark.owner());
            }
            onPosition(peer, mark.owner(), mark.incarnation(), mark.appliedSequence(), nowMs);
            if (mark.owner().equals(store.localMember()) && mark.incarnation() == store.incarnation()) {
                progress.acknowledgedSequence = Math.max(progress.acknowledgedSequence, mark.appliedSequence());
            }
        }
        for (ReplicationMessage.EndedLog ended : summaries.endedLogs()) {
            onPosition(peer, ended.owner(), ended.incarnation(), ended.appliedSequence(), nowMs);
            if (ended.owner().equals(store.localMember())) {
                progress.partialEndedSequences.put(ended.incarnation(), ended.appliedSequence());
            }
        }
        if (summaries.complete()) {
            progress.hasSentAllSummaries = true;
            progress.endedSequences = progress.partialEndedSequences;
            progress.partialEndedSequences = new TreeMap<>();
        }
        if (summaries.replyRequested()) {
            sendSummaries(peer, false, nowMs, out);
        }
    }

    private void onPosition(String peer, String owner, long incarnation, long reportedSequence, double nowMs) {
        if (owner.equals(store.localMember()) && incarnation >= store.incarnation()) {
            return;
        }
        CatchUp.LogId log = new CatchUp.LogId(owner, incarnation);
        long appliedSequence = store.appliedSequence(owner, incarnation).orElse(0);
        if (incarnation < store.newestIncarnation(owner)) {
            // What remains of an ended incarnation is fetched only if it was not folded.
            appliedSequence = store.appliedSequence(owner, incarnation)
                    .orElse(incarnation < oldestKeptIncarnation(owner) ? Long.MAX_VALUE : 0);
        }
        catchUp.onPosition(peer, log, reportedSequence, appliedSequence, nowMs);
    }

    private long oldestKeptIncarnation(String owner) {
        List<Long> incarnations = store.incarnations(owner);
        return incarnations.size() > RecordStore.MAX_ENDED_INCARNATIONS ? incarnations.get(0) : 0;
    }

    private void onChunk(String peer, ReplicationMessage.LogChunk chunk, double nowMs, List<OutgoingMessage> out) {
        long previousSequence =
                store.appliedSequence(chunk.owner(), chunk.incarnation()).orElse(0);
        RecordStore.MergeResult result = store.merge(chunk, nowMs);
        CatchUp.LogId log = new CatchUp.LogId(chunk.owner(), chunk.incarnation());
        if (result == RecordStore.MergeResult.NEW) {
            if (chunk.incarnation() == store.newestIncarnation(chunk.owner())) {
                changedOwners.add(chunk.owner());
                pushFromSequences.merge(chunk.owner(), previousSequence, Math::min);
            }
            catchUp.onProgress(
                    log,
                    store.appliedSequence(chunk.owner(), chunk.incarnation()).orElse(chunk.upToSequence()),
                    nowMs);
            requestMissing(nowMs, out);
        } else if (result == RecordStore.MergeResult.GAP) {
            onPosition(
                    peer,
                    chunk.owner(),
                    chunk.incarnation(),
                    chunk.snapshotEnd() == 0 ? chunk.upToSequence() : chunk.snapshotEnd(),
                    nowMs);
        } else if (result == RecordStore.MergeResult.KNOWN) {
            catchUp.onProgress(
                    log,
                    Math.max(
                            previousSequence,
                            chunk.incarnation() < store.newestIncarnation(chunk.owner()) ? chunk.upToSequence() : 0),
                    nowMs);
        }
    }

    // ---- figures ----

    /** How far this member is. */
    public Replica.SyncState syncState(double nowMs) {
        return new Replica.SyncState(
                catchUp.isCaughtUp(initialized, nowMs),
                catchUp.missingWrites(),
                antiEntropy.countDifferingLogs(),
                antiEntropy.hasDiscardedLogs() || store.quarantineReason(store.localMember()) != null);
    }

    /** The copies that differ. */
    public AntiEntropy antiEntropy() {
        return antiEntropy;
    }

    /** How many peers there are by the file. */
    int countConfiguredPeers() {
        return configuredPeers.size();
    }

    /** How many peers have said that they hold this member's writes up to this one. */
    int countPeersHolding(long sequence) {
        return (int) peers.values().stream()
                .filter(progress -> progress.acknowledgedSequence >= sequence)
                .count();
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
