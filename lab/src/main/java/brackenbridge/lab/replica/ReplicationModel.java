package brackenbridge.lab.replica;

import brackenbridge.fleet.replica.RecordKey;
import brackenbridge.fleet.replica.RecordSpace;
import brackenbridge.fleet.replica.RecordStore;
import brackenbridge.fleet.replica.RecordVersion;
import brackenbridge.fleet.replica.ReplicatedRecord;
import brackenbridge.fleet.replica.ReplicationMessage;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * All that may happen next among three members, one of which writes. What is sent is kept for ever, so each piece may
 * arrive never, late, twice and in any order; any process may end at any moment and start again with what its disk last
 * had, or with nothing.
 *
 * <p>At each moment it is asserted what may never be: a copy that holds what nobody wrote, two copies with two contents
 * of one write, a sum above what was added. And from each moment on it is tried whether the members become one if from
 * now on messages come through: all equal, each holding exactly what a replay of the owner's writes gives, and no sum
 * below what a living member had counted.
 */
public final class ReplicationModel {
    private static final String[] NAMES = {"a", "b", "c"};
    private static final String OWNER = "a";
    /** So small that each piece carries one record. */
    private static final int PIECE = 1;

    private static final String SUM = "s";

    /** What was written, by life; the whole of a log, for the replay. */
    private record Written(Map<Long, List<ReplicatedRecord>> logs, long added) {}

    /** A message on its way, for ever. */
    private record Sent(int to, ReplicationMessage message) {}

    /** One moment. */
    static final class State {
        private final RecordStore[] stores = new RecordStore[NAMES.length];
        private final RecordStore[] disks = new RecordStore[NAMES.length];
        private final Map<String, Sent> sent = new TreeMap<>();
        private Written written = new Written(Map.of(), 0);
        private long lives;
        private int writes;
        private int wants;
        private int pieces;
        private int ends;
        private int saves;
        private int forgets;
        private int folds;

        private State copy() {
            State s = new State();
            for (int i = 0; i < NAMES.length; i++) {
                s.stores[i] = stores[i].copy();
                s.disks[i] = disks[i];
            }
            s.sent.putAll(sent);
            s.written = written;
            s.lives = lives;
            s.writes = writes;
            s.wants = wants;
            s.pieces = pieces;
            s.ends = ends;
            s.saves = saves;
            s.forgets = forgets;
            s.folds = folds;
            return s;
        }

        /** What tells this moment from others. */
        String key() {
            StringBuilder b = new StringBuilder();
            b.append(writes)
                    .append(',')
                    .append(wants)
                    .append(',')
                    .append(pieces)
                    .append(',')
                    .append(ends)
                    .append(',')
                    .append(saves)
                    .append(',')
                    .append(forgets)
                    .append(',')
                    .append(folds);
            for (int i = 0; i < NAMES.length; i++) {
                b.append('|').append(stores[i]).append('/').append(disks[i] == null ? "" : disks[i]);
            }
            return b.append(sent.keySet()).append(written.logs().values()).toString();
        }
    }

    private final Bounds bounds;
    private final ReplicationMistake mistake;

    /** Histories within these bounds, of an implementation that makes this mistake. */
    public ReplicationModel(Bounds bounds, ReplicationMistake mistake) {
        this.bounds = bounds;
        this.mistake = mistake;
    }

    /** The first moment: nothing is written. */
    State first() {
        State s = new State();
        s.lives = 1;
        for (int i = 0; i < NAMES.length; i++) {
            s.stores[i] = new RecordStore(NAMES[i], 1, 1, false);
        }
        return s;
    }

