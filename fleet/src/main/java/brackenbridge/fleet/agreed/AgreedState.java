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
    static final int MAX_CONTENT_BYTES = 256 * 1024;
    /** Longest name of a value or role. */
    static final int MAX_NAME_LENGTH = 64;
    /** Names that are kept at most; their contents together are bounded by {@link #MAX_BYTES}. */
    static final int MAX_NAMES = 1024;
    /** Contents that are kept at most, of all names and generations; in bytes. A snapshot has room for them. */
    static final long MAX_TOTAL_BYTES = 48L * 1024 * 1024;

    private static final int MAX_ROLES = 256;
    /** Generations of a name that are kept beside those in force and staged. */
    private static final int MAX_HISTORY_GENERATIONS = 16;

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
            @JsonProperty("by") String proposer,
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber,
            @JsonProperty("came") Outcome outcome) {
        Generation withOutcome(Outcome next) {
            return new Generation(generation, content, proposer, incarnation, requestNumber, next);
        }
    }

    /**
     * All that is decided of a name.
     *
     * @param word the generations in force and staged
     * @param last the greatest generation that was used
     * @param history the generations that are kept, oldest first
     */
    record NamedValue(
            @JsonProperty("name") String name,
            @JsonProperty("word") DecidedVersion decided,
            @JsonProperty("last") long lastGeneration,
            @JsonProperty("history") List<Generation> history) {}

    /** Who acts in a role, since when by count, and with which longest lease. */
    record RoleState(
            @JsonProperty("role") String role,
            @JsonProperty("holder") String holder,
            @JsonProperty("life") long incarnation,
            @JsonProperty("token") long token,
            @JsonProperty("forMs") double maxLeaseMs) {}

    /** A copy of all of it, for snapshots. */
    record Snapshot(
            @JsonProperty("reign") long leaderTerm,
            @JsonProperty("names") List<NamedValue> names,
            @JsonProperty("roles") List<RoleState> roles) {}

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

    private final Map<String, NamedValue> names = new TreeMap<>();
    private final Map<String, RoleState> roles = new TreeMap<>();
    private long leaderTerm;
    private long contentBytes;

    /** How many leader terms have begun. */
    long leaderTerm() {
        return leaderTerm;
    }

    Map<String, NamedValue> names() {
        return names;
    }

    Optional<NamedValue> find(String name) {
        return Optional.ofNullable(names.get(name));
    }

    Optional<RoleState> role(String role) {
        return Optional.ofNullable(roles.get(role));
    }

    Map<String, RoleState> roles() {
        return roles;
    }

    /** A generation that is kept. */
    Optional<Generation> findGeneration(String name, long generation) {
        return find(name).stream()
                .flatMap(n -> n.history().stream())
                .filter(k -> k.generation() == generation)
                .findFirst();
    }

    /** The generation that this proposal became, if it did. */
    Optional<Generation> findProposal(String name, String by, long life, long number) {
        return find(name).stream()
                .flatMap(n -> n.history().stream())
                .filter(k -> k.proposer().equals(by) && k.incarnation() == life && k.requestNumber() == number)
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
            NamedValue n = names.get(a.name());
            return isCurrent(n, a.version(), a.leaderTerm()) ? resolveStaged(n, Outcome.IN_FORCE) : Result.VOID;
        }
        if (op instanceof LogCommand.Abandon a) {
            NamedValue n = names.get(a.name());
            return isCurrent(n, a.version(), a.leaderTerm()) ? resolveStaged(n, Outcome.ABANDONED) : Result.VOID;
        }
        return grantRole((LogCommand.GrantRole) op);
    }

    // Guards against a command of an earlier leader term, or for a decision that was overtaken on the way.
    private boolean isCurrent(NamedValue n, long version, long commandTerm) {
        return n != null
                && commandTerm == leaderTerm
                && n.decided().version() == version
                && n.decided().staged() != 0;
    }

    private Result stage(LogCommand.Stage s) {
        Optional<Generation> again = findProposal(s.name(), s.proposer(), s.incarnation(), s.requestNumber());
        if (again.isPresent()) {
            return Result.valueOf(again.get().outcome().name());
        }
        if (!names.containsKey(s.name()) && names.size() >= MAX_NAMES
                || s.content().length > MAX_CONTENT_BYTES
                || s.name().length() > MAX_NAME_LENGTH
                || contentBytes + s.content().length > MAX_TOTAL_BYTES) {
            return Result.FULL;
        }
        NamedValue n = names.getOrDefault(s.name(), new NamedValue(s.name(), DecidedVersion.NONE, 0, List.of()));
        LeaseAuthority a = authority(n);
        LeaseAuthority.ProposalVerdict v = a.judgeProposal(s.expectedGeneration());
        if (v != LeaseAuthority.ProposalVerdict.STAGED) {
            return Result.valueOf(v.name());
        }
        LeaseAuthority staged = a.stage();
        List<Generation> history = new ArrayList<>(n.history());
        history.add(new Generation(
                staged.lastGeneration(),
                s.content(),
                s.proposer(),
                s.incarnation(),
                s.requestNumber(),
                Outcome.STAGED));
        put(new NamedValue(
                s.name(), staged.decided(), staged.lastGeneration(), trimHistory(history, staged.decided())));
        return Result.STAGED;
    }

    private Result resolveStaged(NamedValue n, Outcome came) {
        LeaseAuthority a = authority(n);
        long settled = n.decided().staged();
        LeaseAuthority next = came == Outcome.IN_FORCE ? a.activate(0) : a.abandon();
        List<Generation> history = n.history().stream()
                .map(k -> k.generation() == settled ? k.withOutcome(came) : k)
                .toList();
        put(new NamedValue(n.name(), next.decided(), n.lastGeneration(), trimHistory(history, next.decided())));
        return Result.valueOf(came.name());
    }

    private void put(NamedValue named) {
        NamedValue before = names.put(named.name(), named);
        contentBytes += contentBytes(named) - (before == null ? 0 : contentBytes(before));
    }

    private static long contentBytes(NamedValue named) {
        return named.history().stream().mapToLong(kept -> kept.content().length).sum();
    }

    /** The rules of words and numbers are the authority's; the leases that it waits for are the leader's to know. */
    private static LeaseAuthority authority(NamedValue n) {
        return new LeaseAuthority(NO_LEASES, n.decided(), n.lastGeneration(), Double.NEGATIVE_INFINITY, Map.of());
    }

    private static List<Generation> trimHistory(List<Generation> history, DecidedVersion word) {
        List<Generation> kept = new ArrayList<>();
        int count = 0;
        long bytes = 0;
        for (int i = history.size() - 1; i >= 0; i--) {
            Generation k = history.get(i);
            count++;
            bytes += k.content().length;
            if (k.generation() == word.inForce()
                    || k.generation() == word.staged()
                    || count <= MAX_HISTORY_GENERATIONS && bytes <= MAX_HISTORY_BYTES) {
                kept.add(0, k);
            }
        }
        return List.copyOf(kept);
    }

    private Result grantRole(LogCommand.GrantRole t) {
        RoleState r = roles.get(t.role());
        if (t.leaderTerm() != leaderTerm || t.previousToken() != (r == null ? 0 : r.token())) {
            return Result.VOID;
        }
        if (r == null && roles.size() >= MAX_ROLES) {
            return Result.FULL;
        }
        boolean same = r != null && r.holder().equals(t.holder()) && r.incarnation() == t.incarnation();
        roles.put(
                t.role(),
                new RoleState(
                        t.role(),
                        t.holder(),
                        t.incarnation(),
                        same ? r.token() : t.previousToken() + 1,
                        same ? Math.max(r.maxLeaseMs(), t.leaseMs()) : t.leaseMs()));
        return Result.DONE;
    }

    /** What a snapshot is made of. */
    Snapshot snapshot() {
        return new Snapshot(leaderTerm, List.copyOf(names.values()), List.copyOf(roles.values()));
    }

    /** Replaces all by a snapshot's state. */
    void restore(Snapshot image) {
        names.clear();
        roles.clear();
        leaderTerm = image.leaderTerm();
        contentBytes = 0;
        image.names().forEach(this::put);
        image.roles().forEach(r -> roles.put(r.role(), r));
    }
}
