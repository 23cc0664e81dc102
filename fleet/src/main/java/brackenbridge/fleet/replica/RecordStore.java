package brackenbridge.fleet.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One member's copy of everything own and counted, by owner and life. It knows no peers, sockets, threads or disks:
 * times and values in, values out.
 *
 * <p>Own records belong to a life: those of an earlier one are gone as soon as a later one is heard of. Counted ones
 * are a grow-only counter for each owner and life (Shapiro, Preguica, Baquero, Zawirski: Conflict-free replicated data
 * types, 2011) that outlives both.
 */
public final class RecordStore {
    /** Owners that are held, at the most. */
    public static final int MOST_OWNERS = 4096;
    /** Records of one life of an owner, at the most. */
    public static final int MOST_RECORDS = 200_000;
    /** Ended lives of an owner of which parts of sums are kept, at the most. */
    public static final int MOST_LIVES = 16;

    /** What became of a piece of a log. */
    public enum Took {
        /** It was new. */
        NEW,
        /** All of it was known. */
        KNOWN,
        /** What lies before it is missing. */
        GAP,
        /** It is not whole, or it goes past a bound. */
        REFUSED
    }

    /**
     * Something that changed.
     *
     * @param owner whose record
     * @param life of which life
     * @param item which one; null: how far the copy is, the life itself
     */
    record Touched(String owner, long life, RecordKey item) {}

    private static final class Owner {
        long life;
        long nonce;
        long beat;
        long said;
        double heardAtMs = Double.NEGATIVE_INFINITY;
        double heldAtMs = Double.NEGATIVE_INFINITY;
        String aside;
        final TreeMap<Long, OwnerLog> parts = new TreeMap<>();

        Owner copy() {
            Owner o = new Owner();
            o.life = life;
            o.nonce = nonce;
            o.beat = beat;
            o.said = said;
            o.heardAtMs = heardAtMs;
            o.heldAtMs = heldAtMs;
            o.aside = aside;
            parts.forEach((l, p) -> o.parts.put(l, p.copy()));
            return o;
        }
    }

    private final String me;
    private final long nonce;
    private long life;
    private long beat;
    private boolean hasBeenHeard;
    /** Whether others may know of this life's writes. */
    private boolean told = true;
    /** When this process began; a sign of life of this member before it was another process's. */
    private double beganMs = Double.NEGATIVE_INFINITY;

    private final TreeMap<String, Owner> owners = new TreeMap<>();
    /** The same by hash: with a thousand owners, names are looked up for each mark of each message. */
    private final Map<String, Owner> byName = new HashMap<>();

    private final boolean tracks;
    private final Set<Touched> touched = new LinkedHashSet<>();
    private final List<String> alarms = new ArrayList<>();

    /**
     * An empty copy.
     *
     * @param me this member
     * @param life its life
     * @param nonce drawn at random by this process
     * @param tracks whether it remembers what has changed, for {@link #touched}
     */
    public RecordStore(String me, long life, long nonce, boolean tracks) {
        this.me = me;
        this.life = life;
        this.nonce = nonce;
        this.tracks = tracks;
        Owner o = new Owner();
        o.life = life;
        o.nonce = nonce;
        owners.put(me, o);
        byName.put(me, o);
        o.parts.put(life, new OwnerLog(me, life));
    }

    private RecordStore(RecordStore s) {
        me = s.me;
        nonce = s.nonce;
        life = s.life;
        beat = s.beat;
        hasBeenHeard = s.hasBeenHeard;
        told = s.told;
        beganMs = s.beganMs;
        tracks = false;
        s.owners.forEach((n, o) -> owners.put(n, o.copy()));
        byName.putAll(owners);
    }

    /** A copy that goes its own way. */
    public RecordStore copy() {
        return new RecordStore(this);
    }

    /** This member. */
    public String me() {
        return me;
    }

    /** This member's life. */
    public long life() {
        return life;
    }

    /** Which process this is. */
    public long nonce() {
        return nonce;
    }

    /** Owners that are known, this member included. */
    public List<String> owners() {
        return List.copyOf(owners.keySet());
    }

    /** What was found that staff should know, since the last call. */
    public List<String> alarms() {
        List<String> a = List.copyOf(alarms);
        alarms.clear();
        return a;
    }

