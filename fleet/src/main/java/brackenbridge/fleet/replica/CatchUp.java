package brackenbridge.fleet.replica;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What peers have named and this member lacks, from whom to ask it and when. Bounded: one line for each life of an
 * owner that is behind.
 */
public final class CatchUp {
    /**
     * One life of an owner.
     *
     * @param owner whose
     * @param life which life
     */
    public record Of(String owner, long life) implements Comparable<Of> {
        @Override
        public int compareTo(Of o) {
            int c = owner.compareTo(o.owner);
            return c != 0 ? c : Long.compare(life, o.life);
        }
    }

    private static final class Lack {
        long named;
        long held;
        String from;
        double sinceMs;
        long namedSince;
        double askAtMs;
        int asked;
        double namedAtMs;
    }

    private static final double UNNAMED_MS = 5000;

    private final ReplicationLimits terms;
    private final Map<Of, Lack> lacks = new TreeMap<>();
    private boolean wasLevel;

    /** Nothing was named yet. */
    public CatchUp(ReplicationLimits terms) {
        this.terms = terms;
    }

    /** A peer has said how far its copy is. */
    public void named(String peer, Of of, long named, long held, double nowMs) {
        if (named <= held) {
            return;
        }
        Lack l = lacks.get(of);
        if (l == null) {
            if (lacks.size() >= 2 * RecordStore.MAX_OWNERS) {
                return;
            }
            l = new Lack();
            l.sinceMs = nowMs;
            l.namedSince = named;
            lacks.put(of, l);
        }
        l.held = held;
        // The first who has all of it stays the one to ask, unless it did not answer.
        if (named > l.named || l.asked > 1) {
            l.from = peer;
            l.asked = 0;
        }
        l.named = Math.max(l.named, named);
        l.namedAtMs = nowMs;
    }

    /** Lives of an owner before this one have ended: what peers keep of them is named anew. */
    public void ended(String owner, long before) {
        lacks.keySet().removeIf(of -> of.owner().equals(owner) && of.life() < before);
    }

    /** The copy has got so far; or there is no need of it any more, with the greatest number. */
    public void held(Of of, long held, double nowMs) {
        Lack l = lacks.get(of);
        if (l == null) {
            return;
        }
        if (held >= l.named) {
            lacks.remove(of);
            return;
        }
        if (held >= l.namedSince) {
            l.sinceMs = nowMs;
            l.namedSince = l.named;
        }
        l.held = held;
        l.asked = 0;
        l.askAtMs = nowMs;
    }

    /** What to ask for now, by peer; each is asked for again after a while without an answer. */
    public Map<String, List<Of>> due(double nowMs) {
        Map<String, List<Of>> due = new LinkedHashMap<>();
        // Guards against waiting for ever for what nobody in reach names any more: folded, or its only holder is gone.
        lacks.values().removeIf(l -> l.asked > 2 && nowMs - l.namedAtMs > UNNAMED_MS);
        lacks.forEach((of, l) -> {
            if (l.askAtMs <= nowMs) {
                List<Of> of1 = due.computeIfAbsent(l.from, p -> new ArrayList<>());
                if (of1.size() < 64) {
                    of1.add(of);
                    l.asked++;
                    l.askAtMs = nowMs + terms.againMs() * Math.min(8, l.asked);
                }
            }
        });
        return due;
    }

    /** How many writes it is known to lack: at least as many as records, since some were written over. */
    public long behind() {
        return lacks.values().stream().mapToLong(l -> l.named - l.held).sum();
    }

    /** Whether it has all that was named, but for what was named a moment ago; the first time, without that. */
    public boolean level(boolean listened, double nowMs) {
        wasLevel |= listened && lacks.isEmpty();
        return wasLevel && lacks.values().stream().allMatch(l -> nowMs - l.sinceMs <= terms.lagMs());
    }
}