    /** The moments that may follow, by what leads to them. */
    Map<String, State> next(State s) {
        Map<String, State> next = new LinkedHashMap<>();
        if (s.writes < bounds.writes()) {
            next.put("a writes", write(s));
        }
        for (int i = 0; i < NAMES.length; i++) {
            ends(s, i, next);
            for (int j = 0; j < NAMES.length; j++) {
                if (i != j) {
                    asks(s, i, j, next);
                }
            }
        }
        for (Map.Entry<String, Sent> e : s.sent.entrySet()) {
            State n = s.copy();
            arrives(n, e.getValue());
            next.put("arrives " + e.getKey(), n);
        }
        if (s.folds < bounds.folds()
                && !s.stores[0].endedLocalIncarnations().isEmpty()
                && (mistake == ReplicationMistake.FOLD_TOO_SOON || allHoldAsMuch(s))) {
            State n = s.copy();
            n.folds++;
            // Assumed: nothing of an ended life is on its way for as long as a fold waits.
            n.sent.values()
                    .removeIf(m -> m.message() instanceof ReplicationMessage.LogChunk c
                            && c.incarnation() < n.stores[0].incarnation());
            fold(n);
            next.put("a folds", n);
        }
        return next;
    }

    private State write(State s) {
        State n = s.copy();
        RecordStore a = n.stores[0];
        long had = a.appliedSequence(OWNER, a.incarnation()).orElse(0);
        long added = 0;
        // With folds, sums come first: what is at stake then.
        boolean wrote = switch (bounds.folds() > 0 ? (n.writes + 3) % 5 : n.writes) {
            case 0 -> a.put(RecordSpace.SERVERS, "k", new byte[] {'1'}, 0);
            case 1 -> a.remove(RecordSpace.SERVERS, "k", 0) || a.put(RecordSpace.SERVERS, "j", new byte[] {'2'}, 0);
            case 2 -> a.put(RecordSpace.SERVERS, "i", new byte[] {'3'}, 0);
            case 3 -> {
                added = 5;
                yield a.add(RecordSpace.USED, SUM, 5, 0);
            }
            default -> {
                added = 7;
                yield a.add(RecordSpace.USED, SUM, 7, 0);
            }
        };
        n.writes++;
        if (wrote) {
            n.written = new Written(n.written.logs(), n.written.added() + added);
            log(n, had);
        }
        return n;
    }

    /** The owner's writes since this one go to the log for the replay, and out to both. */
    private static void log(State n, long had) {
        RecordStore a = n.stores[0];
        Map<Long, List<ReplicatedRecord>> logs = new TreeMap<>(n.written.logs());
        List<ReplicatedRecord> log = new ArrayList<>(logs.getOrDefault(a.incarnation(), List.of()));
        a.records(OWNER, a.incarnation()).stream()
                .filter(e -> e.version().sequence() > had)
                .forEach(log::add);
        logs.put(a.incarnation(), log);
        n.written = new Written(logs, n.written.added());
        ReplicationMessage.LogChunk c = a.readAfter(OWNER, a.incarnation(), had, 1 << 10);
        if (c != null) {
            for (int i = 1; i < NAMES.length; i++) {
                put(n, i, c);
            }
        }
    }

    private static void put(State n, int to, ReplicationMessage m) {
        n.sent.put(NAMES[to] + " gets " + m, new Sent(to, m));
    }

    private void ends(State s, int i, Map<String, State> next) {
        String name = NAMES[i];
        if (s.saves < bounds.saves()) {
            State n = s.copy();
            n.saves++;
            n.disks[i] = s.stores[i].copy();
            next.put(name + " saves", n);
        }
        if (s.ends < bounds.ends()) {
            State without = s.copy();
            without.ends++;
            without.disks[i] = null;
            without.stores[i] = born(without, i);
            next.put(name + " ends, and starts without its disk", without);
            if (s.disks[i] != null) {
                State with = s.copy();
                with.ends++;
                with.stores[i] = born(with, i);
                restore(with.stores[i], s.disks[i]);
                next.put(name + " ends, and starts with its disk", with);
            }
        }
        if (s.forgets < bounds.forgets()) {
            State n = s.copy();
            n.forgets++;
            n.stores[i].forgetTombstones(1, 0);
            if (!n.key().equals(s.key())) {
                next.put(name + " forgets removals", n);
            }
        }
    }

    private RecordStore born(State s, int i) {
        // Lives are of the owner only: what the others write is of no concern here.
        long life = i > 0 ? 1 : mistake == ReplicationMistake.LIFE_REUSED ? s.stores[0].incarnation() : ++s.lives;
        return new RecordStore(NAMES[i], life, life, false);
    }