    private void alarm(String text) {
        if (alarms.size() < 256) {
            alarms.add(text);
        }
    }

    /** What has changed since the last call. */
    List<Touched> touched() {
        List<Touched> t = List.copyOf(touched);
        touched.clear();
        return t;
    }

    private void touch(String owner, long of, RecordKey item) {
        if (tracks) {
            touched.add(new Touched(owner, of, item));
        }
    }

    private OwnerLog mine() {
        return byName.get(me).parts.get(life);
    }

    // ---- writing ----

    /** Writes a record of this member's own; false if this life was put aside or the bound is met. */
    public boolean put(RecordSpace space, String key, byte[] value, double nowMs) {
        require(space, RecordSpace.Kind.OWN);
        return write(space, key, Objects.requireNonNull(value), 0, 0, nowMs);
    }

    /** Removes a record of this member's own, if there is one. */
    public boolean remove(RecordSpace space, String key, double nowMs) {
        require(space, RecordSpace.Kind.OWN);
        ReplicatedRecord e = mine().get(new RecordKey(space, key));
        return e != null && !e.gone() && write(space, key, null, 0, 0, nowMs);
    }

    /** Adds to this life's part of a sum. */
    public boolean add(RecordSpace space, String key, long by, double nowMs) {
        require(space, RecordSpace.Kind.COUNTED);
        if (by < 0) {
            throw new IllegalArgumentException("a part of a sum only grows: " + by);
        }
        ReplicatedRecord e = mine().get(new RecordKey(space, key));
        long count = e == null ? 0 : e.count();
        return write(
                space,
                key,
                null,
                by > Long.MAX_VALUE - count ? Long.MAX_VALUE : count + by,
                e == null ? 0 : e.below(),
                nowMs);
    }

    private boolean write(RecordSpace space, String key, byte[] value, long count, long below, double nowMs) {
        OwnerLog p = mine();
        if (byName.get(me).aside != null || p.size() >= MOST_RECORDS && p.get(new RecordKey(space, key)) == null) {
            return false;
        }
        apply(
                byName.get(me),
                p,
                ReplicatedRecord.of(me, space, key, new RecordVersion(life, p.have + 1), value, count, below),
                nowMs);
        p.have++;
        touch(me, life, null);
        return true;
    }

    private static void require(RecordSpace space, RecordSpace.Kind kind) {
        if (space.kind() != kind) {
            throw new IllegalArgumentException(space + " is not of kind " + kind);
        }
    }

    /**
     * Takes parts of sums of this member's earlier lives into the present one. Each key's write says which lives are
     * within it, so whoever takes it drops those in the same step: nothing is counted twice at any copy at any time.
     * Nothing is lost either if no copy anywhere knows more of those lives than this one.
     *
     * @param below lives earlier than this
     * @return how many keys were folded
     */
    public int fold(long below, double nowMs) {
        if (below > life) {
            throw new IllegalArgumentException("only ended lives are folded");
        }
        TreeSet<RecordKey> items = new TreeSet<>();
        Owner o = byName.get(me);
        for (OwnerLog p : o.parts.headMap(below).values()) {
            p.all().stream()
                    .filter(e -> e.space().kind() == RecordSpace.Kind.COUNTED)
                    .forEach(e -> items.add(e.item()));
        }
        int folded = 0;
        for (RecordKey i : items) {
            ReplicatedRecord e = mine().get(i);
            long count = e == null ? 0 : e.count();
            for (OwnerLog p : o.parts.headMap(below).values()) {
                count += p.get(i) == null ? 0 : p.get(i).count();
            }
            folded += write(i.space(), i.key(), null, count, below, nowMs) ? 1 : 0;
        }
        return folded;
    }

    /** This member's ended lives of which parts of sums are kept, each with how far the copy is. */
    public Map<Long, Long> endedOfMine() {
        TreeMap<Long, Long> ended = new TreeMap<>();
        byName.get(me).parts.headMap(life).forEach((l, p) -> {
            if (p.size() > 0) {
                ended.put(l, p.have);
            }
        });
        return ended;
    }

    /** Forgets removals older than this. */
    public void forget(double nowMs, double afterMs) {
        for (Owner o : owners.values()) {
            OwnerLog p = o.parts.get(o.life);
            if (p != null) {
                p.forget(nowMs, afterMs).forEach(i -> touch(p.owner, p.life, i));
            }
        }
    }

