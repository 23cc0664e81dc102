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
 * The replicated state: after the same log entries it is the same at each voter. Its limits are constants, not
 * settings, because each voter must compute the same result.
 */
final class AgreedState {
    /** Maximum length of a content, in bytes. */
    static final int MAX_CONTENT_BYTES = 256 * 1024;
    /** Maximum length of the name of a value or role. */
    static final int MAX_NAME_LENGTH = 64;
    /** Maximum number of names; the total size of their contents is limited by {@link #MAX_TOTAL_BYTES}. */
    static final int MAX_NAMES = 1024;
    /** Maximum size of all stored contents, of all names and generations, in bytes; it fits into a snapshot. */
    static final long MAX_TOTAL_BYTES = 48L * 1024 * 1024;

    private static final int MAX_ROLES = 256;
    /** Stored generations of a name, in addition to those in force and staged. */
    private static final int MAX_HISTORY_GENERATIONS = 16;

    private static final int MAX_HISTORY_BYTES = 512 * 1024;
    /** The terms of the authority here, where no lease is granted. */
    private static final LeaseTerms NO_LEASES = new LeaseTerms(1, 0);

    /** State of a generation. */
    enum Outcome {
        @JsonProperty("STAGED")
        STAGED,
        @JsonProperty("IN_FORCE")
        IN_FORCE,
        @JsonProperty("ABANDONED")
        ABANDONED
    }

    /**
     * A stored generation.
     *
     * @param proposer the member that proposed it
     * @param incarnation the proposer's incarnation
     * @param requestNumber the number of the proposal in that incarnation
     * @param outcome whether it is staged, came into force or was abandoned
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
     * The state of a name.
     *
     * @param decided the generations in force and staged
     * @param lastGeneration the highest generation number used so far
     * @param history the stored generations, oldest first
     */
    record NamedValue(
            @JsonProperty("name") String name,
            @JsonProperty("word") DecidedVersion decided,
            @JsonProperty("last") long lastGeneration,
            @JsonProperty("history") List<Generation> history) {}

    /**
     * The lease holder of a role.
     *
     * @param incarnation the holder's incarnation
     * @param token fencing token, higher for each new holder
     * @param maxLeaseMs the longest lease that the holder was granted, in milliseconds
     */
    record RoleState(
            @JsonProperty("role") String role,
            @JsonProperty("holder") String holder,
            @JsonProperty("life") long incarnation,
            @JsonProperty("token") long token,
            @JsonProperty("forMs") double maxLeaseMs) {}

    /** An immutable copy of the state. */
    record Snapshot(
            @JsonProperty("reign") long leaderTerm,
            @JsonProperty("names") List<NamedValue> names,
            @JsonProperty("roles") List<RoleState> roles) {}

    /** Result of a command; {@code VOID} if it had no effect because it was outdated. */
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

    /** Number of leader terms that have begun. */
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

    /** Returns a stored generation. */
    Optional<Generation> findGeneration(String name, long generation) {
        return find(name).stream()
                .flatMap(named -> named.history().stream())
                .filter(kept -> kept.generation() == generation)
                .findFirst();
    }

    /** Returns the generation that was created from this proposal, if it is stored. */
    Optional<Generation> findProposal(String name, String proposer, long incarnation, long requestNumber) {
        return find(name).stream()
                .flatMap(named -> named.history().stream())
                .filter(kept -> kept.proposer().equals(proposer)
                        && kept.incarnation() == incarnation
                        && kept.requestNumber() == requestNumber)
                .findFirst();
    }

    /** Applies a command of the log. */
    Result apply(LogCommand command) {
        if (command instanceof LogCommand.BeginTerm) {
            leaderTerm++;
            return Result.DONE;
        }
        if (command instanceof LogCommand.Stage stage) {
            return stage(stage);
        }
        if (command instanceof LogCommand.Activate activate) {
            NamedValue value = names.get(activate.name());
            return isCurrent(value, activate.version(), activate.leaderTerm())
                    ? resolveStaged(value, Outcome.IN_FORCE)
                    : Result.VOID;
        }
        if (command instanceof LogCommand.Abandon abandon) {
            NamedValue value = names.get(abandon.name());
            return isCurrent(value, abandon.version(), abandon.leaderTerm())
                    ? resolveStaged(value, Outcome.ABANDONED)
                    : Result.VOID;
        }
        return grantRole((LogCommand.GrantRole) command);
    }

    // Guards against a command of an earlier leader term, or for a version that has been superseded meanwhile.
    private boolean isCurrent(NamedValue value, long version, long commandTerm) {
        return value != null
                && commandTerm == leaderTerm
                && value.decided().version() == version
                && value.decided().staged() != 0;
    }