    private void restore(RecordStore to, RecordStore disk) {
        for (String owner : disk.owners()) {
            for (long life : disk.incarnations(owner)) {
                List<ReplicatedRecord> all = disk.records(owner, life);
                if (mistake == ReplicationMistake.DISK_HALF_WRITTEN && !all.isEmpty()) {
                    all = all.subList(0, all.size() - 1);
                }
                to.restore(
                        owner,
                        life,
                        disk.appliedSequence(owner, life).orElse(0),
                        disk.tombstoneFloor(owner, life),
                        all);
            }
        }
    }

    /** One asks another for what it lacks of each life of the owner; question and answer may each be late. */
    private void asks(State s, int i, int j, Map<String, State> next) {
        for (long life : s.stores[j].incarnations(OWNER)) {
            ReplicationMessage.LogRequest w = s.stores[i].createRequest(OWNER, life);
            if (s.wants < bounds.wants() && lacks(s, i, j, life)) {
                State n = s.copy();
                n.wants++;
                put(n, j, new ReplicationMessage.LogRequests(List.of(w)));
                next.put(NAMES[i] + " asks " + NAMES[j] + " for " + w, n);
            }
        }
        for (Sent m : s.sent.values()) {
            if (m.to() == j && m.message() instanceof ReplicationMessage.LogRequests w && s.pieces < bounds.pieces()) {
                State n = s.copy();
                n.pieces++;
                ReplicationMessage.LogChunk c = piece(s.stores[j], w.requests().get(0));
                if (c != null) {
                    put(n, i, c);
                    next.put(NAMES[j] + " answers " + NAMES[i] + " with " + c, n);
                }
            }
        }
    }

    private static boolean lacks(State s, int i, int j, long life) {
        return !(i == 0 && life == s.stores[0].incarnation())
                && s.stores[j].appliedSequence(OWNER, life).orElse(0)
                        > s.stores[i].appliedSequence(OWNER, life).orElse(0);
    }

    private ReplicationMessage.LogChunk piece(RecordStore from, ReplicationMessage.LogRequest w) {
        ReplicationMessage.LogChunk c = from.answer(w, PIECE);
        if (c == null) {
            return null;
        }
        long end = c.snapshotEnd() != 0
                ? c.snapshotEnd()
                : from.appliedSequence(c.owner(), c.incarnation()).orElse(0);
        return switch (mistake) {
            case PIECE_SAYS_ALL ->
                new ReplicationMessage.LogChunk(
                        c.owner(),
                        c.incarnation(),
                        c.newestIncarnation(),
                        c.afterSequence(),
                        end,
                        c.snapshotEnd(),
                        c.tombstoneFloor(),
                        c.records());
            case SNAPSHOT_AS_TAIL ->
                c.snapshotEnd() == 0
                        ? c
                        : from.copy()
                                                .answer(
                                                        new ReplicationMessage.LogRequest(
                                                                w.owner(),
                                                                w.incarnation(),
                                                                from.tombstoneFloor(w.owner(), w.incarnation()),
                                                                0,
                                                                0),
                                                        PIECE)
                                        == null
                                ? new ReplicationMessage.LogChunk(
                                        c.owner(),
                                        c.incarnation(),
                                        c.newestIncarnation(),
                                        w.appliedSequence(),
                                        end,
                                        0,
                                        0,
                                        List.of())
                                : tail(from, w, c, end);
            case SNAPSHOT_DONE_EARLY ->
                c.snapshotEnd() == 0
                        ? c
                        : new ReplicationMessage.LogChunk(
                                c.owner(),
                                c.incarnation(),
                                c.newestIncarnation(),
                                c.afterSequence(),
                                end,
                                end,
                                c.tombstoneFloor(),
                                c.records());
            default -> c;
        };
    }

    private static ReplicationMessage.LogChunk tail(
            RecordStore from, ReplicationMessage.LogRequest w, ReplicationMessage.LogChunk c, long end) {
        List<ReplicatedRecord> entries = from.records(w.owner(), w.incarnation()).stream()
                .filter(e -> e.version().sequence() > w.appliedSequence())
                .toList();
        return new ReplicationMessage.LogChunk(
                c.owner(), c.incarnation(), c.newestIncarnation(), w.appliedSequence(), end, 0, 0, entries);
    }