    // ---- lives ----

    /** This process begins now, and tells nobody what it writes until {@link #tells}. */
    void begins(double nowMs) {
        beganMs = nowMs;
        told = mine().have > 0;
    }

    /** From now on others may hear what is written here. */
    void tells() {
        told = true;
    }

    /** Gives a sign of life of this member. */
    public void beat() {
        beat++;
    }

    /** The marks of these owners. */
    public List<ReplicationMessage.Mark> marks(Iterable<String> of, double nowMs) {
        List<ReplicationMessage.Mark> marks = new ArrayList<>();
        for (String n : of) {
            Owner o = byName.get(n);
            if (o != null) {
                OwnerLog p = o.parts.get(o.life);
                long have = p == null ? 0 : p.have;
                boolean self = n.equals(me) && o.life == life;
                double age = self ? 0 : Math.min(1e15, Math.max(0, nowMs - o.heardAtMs));
                marks.add(new ReplicationMessage.Mark(
                        n,
                        o.life,
                        o.nonce,
                        self ? beat : o.beat,
                        self ? have : o.said,
                        have,
                        (long) Math.ceil(age),
                        o.aside != null));
            }
        }
        return marks;
    }

    /** Ended lives of which parts of sums are kept. */
    public List<ReplicationMessage.Have> ended() {
        List<ReplicationMessage.Have> ended = new ArrayList<>();
        owners.forEach((n, o) -> o.parts.headMap(o.life).forEach((l, p) -> {
            if (p.size() > 0) {
                ended.add(new ReplicationMessage.Have(n, l, p.have));
            }
        }));
        return ended;
    }

    /**
     * Takes a mark.
     *
     * @return whether it was news
     */
    public boolean took(ReplicationMessage.Mark m, double nowMs) {
        if (m.owner().equals(me)) {
            return tookOfMine(m, nowMs);
        }
        Owner o = owner(m.owner());
        if (o == null || m.life() < o.life) {
            return false;
        }
        boolean news = later(m.owner(), o, m.life());
        if (o.nonce == 0) {
            o.nonce = m.nonce();
        } else if (m.nonce() != 0 && m.nonce() != o.nonce) {
            news |= aside(
                    m.owner(),
                    o,
                    "two processes write as " + m.owner() + " in life " + m.life() + ": " + Long.toHexString(o.nonce)
                            + " and " + Long.toHexString(m.nonce()));
        }
        if (m.aside()) {
            news |= aside(m.owner(), o, "put aside by another member in life " + m.life());
        }
        if (m.beat() >= o.beat) {
            news |= m.beat() > o.beat;
            o.beat = m.beat();
            o.said = Math.max(o.said, m.said());
            o.heardAtMs = Math.max(o.heardAtMs, nowMs - m.ageMs());
            held(o);
        }
        return news;
    }

    /** Hears what others know of this member itself. */
    private boolean tookOfMine(ReplicationMessage.Mark m, double nowMs) {
        Owner o = byName.get(me);
        if (m.life() == life && (m.nonce() == nonce || m.nonce() == 0)) {
            hasBeenHeard = true;
            return m.aside()
                    && aside(me, o, "put aside by another member in life " + life) | m.have() > mine().have
                    && aside(me, o, "a peer has write " + m.have() + " of this life, " + mine().have + " were made");
        }
        if (m.life() < life || m.life() == 0) {
            return false;
        }
        boolean untold = !told || !hasBeenHeard && mine().have == 0;
        boolean ended = nowMs - m.ageMs() < beganMs;
        if (untold || ended) {
            // Guards against an old disk and a time of day that went back: the other one is this member's own past,
            // or nothing was told in this life yet.
            alarm("life " + life + " of " + me + " is not the latest, peers know " + m.life() + ": takes the next");
            relive(m.life() + 1, nowMs);
            return true;
        }
        return aside(
                me,
                o,
                m.life() == life
                        ? "another process writes as " + me + " in life " + life
                        : "another process writes as " + me + " in a later life, " + m.life());
    }

