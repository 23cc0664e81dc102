package brackenbridge.fleet.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Decides which messages are sent to which peer, and when. Writes are pushed immediately: in a small fleet by their
 * owner to each peer; in a large one each member forwards a change once to a few peers (rumor mongering; Demers et al.,
 * Epidemic algorithms for replicated database maintenance, 1987). In addition every member periodically compares log
 * positions with peers (anti-entropy, same paper), requests missing writes, and compares contents by digests.
 *
 * <p>Without I/O, threads or timers: the caller passes times and messages. Not thread-safe.
 */
public final class ReplicationProtocol {
    /** The maximum number of unanswered requests of one peer. */
    private static final int MAX_PENDING_REQUESTS = 1024;
    /** The interval of attempts to fold ended incarnations, in heartbeats. */
    private static final int FOLD_HEARTBEATS = 10;
    /** After this number of heartbeats the complete summaries of one peer suffice for initialization. */
    private static final int FULL_WAIT_HEARTBEATS = 3;
    /** The number of peers whose complete summaries suffice for initialization in a large fleet. */
    private static final int LARGE_FLEET_SUMMARIES = 3;

    /**
     * A message to send.
     *
     * @param peer the receiver
     * @param body the encoded message
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
    /** Peers with unanswered requests, in the order of their turns. */
    private final LinkedHashSet<String> requesters = new LinkedHashSet<>();
    /** Owners whose summaries have changed since the last push. */
    private final TreeSet<String> changedOwners = new TreeSet<>();
    /** The position after which to push, by owner with new writes. */
    private final Map<String, Long> pushAfterSequences = new HashMap<>();

    private final double startedAtMs;
    private double nextPushMs;
    private double nextHeartbeatMs;
    private double nextSummaryRequestMs = Double.NEGATIVE_INFINITY;
    private double nextDigestMs;
    private double nextFoldMs;
    /** Whether enough peers have sent all their summaries; this member announces nothing before. */
    private boolean initialized;

    private int nextDigestPeer;
    private long sentBytes;
    private long throttledMessages;
    private long malformedMessages;

    /** Creates the protocol for a copy; {@code nowMs} is the time of its start. */
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
     * @param configured all peers of the fleet file
     * @param reachable those that are not known to be dead
     */
    public void setPeers(List<String> configured, List<String> reachable) {
        configuredPeers = List.copyOf(configured);
        reachablePeers = List.copyOf(reachable);
        peers.keySet().retainAll(configuredPeers);
        configuredPeers.forEach(peer -> peers.computeIfAbsent(peer, name -> new PeerProgress()));
    }

    /** A peer has become reachable; log positions are compared with it immediately. */
    public void onPeerReachable(String peer) {
        PeerProgress progress = peers.get(peer);
        if (progress != null) {
            progress.nextSummaryRequestMs = Double.NEGATIVE_INFINITY;
            progress.hasSentAllSummaries = false;
            nextSummaryRequestMs = Double.NEGATIVE_INFINITY;
        }
    }

    /**
     * This member has written; the writes are pushed in the next interval.
     *
     * @param previousSequence the sequence number before the writes
     */
    public void onLocalWrite(long previousSequence) {
        changedOwners.add(store.localMember());
        pushAfterSequences.merge(store.localMember(), previousSequence, Math::min);
    }

    /** The next time at which {@link #tick} has something to do, in milliseconds. */
    public double nextTickMs() {
        return Math.min(nextPushMs, nextHeartbeatMs);
    }

    // ---- sending ----

    /** Runs the timers that are due and returns the messages to send. */
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