    private void arrives(State n, Sent sent) {
        if (sent.message() instanceof ReplicationMessage.LogChunk c) {
            take(n.stores[sent.to()], c);
        }
    }

    private void take(RecordStore to, ReplicationMessage.LogChunk c) {
        long have = to.appliedSequence(c.owner(), c.incarnation()).orElse(0);
        ReplicationMessage.LogChunk taken = c;
        if (mistake == ReplicationMistake.GAP_FORGIVEN && c.afterSequence() > have && c.snapshotEnd() == 0) {
            taken = new ReplicationMessage.LogChunk(
                    c.owner(),
                    c.incarnation(),
                    c.newestIncarnation(),
                    have,
                    c.upToSequence(),
                    0,
                    c.tombstoneFloor(),
                    c.records());
        } else if (mistake == ReplicationMistake.OLD_LIFE_INTO_NEW
                && c.incarnation() < to.newestIncarnation(c.owner())
                && !to.localMember().equals(OWNER)) {
            long life = to.newestIncarnation(c.owner());
            taken = new ReplicationMessage.LogChunk(
                    c.owner(),
                    life,
                    life,
                    c.afterSequence(),
                    c.upToSequence(),
                    c.snapshotEnd(),
                    c.tombstoneFloor(),
                    c.records().stream()
                            .map(e -> ReplicatedRecord.of(
                                    OWNER,
                                    e.space(),
                                    e.key(),
                                    new RecordVersion(life, e.version().sequence()),
                                    e.value(),
                                    e.count(),
                                    e.foldedBelow()))
                            .toList());
        } else if (mistake == ReplicationMistake.COUNT_ADDED_ON_MERGE) {
            taken = new ReplicationMessage.LogChunk(
                    c.owner(),
                    c.incarnation(),
                    c.newestIncarnation(),
                    c.afterSequence(),
                    c.upToSequence(),
                    c.snapshotEnd(),
                    c.tombstoneFloor(),
                    c.records().stream()
                            .map(e -> {
                                ReplicatedRecord mine = to.record(OWNER, c.incarnation(), e.recordKey());
                                return mine == null || e.count() == 0
                                        ? e
                                        : ReplicatedRecord.of(
                                                OWNER,
                                                e.space(),
                                                e.key(),
                                                e.version(),
                                                null,
                                                e.count() + mine.count(),
                                                e.foldedBelow());
                            })
                            .toList());
        }
        to.merge(taken, 0);
        if (mistake == ReplicationMistake.LAST_COME_WINS && c.incarnation() == to.newestIncarnation(OWNER)) {
            c.records().forEach(e -> to.repair(OWNER, c.incarnation(), e.recordKey(), e, 0));
        } else if (mistake == ReplicationMistake.COUNT_ADDED_ON_MERGE) {
            for (ReplicatedRecord e : taken.records()) {
                if (e.count() > 0) {
                    to.repair(OWNER, c.incarnation(), e.recordKey(), e, 0);
                }
            }
        } else if (mistake == ReplicationMistake.SUMS_END_WITH_LIFE) {
            to.incarnations(OWNER).stream()
                    .filter(l -> l < to.newestIncarnation(OWNER))
                    .forEach(l -> to.discard(OWNER, l));
        }
    }

    private boolean allHoldAsMuch(State s) {
        Map<Long, Long> ended = s.stores[0].endedLocalIncarnations();
        for (int i = 1; i < NAMES.length; i++) {
            for (Map.Entry<Long, Long> e : ended.entrySet()) {
                if (s.stores[i].appliedSequence(OWNER, e.getKey()).orElse(0) != e.getValue()
                        || s.stores[i].size(OWNER, e.getKey()) == 0) {
                    return false;
                }
            }
        }
        return true;
    }