    /**
     * Goes on in a later life with all that was written in this one. Counts that others may know stay where they are,
     * as parts of an ended life, so that none is counted twice.
     */
    private void relive(long next, double nowMs) {
        Owner o = byName.get(me);
        OwnerLog before = o.parts.remove(life);
        List<ReplicatedRecord> written = before.all();
        life = next;
        hasBeenHeard = false;
        o.life = next;
        o.aside = null;
        o.parts.put(next, new OwnerLog(me, next));
        before.all().forEach(e -> touch(me, before.life, e.item()));
        if (told) {
            before.end();
            o.parts.put(before.life, before);
            tidy(me, o, before);
        }
        touch(me, before.life, null);
        for (ReplicatedRecord e : written) {
            boolean own = e.space().kind() == RecordSpace.Kind.OWN;
            if (!e.gone() && (own || !told)) {
                write(e.space(), e.key(), e.value(), e.count(), e.below(), nowMs);
            }
        }
        touch(me, next, null);
    }

    /** Whether peers have named this life as it is. */
    public boolean hasBeenHeard() {
        return hasBeenHeard;
    }

    private Owner owner(String name) {
        Owner o = byName.get(name);
        if (o == null && owners.size() < MOST_OWNERS) {
            o = new Owner();
            owners.put(name, o);
            byName.put(name, o);
        }
        return o;
    }

    /** A later life of an owner ends all before it. */
    private boolean later(String name, Owner o, long newest) {
        if (newest <= o.life) {
            return false;
        }
        o.life = newest;
        o.nonce = 0;
        o.beat = 0;
        o.said = 0;
        o.heldAtMs = Double.NEGATIVE_INFINITY;
        o.aside = null;
        for (OwnerLog p : List.copyOf(o.parts.headMap(newest).values())) {
            p.end().forEach(i -> touch(name, p.life, i));
            tidy(name, o, p);
        }
        touch(name, newest, null);
        return true;
    }

    private void tidy(String name, Owner o, OwnerLog p) {
        if (p.life < o.life && p.size() == 0) {
            o.parts.remove(p.life);
            touch(name, p.life, null);
        }
        while (o.parts.size() > MOST_LIVES + 1) {
            OwnerLog first = o.parts.pollFirstEntry().getValue();
            alarm(name + " has more than " + MOST_LIVES + " lives whose sums are not folded: life " + first.life
                    + " is dropped with " + first.all());
            first.all().forEach(e -> touch(name, first.life, e.item()));
            touch(name, first.life, null);
        }
    }

    /** Two wrote in this life: nobody acts on it until a later one. */
    private boolean aside(String name, Owner o, String why) {
        if (o.aside != null) {
            return false;
        }
        o.aside = why;
        alarm(why + ": its records are put aside until a later life");
        OwnerLog p = o.parts.get(o.life);
        if (p != null) {
            p.all().forEach(e -> touch(name, o.life, e.item()));
        }
        return true;
    }

    /** Why an owner's present life was put aside; null if it was not. */
    public String aside(String owner) {
        Owner o = byName.get(owner);
        return o == null ? null : o.aside;
    }

    private static void held(Owner o) {
        OwnerLog p = o.parts.get(o.life);
        if ((p == null ? 0 : p.have) >= o.said) {
            o.heldAtMs = Math.max(o.heldAtMs, o.heardAtMs);
        }
    }

    // ---- logs ----

    /** How far the copy of this life is; empty if the life has ended and nothing of it is kept. */
    public OptionalLong have(String owner, long of) {
        Owner o = byName.get(owner);
        OwnerLog p = o == null ? null : o.parts.get(of);
        return p != null
                ? OptionalLong.of(p.have)
                : o != null && of < o.life ? OptionalLong.empty() : OptionalLong.of(0);
    }

    /** The newest life of this owner that was heard of; 0 if none. */
    public long newest(String owner) {
        Owner o = byName.get(owner);
        return o == null ? 0 : o.life;
    }

    /** What to ask for to get on with this life. */
    public ReplicationMessage.Want want(String owner, long of) {
        Owner o = byName.get(owner);
        OwnerLog p = o == null ? null : o.parts.get(of);
        return p == null
                ? new ReplicationMessage.Want(owner, of, 0, 0, 0)
                : new ReplicationMessage.Want(owner, of, p.have, p.cursor, p.base);
    }

