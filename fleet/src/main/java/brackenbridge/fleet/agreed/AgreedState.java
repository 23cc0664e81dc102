package brackenbridge.fleet.agreed;

import brackenbridge.core.generation.DecidedVersion;
import brackenbridge.core.generation.LeaseAuthority;
import brackenbridge.core.generation.LeaseTerms;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * What is decided, as far as this voter knows: the same at each voter after the same entries. Its bounds are constants,
 * for each voter must come to the same result.
 */
final class AgreedState {
    /** Longest content, in bytes. */
    static final int MAX_CONTENT = 256 * 1024;
    /** Longest name of a value or role. */
    static final int MAX_NAME = 64;
    /** Names that are kept at most; their contents together are bounded by {@link #MAX_BYTES}. */
    static final int MAX_NAMES = 1024;
    /** Contents that are kept at most, of all names and generations; in bytes. A snapshot has room for them. */
    static final long MAX_BYTES = 48L * 1024 * 1024;

    private static final int MAX_ROLES = 256;
    /** Generations of a name that are kept beside those in force and staged. */
    private static final int MAX_HISTORY = 16;

    private static final int MAX_HISTORY_BYTES = 512 * 1024;
    /** The authority's terms where no lease is granted. */
    private static final LeaseTerms NO_LEASES = new LeaseTerms(1, 0);

    /** What became of a generation. */
    enum Outcome {
        @JsonProperty("STAGED")
        STAGED,
        @JsonProperty("IN_FORCE")
        IN_FORCE,
        @JsonProperty("ABANDONED")
        ABANDONED
    }

    /**
     * A generation that is kept.
     *
     * @param by who proposed it
     * @param life the proposer's process
     * @param number the proposal's number in that process
     * @param came what became of it
     */
    record Generation(
            @JsonProperty("generation") long generation,
            @JsonProperty("content") byte[] content,
            @JsonProperty("by") String by,
            @JsonProperty("life") long life,
            @JsonProperty("number") long number,
            @JsonProperty("came") Outcome came) {
        Generation with(Outcome next) {
            return new Generation(generation, content, by, life, number, next);
        }
    }

    /**
     * All that is decided of a name.
     *
     * @param word the generations in force and staged
     * @param last the greatest generation that was used
     * @param history the generations that are kept, oldest first
     */
    record Named(
            @JsonProperty("name") String name,
            @JsonProperty("word") DecidedVersion word,
            @JsonProperty("last") long last,
            @JsonProperty("history") List<Generation> history) {}

    /** Who acts in a role, since when by count, and with which longest lease. */
    record Role(
            @JsonProperty("role") String role,
            @JsonProperty("holder") String holder,
            @JsonProperty("life") long life,
            @JsonProperty("token") long token,
            @JsonProperty("forMs") double forMs) {}

    /** A copy of all of it, for snapshots. */
    record Image(
            @JsonProperty("reign") long leaderTerm,
            @JsonProperty("names") List<Named> names,
            @JsonProperty("roles") List<Role> roles) {}

    /** What a command has done; {@code VOID}: nothing, as it was overtaken. */
    enum Result {
        STAGED,
        IN_FORCE,
        ABANDONED,
        OVERTAKEN,
        ANOTHER_STAGED,
        FULL,
        DONE,
        VOID
    }

    private final Map<String, Named> names = new TreeMap<>();
    private final Map<String, Role> roles = new TreeMap<>();
    private long leaderTerm;
    private long bytes;

    /** How many leader terms have begun. */
    long leaderTerm() {
        return leaderTerm;
    }

    Map<String, Named> names() {
        return names;
    }

    Optional<Named> named(String name) {
        return Optional.ofNullable(names.get(name));
    }

    Optional<Role> role(String role) {
        return Optional.ofNullable(roles.get(role));
    }

    Map<String, Role> roles() {
        return roles;
    }

    /** A generation that is kept. */
    Optional<Generation> kept(String name, long generation) {
        return named(name).stream()
                .flatMap(n -> n.history().stream())
                .filter(k -> k.generation() == generation)
                .findFirst();
    }

    /** The generation that this proposal became, if it did. */
    Optional<Generation> proposed(String name, String by, long life, long number) {
        return named(name).stream()
                .flatMap(n -> n.history().stream())
                .filter(k -> k.by().equals(by) && k.life() == life && k.number() == number)
                .findFirst();
    }