    private void fold(State n) {
        RecordStore a = n.stores[0];
        long had = a.appliedSequence(OWNER, a.incarnation()).orElse(0);
        if (mistake == ReplicationMistake.FOLD_KEEPS_ENDED) {
            a.add(RecordSpace.USED, SUM, a.sum(RecordSpace.USED, SUM), 0);
        } else {
            a.foldCounters(a.incarnation(), 0);
        }
        log(n, had);
    }

    // ---- what must hold ----

    /** What is wrong at this moment; null if nothing is. */
    String breach(State s) {
        Map<RecordVersion, Long> contents = new TreeMap<>();
        for (RecordStore store : s.stores) {
            long sum = store.sum(RecordSpace.USED, SUM);
            if (sum > s.written.added()) {
                return store.localMember() + " counts " + sum + ", added were " + s.written.added();
            }
            for (long life : store.quarantineReason(OWNER) == null ? store.incarnations(OWNER) : List.<Long>of()) {
                for (ReplicatedRecord e : store.records(OWNER, life)) {
                    Long other = contents.putIfAbsent(e.version(), e.checksum());
                    if (other != null && other != e.checksum()) {
                        return "two contents of write " + e.version();
                    }
                    if (s.written.logs().getOrDefault(life, List.of()).stream()
                            .noneMatch(w -> w.checksum() == e.checksum())) {
                        return store.localMember() + " holds what nobody wrote: " + e;
                    }
                }
            }
        }
        return differs(s);
    }

    /** From here on all messages come through: the members must become one. */
    private String differs(State s) {
        State n = s.copy();
        long counted = 0;
        for (RecordStore store : n.stores) {
            counted = Math.max(counted, store.sum(RecordSpace.USED, SUM));
        }
        for (int round = 0; moved(n); round++) {
            if (round > 50) {
                return "the members never come to rest";
            }
        }
        for (RecordStore store : n.stores) {
            long life = store.newestIncarnation(OWNER);
            if (life != n.stores[0].incarnation()) {
                return store.localMember() + " has not heard of life " + n.stores[0].incarnation();
            }
            Map<RecordKey, ReplicatedRecord> want = new TreeMap<>();
            s.written.logs().getOrDefault(life, List.of()).forEach(e -> want.put(e.recordKey(), e));
            want.values().removeIf(ReplicatedRecord::removed);
            Map<RecordKey, ReplicatedRecord> has = new TreeMap<>();
            store.records(OWNER, life).stream().filter(e -> !e.removed()).forEach(e -> has.put(e.recordKey(), e));
            if (!want.keySet().equals(has.keySet())
                    || want.entrySet().stream()
                            .anyMatch(e -> has.get(e.getKey()).checksum()
                                    != e.getValue().checksum())) {
                return store.localMember() + " has " + has.values() + " in the end, written were " + want.values();
            }
            long sum = store.sum(RecordSpace.USED, SUM);
            if (sum < counted || sum != n.stores[0].sum(RecordSpace.USED, SUM)) {
                return store.localMember() + " counts " + sum + " in the end, a member had " + counted + ", a has "
                        + n.stores[0].sum(RecordSpace.USED, SUM);
            }
        }
        return null;
    }

    private boolean moved(State n) {
        boolean moved = false;
        for (int i = 0; i < NAMES.length; i++) {
            for (int j = 0; j < NAMES.length; j++) {
                if (i == j) {
                    continue;
                }
                for (ReplicationMessage.OwnerSummary m : n.stores[j].summaries(List.of(OWNER), 0)) {
                    moved |= n.stores[i].newestIncarnation(OWNER) < m.incarnation();
                    if (i != 0) {
                        n.stores[i].merge(m, 0);
                    }
                }
                for (long life : new TreeSet<>(n.stores[j].incarnations(OWNER))) {
                    boolean named = life == n.stores[j].newestIncarnation(OWNER) || n.stores[j].size(OWNER, life) > 0;
                    if (named && lacks(n, i, j, life)) {
                        String before = Objects.toString(n.stores[i]);
                        ReplicationMessage.LogChunk c = piece(n.stores[j], n.stores[i].createRequest(OWNER, life));
                        if (c != null) {
                            take(n.stores[i], c);
                            moved |= !before.equals(n.stores[i].toString());
                        }
                    }
                }
            }
        }
        return moved;
    }
}