    /**
     * A piece of what is asked for: the log after what the other has; where removals after that are forgotten, a piece
     * of a snapshot.
     *
     * @param mostBytes about how many bytes
     * @return null if there is nothing here that the other lacks
     */
    public ReplicationMessage.Chunk since(ReplicationMessage.Want w, int mostBytes) {
        Owner o = byName.get(w.owner());
        OwnerLog p = o == null ? null : o.parts.get(w.life());
        if (p == null || p.have <= w.have()) {
            return null;
        }
        if (w.life() < o.life || w.have() >= p.floor) {
            return p.piece(w.have(), p.have, 0, o.life, mostBytes);
        }
        // A snapshot that another began goes on only if no removal after its end was forgotten since.
        boolean goesOn = w.base() > w.have() && w.base() <= p.have && w.cursor() < w.base();
        return goesOn
                ? p.piece(w.cursor(), w.base(), w.base(), o.life, mostBytes)
                : p.piece(0, p.have, p.have, o.life, mostBytes);
    }

    /** What was written after one write, without a look at what a certain peer has. */
    public ReplicationMessage.Chunk after(String owner, long of, long from, int mostBytes) {
        Owner o = byName.get(owner);
        OwnerLog p = o == null ? null : o.parts.get(of);
        return p == null || from >= p.have || from < p.floor ? null : p.piece(from, p.have, 0, o.life, mostBytes);
    }

    /** Takes a piece of a log or of a snapshot. */
    public Took took(ReplicationMessage.Chunk c, double nowMs) {
        Owner o = owner(c.owner());
        if (o == null) {
            return Took.REFUSED;
        }
        for (ReplicatedRecord e : c.entries()) {
            if (!e.intact(c.owner())) {
                alarm("a peer sent a record of " + c.owner() + " that is not what it wrote: " + e);
                return Took.REFUSED;
            }
        }
        if (c.owner().equals(me) && c.life() >= life) {
            clashes(o, mine(), c.life() == life ? c.entries() : List.of());
            if (c.life() == life && c.to() > mine().have) {
                aside(me, o, "a peer has write " + c.to() + " of this life, " + mine().have + " were made");
            }
            return Took.KNOWN;
        }
        if (!c.owner().equals(me)) {
            later(c.owner(), o, c.newest());
        }
        OwnerLog p = o.parts.computeIfAbsent(c.life(), l -> new OwnerLog(c.owner(), l));
        clashes(o, p, c.entries());
        Took t = p.size() + c.entries().size() > MOST_RECORDS ? Took.REFUSED : place(o, p, c, nowMs);
        held(o);
        touch(c.owner(), c.life(), null);
        tidy(c.owner(), o, p);
        return t;
    }

    private Took place(Owner o, OwnerLog p, ReplicationMessage.Chunk c, double nowMs) {
        boolean ended = p.life < o.life;
        if (c.base() == 0 || ended) {
            if (c.from() > p.have) {
                return Took.GAP;
            }
            if (c.to() <= p.have) {
                return Took.KNOWN;
            }
            for (ReplicatedRecord e : c.entries()) {
                if (e.version().sequence() > p.have) {
                    apply(o, p, e, nowMs);
                }
            }
            p.have = c.to();
            p.base = 0;
            p.cursor = 0;
            return Took.NEW;
        }
        if (c.base() <= p.have) {
            return Took.KNOWN;
        }
        if (p.base != c.base()) {
            if (c.from() != 0) {
                return Took.GAP;
            }
            p.base = c.base();
            p.cursor = 0;
        }
        if (c.from() > p.cursor) {
            return Took.GAP;
        }
        if (c.to() <= p.cursor) {
            return Took.KNOWN;
        }
        p.dropBetween(p.cursor, c.to(), c.entries()).forEach(i -> touch(p.owner, p.life, i));
        for (ReplicatedRecord e : c.entries()) {
            if (e.version().sequence() > p.cursor) {
                apply(o, p, e, nowMs);
            }
        }
        p.cursor = c.to();
        p.floor = Math.max(p.floor, c.floor());
        if (p.cursor >= p.base) {
            p.have = p.base;
            p.base = 0;
            p.cursor = 0;
        }
        return Took.NEW;
    }