    /** Applies a command of the log. */
    Result apply(LogCommand op) {
        if (op instanceof LogCommand.BeginTerm) {
            leaderTerm++;
            return Result.DONE;
        }
        if (op instanceof LogCommand.Stage s) {
            return stage(s);
        }
        if (op instanceof LogCommand.Activate a) {
            Named n = names.get(a.name());
            return current(n, a.version(), a.leaderTerm()) ? settle(n, Outcome.IN_FORCE) : Result.VOID;
        }
        if (op instanceof LogCommand.Abandon a) {
            Named n = names.get(a.name());
            return current(n, a.version(), a.leaderTerm()) ? settle(n, Outcome.ABANDONED) : Result.VOID;
        }
        return take((LogCommand.Take) op);
    }

    // Guards against a command of an earlier leader term, or for a decision that was overtaken on the way.
    private boolean current(Named n, long version, long commandTerm) {
        return n != null
                && commandTerm == leaderTerm
                && n.word().version() == version
                && n.word().staged() != 0;
    }

    private Result stage(LogCommand.Stage s) {
        Optional<Generation> again = proposed(s.name(), s.by(), s.life(), s.number());
        if (again.isPresent()) {
            return Result.valueOf(again.get().came().name());
        }
        if (!names.containsKey(s.name()) && names.size() >= MAX_NAMES
                || s.content().length > MAX_CONTENT
                || s.name().length() > MAX_NAME
                || bytes + s.content().length > MAX_BYTES) {
            return Result.FULL;
        }
        Named n = names.getOrDefault(s.name(), new Named(s.name(), DecidedVersion.NONE, 0, List.of()));
        LeaseAuthority a = alone(n);
        LeaseAuthority.ProposalVerdict v = a.evaluateProposal(s.expected());
        if (v != LeaseAuthority.ProposalVerdict.STAGED) {
            return Result.valueOf(v.name());
        }
        LeaseAuthority staged = a.stage();
        List<Generation> history = new ArrayList<>(n.history());
        history.add(new Generation(staged.lastGeneration(), s.content(), s.by(), s.life(), s.number(), Outcome.STAGED));
        keep(new Named(s.name(), staged.decided(), staged.lastGeneration(), trimmed(history, staged.decided())));
        return Result.STAGED;
    }

    private Result settle(Named n, Outcome came) {
        LeaseAuthority a = alone(n);
        long settled = n.word().staged();
        LeaseAuthority next = came == Outcome.IN_FORCE ? a.activate(0) : a.abandon();
        List<Generation> history = n.history().stream()
                .map(k -> k.generation() == settled ? k.with(came) : k)
                .toList();
        keep(new Named(n.name(), next.decided(), n.last(), trimmed(history, next.decided())));
        return Result.valueOf(came.name());
    }

    private void keep(Named named) {
        Named before = names.put(named.name(), named);
        bytes += bytes(named) - (before == null ? 0 : bytes(before));
    }

    private static long bytes(Named named) {
        return named.history().stream().mapToLong(kept -> kept.content().length).sum();
    }

    /** The rules of words and numbers are the authority's; the leases that it waits for are the leader's to know. */
    private static LeaseAuthority alone(Named n) {
        return new LeaseAuthority(NO_LEASES, n.word(), n.last(), Double.NEGATIVE_INFINITY, Map.of());
    }

    private static List<Generation> trimmed(List<Generation> history, DecidedVersion word) {
        List<Generation> kept = new ArrayList<>();
        int count = 0;
        long bytes = 0;
        for (int i = history.size() - 1; i >= 0; i--) {
            Generation k = history.get(i);
            count++;
            bytes += k.content().length;
            if (k.generation() == word.inForce()
                    || k.generation() == word.staged()
                    || count <= MAX_HISTORY && bytes <= MAX_HISTORY_BYTES) {
                kept.add(0, k);
            }
        }
        return List.copyOf(kept);
    }

    private Result take(LogCommand.Take t) {
        Role r = roles.get(t.role());
        if (t.leaderTerm() != leaderTerm || t.token() != (r == null ? 0 : r.token())) {
            return Result.VOID;
        }
        if (r == null && roles.size() >= MAX_ROLES) {
            return Result.FULL;
        }
        boolean same = r != null && r.holder().equals(t.holder()) && r.life() == t.life();
        roles.put(
                t.role(),
                new Role(
                        t.role(),
                        t.holder(),
                        t.life(),
                        same ? r.token() : t.token() + 1,
                        same ? Math.max(r.forMs(), t.forMs()) : t.forMs()));
        return Result.DONE;
    }

    /** What a snapshot is made of. */
    Image image() {
        return new Image(leaderTerm, List.copyOf(names.values()), List.copyOf(roles.values()));
    }

    /** Replaces all by a snapshot's state. */
    void restore(Image image) {
        names.clear();
        roles.clear();
        leaderTerm = image.leaderTerm();
        bytes = 0;
        image.names().forEach(this::keep);
        image.roles().forEach(r -> roles.put(r.role(), r));
    }
}