    /** Requests complete summaries from peers that have not sent them yet. */
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
            // Some unreachable peers may not be known as such yet: after a few heartbeats one answer suffices.
            boolean waited = nowMs > startedAtMs + FULL_WAIT_HEARTBEATS * limits.heartbeatIntervalMs();
            int required = large ? LARGE_FLEET_SUMMARIES : waited ? 1 : reachablePeers.size();
            initialized = listed > 0 && listed >= Math.min(reachablePeers.size(), required);
            if (initialized) {
                store.startAnnouncing();
                onLocalWrite(0);
            }
        }
    }

    /** Sends all summaries, in as many messages as needed. */
    private void sendSummaries(String peer, boolean replyRequested, double nowMs, List<OutgoingMessage> out) {
        TreeSet<String> names = new TreeSet<>(store.owners());
        if (!initialized) {
            // Guards against reuse of an earlier incarnation: summaries of others must arrive first.
            names.remove(store.localMember());
        }
        List<ReplicationMessage.OwnerSummary> summaries = store.summaries(names, nowMs);
        List<ReplicationMessage.EndedLog> endedLogs = store.endedLogs();
        int pieces = 1 + Math.max(summaries.size(), endedLogs.size()) / ReplicationMessage.MAX_LIST_SIZE;
        for (int i = 0; i < pieces; i++) {
            boolean last = i == pieces - 1;
            ReplicationMessage.OwnerSummaries message = new ReplicationMessage.OwnerSummaries(
                    replyRequested && last, last, slice(summaries, i), slice(endedLogs, i));
            send(peer, message, nowMs, out);
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
            if (owners.contains(store.localMember()) && pushAfterSequences.containsKey(store.localMember())) {
                store.incrementHeartbeat();
            }
            List<ReplicationMessage> messages = new ArrayList<>();
            List<ReplicationMessage.OwnerSummary> summaries = store.summaries(owners, nowMs);
            for (int i = 0; i * ReplicationMessage.MAX_LIST_SIZE < summaries.size(); i++) {
                messages.add(new ReplicationMessage.OwnerSummaries(false, false, slice(summaries, i), List.of()));
            }
            for (String owner : owners) {
                Long after = pushAfterSequences.get(owner);
                long newest = store.newestIncarnation(owner);
                ReplicationMessage.LogChunk chunk =
                        after == null ? null : store.readAfter(owner, newest, after, limits.chunkBytes());
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
        pushAfterSequences.clear();
    }

    private void requestMissing(double nowMs, List<OutgoingMessage> out) {
        catchUp.dueRequests(nowMs).forEach((peer, logs) -> {
            List<ReplicationMessage.LogRequest> requests = logs.stream()
                    .map(log -> store.createRequest(log.owner(), log.incarnation()))
                    .toList();
            send(peer, new ReplicationMessage.LogRequests(requests), nowMs, out);
        });
    }

    /** Answers requests as far as the rate limit allows, with one chunk for each peer in turn. */
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

    /** Folds ended incarnations of this member once all peers have reported the same positions in them. */
    private void foldEndedIncarnations(double nowMs) {
        long endBefore = 0;
        for (Map.Entry<Long, Long> ended : store.endedLocalIncarnations().entrySet()) {
            if (!configuredPeers.stream().allMatch(peer -> peers.get(peer).hasEndedLog(ended))) {
                break;
            }
            endBefore = ended.getKey() + 1;
        }
        if (endBefore > 0 && catchUp.isCaughtUp(initialized, nowMs)) {
            long previousSequence = store.appliedSequence(store.localMember(), store.incarnation())
                    .orElse(0);
            if (store.foldCounters(endBefore, nowMs) > 0) {
                onLocalWrite(previousSequence);
            }
        }
    }

    // ---- receiving ----

    /**
     * Handles a received message.
     *
     * @param peer the sender
     * @param incarnation the incarnation of the sender's process
     * @param body the encoded message
     * @param nowMs the present time in milliseconds
     * @return messages to send in answer
     */
    public List<OutgoingMessage> onMessage(String peer, long incarnation, byte[] body, double nowMs) {
        List<OutgoingMessage> out = new ArrayList<>();
        PeerProgress progress = peers.get(peer);
        // Guards against delayed messages of an ended process of the peer.
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
        if (message instanceof ReplicationMessage.OwnerSummaries summaries) {
            onSummaries(peer, progress, summaries, nowMs, out);
        } else if (message instanceof ReplicationMessage.LogRequests requests) {
            for (ReplicationMessage.LogRequest request : requests.requests()) {
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
        for (ReplicationMessage.OwnerSummary summary : summaries.summaries()) {
            long newest = store.newestIncarnation(summary.owner());
            if (store.merge(summary, nowMs)) {
                changedOwners.add(summary.owner());
            }
            if (summary.incarnation() > newest) {
                catchUp.dropEnded(summary.owner(), summary.incarnation());
                pushAfterSequences.remove(summary.owner());
            }
            onPosition(peer, summary.owner(), summary.incarnation(), summary.appliedSequence(), nowMs);
            if (summary.owner().equals(store.localMember()) && summary.incarnation() == store.incarnation()) {
                progress.acknowledgedSequence = Math.max(progress.acknowledgedSequence, summary.appliedSequence());
            }
        }
        for (ReplicationMessage.EndedLog ended : summaries.endedLogs()) {
            onPosition(peer, ended.owner(), ended.incarnation(), ended.appliedSequence(), nowMs);
            if (ended.owner().equals(store.localMember())) {
                progress.partialEndedSequences.put(ended.incarnation(), ended.appliedSequence());
            }
        }
        if (summaries.complete()) {
            progress.completeSummaries();
        }
        if (summaries.replyRequested()) {
            sendSummaries(peer, false, nowMs, out);
        }
    }

    private void onPosition(String peer, String owner, long incarnation, long reportedSequence, double nowMs) {
        if (owner.equals(store.localMember()) && incarnation >= store.incarnation()) {
            return;
        }
        // The rest of an ended incarnation is requested only if it was not folded.
        boolean folded = incarnation < store.newestIncarnation(owner) && incarnation < oldestKeptIncarnation(owner);
        long appliedSequence = store.appliedSequence(owner, incarnation).orElse(folded ? Long.MAX_VALUE : 0);
        catchUp.onPosition(peer, new CatchUp.LogId(owner, incarnation), reportedSequence, appliedSequence, nowMs);
    }

    private long oldestKeptIncarnation(String owner) {
        List<Long> incarnations = store.incarnations(owner);
        return incarnations.size() > RecordStore.MAX_ENDED_INCARNATIONS ? incarnations.get(0) : 0;
    }

    private void onChunk(String peer, ReplicationMessage.LogChunk chunk, double nowMs, List<OutgoingMessage> out) {
        String owner = chunk.owner();
        long incarnation = chunk.incarnation();
        long previousSequence = store.appliedSequence(owner, incarnation).orElse(0);
        RecordStore.MergeResult result = store.merge(chunk, nowMs);
        long newest = store.newestIncarnation(owner);
        CatchUp.LogId log = new CatchUp.LogId(owner, incarnation);
        if (result == RecordStore.MergeResult.NEW) {
            if (incarnation == newest) {
                changedOwners.add(owner);
                pushAfterSequences.merge(owner, previousSequence, Math::min);
            }
            long applied = store.appliedSequence(owner, incarnation).orElse(chunk.upToSequence());
            catchUp.onProgress(log, applied, nowMs);
            requestMissing(nowMs, out);
        } else if (result == RecordStore.MergeResult.GAP) {
            long reported = chunk.snapshotEnd() == 0 ? chunk.upToSequence() : chunk.snapshotEnd();
            onPosition(peer, owner, incarnation, reported, nowMs);
        } else if (result == RecordStore.MergeResult.KNOWN) {
            long known = incarnation < newest ? chunk.upToSequence() : 0;
            catchUp.onProgress(log, Math.max(previousSequence, known), nowMs);
        }
    }

    // ---- statistics ----

    /** How current this member's copy is. */
    public Replica.SyncState syncState(double nowMs) {
        return new Replica.SyncState(
                catchUp.isCaughtUp(initialized, nowMs),
                catchUp.missingWrites(),
                antiEntropy.countDifferingLogs(),
                antiEntropy.hasDiscardedLogs() || store.quarantineReason(store.localMember()) != null);
    }

    /** The comparison of copies by content. */
    public AntiEntropy antiEntropy() {
        return antiEntropy;
    }

    /** The number of peers of the fleet file. */
    int countConfiguredPeers() {
        return configuredPeers.size();
    }

    /** The number of peers that have reported this member's writes up to this one as applied. */
    int countPeersHolding(long sequence) {
        return (int) peers.values().stream()
                .filter(p -> p.acknowledgedSequence >= sequence)
                .count();
    }

    /** Bytes sent since the start. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Messages that were not sent because of the rate limit. */
    public long throttledMessages() {
        return throttledMessages;
    }

    /** Received messages that could not be decoded. */
    public long malformedMessages() {
        return malformedMessages;
    }

    @Override
    public String toString() {
        return store.localMember() + ": [" + sentBytes + ", " + throttledMessages + ", " + malformedMessages + "]";
    }
}