    /** One write of one life: parts of sums that are within it go, and it stays out if it is within a later one. */
    private void apply(Owner o, OwnerLog p, ReplicatedRecord e, double nowMs) {
        if (e.space().kind() == RecordSpace.Kind.OWN) {
            if (p.life == o.life && p.apply(e, nowMs)) {
                touch(p.owner, p.life, e.item());
            }
            return;
        }
        for (OwnerLog later : o.parts.tailMap(p.life, false).values()) {
            ReplicatedRecord l = later.get(e.item());
            if (l != null && l.below() > p.life) {
                return;
            }
        }
        if (p.apply(e, nowMs)) {
            touch(p.owner, p.life, e.item());
            for (OwnerLog earlier :
                    List.copyOf(o.parts.headMap(Math.min(e.below(), p.life)).values())) {
                earlier.drop(e.item());
                touch(p.owner, earlier.life, e.item());
                tidy(p.owner, o, earlier);
            }
        }
    }

    private void clashes(Owner o, OwnerLog p, List<ReplicatedRecord> entries) {
        for (ReplicatedRecord e : entries) {
            ReplicatedRecord mine = p.at(e.version().sequence());
            if (mine != null && mine.sum() != e.sum() && mine.intact(p.owner)) {
                clash(o, p, mine, e);
            }
        }
    }

    private void clash(Owner o, OwnerLog p, ReplicatedRecord mine, ReplicatedRecord theirs) {
        String both = "one write of " + p.owner + " with two contents: here " + mine + ", there " + theirs;
        if (p.life == o.life) {
            aside(p.owner, o, both);
        } else if (theirs.count() > mine.count() && theirs.item().equals(mine.item())) {
            alarm(both + ": the greater count stays");
            p.replace(theirs, 0);
            touch(p.owner, p.life, mine.item());
        }
    }

    // ---- copies that differ ----

    /** Digests of this copy by range; null if it has none of this life, or a snapshot is under way. */
    public long[] digests(String owner, long of) {
        Owner o = byName.get(owner);
        OwnerLog p = o == null ? null : o.parts.get(of);
        return p == null || p.base != 0 || p.have == 0 ? null : p.digests();
    }

    /** Lives of this owner of which something is here, earliest first. */
    public List<Long> lives(String owner) {
        Owner o = byName.get(owner);
        return o == null ? List.of() : List.copyOf(o.parts.keySet());
    }

    /** Records of one life in a range of keys, in the order of keys, removals that are not forgotten among them. */
    public List<ReplicatedRecord> range(String owner, long of, int range) {
        Owner o = byName.get(owner);
        OwnerLog p = o == null ? null : o.parts.get(of);
        return p == null
                ? List.of()
                : p.all().stream()
                        .filter(e -> e.item().range() == range)
                        .sorted((a, b) -> a.item().compareTo(b.item()))
                        .toList();
    }

    /** All records of one life, removals that are not forgotten among them, in the order of writes. */
    public List<ReplicatedRecord> all(String owner, long of) {
        Owner o = byName.get(owner);
        OwnerLog p = o == null ? null : o.parts.get(of);
        return p == null ? List.of() : p.all();
    }

    /** The last write of this key by this life, a removal too; null if there is none. */
    public ReplicatedRecord entry(String owner, long of, RecordKey item) {
        Owner o = byName.get(owner);
        OwnerLog p = o == null ? null : o.parts.get(of);
        return p == null ? null : p.get(item);
    }

    /** Puts a record in the place of a copy that the rule found to be the wrong one; null drops it. */
    public void mend(String owner, long of, RecordKey item, ReplicatedRecord by, double nowMs) {
        Owner o = byName.get(owner);
        OwnerLog p = o == null ? null : o.parts.get(of);
        if (p != null && (by == null || by.intact(owner))) {
            if (by == null) {
                p.drop(item);
            } else {
                p.replace(by, nowMs);
            }
            touch(owner, of, item);
        }
    }

    /** Two contents of one write were found side by side. */
    void clash(String owner, long of, ReplicatedRecord mine, ReplicatedRecord theirs) {
        Owner o = byName.get(owner);
        OwnerLog p = o == null ? null : o.parts.get(of);
        if (p != null) {
            clash(o, p, mine, theirs);
        }
    }

    /** Gives a copy up, so that it is fetched whole. */
    public void again(String owner, long of) {
        Owner o = byName.get(owner);
        OwnerLog p = o == null || owner.equals(me) && of == life ? null : o.parts.get(of);
        if (p != null) {
            p.all().forEach(e -> {
                p.drop(e.item());
                touch(owner, of, e.item());
            });
            p.have = 0;
            p.floor = 0;
            p.base = 0;
            p.cursor = 0;
            o.heldAtMs = Double.NEGATIVE_INFINITY;
            touch(owner, of, null);
        }
    }