    private Result stage(LogCommand.Stage command) {
        Optional<Generation> duplicate =
                findProposal(command.name(), command.proposer(), command.incarnation(), command.requestNumber());
        if (duplicate.isPresent()) {
            return Result.valueOf(duplicate.get().outcome().name());
        }
        if (!names.containsKey(command.name()) && names.size() >= MAX_NAMES
                || command.content().length > MAX_CONTENT_BYTES
                || command.name().length() > MAX_NAME_LENGTH
                || contentBytes + command.content().length > MAX_TOTAL_BYTES) {
            return Result.FULL;
        }
        NamedValue value =
                names.getOrDefault(command.name(), new NamedValue(command.name(), DecidedVersion.NONE, 0, List.of()));
        LeaseAuthority authority = authority(value);
        LeaseAuthority.ProposalVerdict verdict = authority.evaluateProposal(command.expectedGeneration());
        if (verdict != LeaseAuthority.ProposalVerdict.STAGED) {
            return Result.valueOf(verdict.name());
        }
        LeaseAuthority staged = authority.stage();
        List<Generation> history = new ArrayList<>(value.history());
        history.add(new Generation(
                staged.lastGeneration(),
                command.content(),
                command.proposer(),
                command.incarnation(),
                command.requestNumber(),
                Outcome.STAGED));
        put(new NamedValue(
                command.name(), staged.decided(), staged.lastGeneration(), trimHistory(history, staged.decided())));
        return Result.STAGED;
    }

    private Result resolveStaged(NamedValue value, Outcome outcome) {
        LeaseAuthority authority = authority(value);
        long resolvedGeneration = value.decided().staged();
        LeaseAuthority next = outcome == Outcome.IN_FORCE ? authority.activate(0) : authority.abandon();
        List<Generation> history = value.history().stream()
                .map(kept -> kept.generation() == resolvedGeneration ? kept.withOutcome(outcome) : kept)
                .toList();
        put(new NamedValue(value.name(), next.decided(), value.lastGeneration(), trimHistory(history, next.decided())));
        return Result.valueOf(outcome.name());
    }

    private void put(NamedValue named) {
        NamedValue previous = names.put(named.name(), named);
        contentBytes += contentBytes(named) - (previous == null ? 0 : contentBytes(previous));
    }

    private static long contentBytes(NamedValue named) {
        return named.history().stream().mapToLong(kept -> kept.content().length).sum();
    }

    /** Applies the core's rules for versions and generations without leases, which only the leader knows. */
    private static LeaseAuthority authority(NamedValue value) {
        return new LeaseAuthority(
                NO_LEASES, value.decided(), value.lastGeneration(), Double.NEGATIVE_INFINITY, Map.of());
    }

    private static List<Generation> trimHistory(List<Generation> history, DecidedVersion decided) {
        List<Generation> kept = new ArrayList<>();
        int count = 0;
        long bytes = 0;
        for (int i = history.size() - 1; i >= 0; i--) {
            Generation generation = history.get(i);
            count++;
            bytes += generation.content().length;
            if (generation.generation() == decided.inForce()
                    || generation.generation() == decided.staged()
                    || count <= MAX_HISTORY_GENERATIONS && bytes <= MAX_HISTORY_BYTES) {
                kept.add(0, generation);
            }
        }
        return List.copyOf(kept);
    }

    private Result grantRole(LogCommand.GrantRole command) {
        RoleState role = roles.get(command.role());
        if (command.leaderTerm() != leaderTerm || command.previousToken() != (role == null ? 0 : role.token())) {
            return Result.VOID;
        }
        if (role == null && roles.size() >= MAX_ROLES) {
            return Result.FULL;
        }
        boolean same =
                role != null && role.holder().equals(command.holder()) && role.incarnation() == command.incarnation();
        roles.put(
                command.role(),
                new RoleState(
                        command.role(),
                        command.holder(),
                        command.incarnation(),
                        same ? role.token() : command.previousToken() + 1,
                        same ? Math.max(role.maxLeaseMs(), command.leaseMs()) : command.leaseMs()));
        return Result.DONE;
    }

    /** Returns a copy of the state, for a snapshot. */
    Snapshot snapshot() {
        return new Snapshot(leaderTerm, List.copyOf(names.values()), List.copyOf(roles.values()));
    }

    /** Replaces the state by a snapshot. */
    void restore(Snapshot snapshot) {
        names.clear();
        roles.clear();
        leaderTerm = snapshot.leaderTerm();
        contentBytes = 0;
        snapshot.names().forEach(this::put);
        snapshot.roles().forEach(role -> roles.put(role.role(), role));
    }
}