    // ---- reading ----

    /** The sum over all owners and lives. */
    public long sum(RecordSpace space, String key) {
        require(space, RecordSpace.Kind.COUNTED);
        RecordKey item = new RecordKey(space, key);
        long sum = 0;
        for (Owner o : owners.values()) {
            for (OwnerLog p : o.parts.values()) {
                ReplicatedRecord e = p.get(item);
                sum = e == null ? sum : e.count() > Long.MAX_VALUE - sum ? Long.MAX_VALUE : sum + e.count();
            }
        }
        return sum;
    }

    /** All records of a space that may be looked at. */
    public List<Replica.Seen> seen(RecordSpace space, double nowMs) {
        List<Replica.Seen> seen = new ArrayList<>();
        owners.forEach((n, o) -> {
            for (OwnerLog p : o.parts.values()) {
                for (ReplicatedRecord e : p.all()) {
                    Replica.Seen s = e.space() == space ? seen(n, o, p, e, nowMs) : null;
                    if (s != null) {
                        seen.add(s);
                    }
                }
            }
        });
        return seen;
    }

    /** One record of an owner's newest life; null if there is none that may be looked at. */
    public Replica.Seen seen(String owner, RecordSpace space, String key, double nowMs) {
        Owner o = byName.get(owner);
        OwnerLog p = o == null ? null : o.parts.get(o.life);
        ReplicatedRecord e = p == null ? null : p.get(new RecordKey(space, key));
        return e == null ? null : seen(owner, o, p, e, nowMs);
    }

    private Replica.Seen seen(String name, Owner o, OwnerLog p, ReplicatedRecord e, double nowMs) {
        boolean own = e.space().kind() == RecordSpace.Kind.OWN;
        if (e.gone() || own && (o.aside != null || p.life < o.life)) {
            return null;
        }
        byte[] value = own ? e.value() : Long.toString(e.count()).getBytes(java.nio.charset.StandardCharsets.US_ASCII);
        return new Replica.Seen(
                name, e.key(), e.version(), value, name.equals(me) ? 0 : Math.max(0, nowMs - o.heldAtMs));
    }

    /** How long ago this owner last gave a sign of life, in milliseconds; infinite if it never did. */
    public double heardMs(String owner, double nowMs) {
        Owner o = byName.get(owner);
        return owner.equals(me) ? 0 : o == null ? Double.POSITIVE_INFINITY : Math.max(0, nowMs - o.heardAtMs);
    }

    /** How many writes its newest life is said to have made. */
    public long said(String owner) {
        Owner o = byName.get(owner);
        return owner.equals(me) ? mine().have : o == null ? 0 : o.said;
    }

    /** How many records are here. */
    public long size() {
        return owners.values().stream()
                .flatMap(o -> o.parts.values().stream())
                .mapToLong(OwnerLog::size)
                .sum();
    }

    // ---- disk ----

    /** Puts back what a disk had of one life. */
    public void restore(String owner, long of, long have, long floor, List<ReplicatedRecord> entries) {
        Owner o = owner(owner);
        if (o == null || owner.equals(me) && of >= life) {
            return;
        }
        later(owner, o, of);
        OwnerLog p = o.parts.computeIfAbsent(of, l -> new OwnerLog(owner, l));
        entries.forEach(e -> apply(o, p, e, 0));
        p.have = have;
        p.floor = floor;
        tidy(owner, o, p);
    }

    /** How many records of this life are here. */
    public int size(String owner, long of) {
        Owner o = byName.get(owner);
        OwnerLog p = o == null ? null : o.parts.get(of);
        return p == null ? 0 : p.size();
    }

    /** How far removals of this life are forgotten. */
    public long floor(String owner, long of) {
        Owner o = byName.get(owner);
        OwnerLog p = o == null ? null : o.parts.get(of);
        return p == null ? 0 : p.floor;
    }

    /** Everything, for comparison. */
    @Override
    public String toString() {
        StringBuilder s = new StringBuilder(me).append(life);
        owners.forEach((n, o) -> s.append(' ')
                .append(n)
                .append(o.life)
                .append(o.aside == null ? "" : "!")
                .append(o.parts.values()));
        return s.toString();
    }
}
