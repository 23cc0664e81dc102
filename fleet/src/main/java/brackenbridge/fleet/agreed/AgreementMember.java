package brackenbridge.fleet.agreed;

import brackenbridge.clock.Clock;
import brackenbridge.core.generation.DecidedVersion;
import brackenbridge.core.generation.RenewalSchedule;
import brackenbridge.fleet.peer.MessageStream;
import brackenbridge.fleet.peer.PeerLinks;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.microraft.MembershipChangeMode;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.exception.NotLeaderException;
import io.microraft.model.message.RaftMessage;
import io.microraft.report.RaftGroupMembers;
import io.microraft.statemachine.StateMachine;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A member's part of the agreement ({@code docs/design/agreed.md}). The consensus is the Raft library's; the leases and
 * words are those of {@code core.generation}. All of it runs on one thread of this member's; what others ask
 * ({@link #acting}, {@link #holds}) is read from values that never change.
 */
public final class AgreementMember implements AgreedValues, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(AgreementMember.class);
    private static final double MILLIS_PER_SECOND = 1000;
    private static final long TICK_MS = 10;
    private static final double AGAIN_MS = 200;
    private static final double JOIN_MS = 500;
    /** How long after a failure the disk is tried again. */
    private static final double REOPEN_MS = 1000;

    private static final String DISK_FAILED = "the disk can't be written: this member does not vote until it can";
    /** Messages that wait for this member's thread; more are dropped, as a link might. */
    private static final int MOST_WAITING = 4096;
    /** Entries on their way into the log, and proposals that are staged at once. */
    private static final int MOST_PENDING = 256;

    private static final int MOST_IN_TURN = 256;
    /** How long an election may take, and by how much longer each later voter of the file waits; in beats. */
    private static final double ELECTION_BEATS = 2;

    private static final double LATER_BEATS = 1.5;
    /** A snapshot is taken after so many entries, or so many bytes of contents. */
    private static final int SNAPSHOT_EVERY = 1000;

    private static final long SNAPSHOT_BYTES = 4 << 20;
    /** A learner this near to the leader's log votes from then on. */
    private static final long NEAR = 50;

    /** A proposal of this member that is in force, which this member has not heard of yet. */
    private record Hearing(String name, long generation, double untilMs, CompletableFuture<Verdict> verdict) {}

    /** A proposal whose outcome another member waits for. */
    private record Waiter(String peer, String name, long life, long number) {}

    /** Questions that are answered once a majority has said that it follows this reign. */
    private record Turn(Runnable run) {}

    private final PeerLinks links;
    private final Path directory;
    private final Clock clock;
    private final AgreedSettings settings;
    private final String me;
    /** Tells this process from others of the same member; stays what it was if the links take a later life. */
    private final long processLife;

    private final boolean votes;
    private final MemberThread thread;
    private final RenewalSchedule cadence;
    private final Map<String, Predicate<byte[]>> usable = new ConcurrentHashMap<>();
    private final List<Consumer<String>> listeners = new CopyOnWriteArrayList<>();
    private final AtomicInteger waiting = new AtomicInteger();
    private final LongAdder questions = new LongAdder();
    private final LongAdder dropped = new LongAdder();
    private final LongAdder spoilt = new LongAdder();
    private final LongAdder foreign = new LongAdder();
    private final LongAdder reigns = new LongAdder();
    private final LongAdder decided = new LongAdder();

    // What other threads read.
    private volatile LeaseView part;
    private volatile Map<String, Hold> held = Map.of();
    private volatile double answeredMs = Double.NEGATIVE_INFINITY;
    private volatile double majorityMs = Double.NEGATIVE_INFINITY;
    private volatile String alarm = "";

    // This member's thread only, from here on.
    private final AgreedState state = new AgreedState();
    private final PendingRequests pending = new PendingRequests(note -> post(target(), note));
    private final Deque<DoubleConsumer> turns = new ArrayDeque<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private final List<Hearing> hearings = new ArrayList<>();
    private final Set<Waiter> staging = new HashSet<>();
    private final Map<String, AgreementMessage.Facts> facts = new HashMap<>();
    private String scheme = "";
    private VoterStore store;
    private VoterEndpoint endpoint;
    private RaftNode raft;
    private LeaderLeases lead;
    private String founding = "";
    private String follows = "";
    private boolean joining;
    private double helloMs = Double.NEGATIVE_INFINITY;
    private double reopenAtMs = Double.NEGATIVE_INFINITY;
    private double joinMs = Double.NEGATIVE_INFINITY;
    private double turnSinceMs = Double.NaN;
    private long reignNumber;
    private long lastReign;
    private String believed = "";
    private int tried;
    private double askAtMs;
    private boolean asking;
    private boolean closed;

    /**
     * A member's part.
     *
     * @param links its links, which are started by whoever made them
     * @param directory where a voter keeps what it must not forget; null: its memory is a disk lost at each end
     * @param clock its clock
     * @param settings the same at all members, but for the seed
     */
    public AgreementMember(PeerLinks links, Path directory, Clock clock, AgreedSettings settings) {
        this.links = links;
        this.directory = directory;
        this.clock = clock;
        this.settings = settings;
        this.me = links.me().name();
        this.votes = settings.voters().contains(me);
        this.cadence = new RenewalSchedule(settings.terms(), new SplittableRandom(settings.seed()));
        this.processLife = links.life();
        this.part = LeaseView.start(processLife);
        this.thread = new MemberThread(me, MILLIS_PER_SECOND / settings.beatMs(), dropped);
        links.receive(MessageStream.AGREED, this::took);
    }

    /** The voter's files are on a file system of this scheme; before {@link #start}. */
    void onFilesOf(String fileScheme) {
        scheme = fileScheme;
    }

    /** Who can use a value's content; without one, every content can be used. Before {@link #start}. */
    public void usable(String name, Predicate<byte[]> predicate) {
        usable.put(name, predicate);
    }

    /** Hears the name of each value that was decided on; called on this member's thread, and must not wait. */
    public void listen(Consumer<String> listener) {
        listeners.add(listener);
    }

    /**
     * Begins to take part.
     *
     * @throws IOException if the disk can't be used, or belongs to another fleet or member
     */
    public void start() throws IOException {
        if (votes) {
            openDisk();
        }
        askAtMs = cadence.firstMs(clock.nowMs());
        thread.every(TICK_MS, this::tick);
    }

    private void openDisk() throws IOException {
        try {
            store = VoterStore.open(directory, settings.fleet(), me, scheme);
        } catch (VoterStore.Damaged e) {
            Path aside = VoterStore.putAside(directory);
            alarm("disk damaged and put aside as " + aside + ": " + e.getMessage());
            store = VoterStore.open(directory, settings.fleet(), me, scheme);
        }
        endpoint = new VoterEndpoint(me, store.disk());
        joining = store.joining();
    }

    private void alarm(String text) {
        if (!text.equals(alarm)) {
            alarm = text;
            LOG.error("agreement at {}: {}", me, text);
        }
    }

    private void later(Runnable event) {
        thread.later(event);
    }

    // Messages.

    private void took(String peer, long life, byte[] body) {
        if (waiting.get() >= MOST_WAITING) {
            dropped.increment();
            return;
        }
        AgreementCodec.Frame frame;
        try {
            frame = AgreementCodec.frame(body);
        } catch (IOException e) {
            spoilt.increment();
            LOG.warn("agreement at {}: message of {} not readable: {}", me, peer, e.getMessage());
            return;
        }
        waiting.incrementAndGet();
        later(() -> {
            waiting.decrementAndGet();
            if (closed) {
                return;
            }
            if (frame.note() != null) {
                took(peer, frame.note());
            } else {
                took(peer, frame.raft());
            }
        });
    }

    private void took(String peer, RaftMessage m) {
        if (raft == null || !((VoterEndpoint) m.getSender()).name().equals(peer)) {
            return;
        }
        if (!m.getGroupId().equals(founding)) {
            foreign.increment();
            alarm(peer + " follows another founding, " + m.getGroupId() + "; here it is " + founding);
            return;
        }
        raft.handle(m);
    }

    private boolean post(String peer, AgreementMessage note) {
        if (peer.equals(me)) {
            later(() -> took(me, note));
            return true;
        }
        return links.send(peer, MessageStream.AGREED, AgreementCodec.frame(note));
    }

    private void took(String peer, AgreementMessage note) {
        if (note instanceof AgreementMessage.Question q) {
            questions.increment();
            if (leadsOrSays(peer)) {
                turn(now -> post(peer, lead.asked(now, peer, q, founding)));
            }
        } else if (note instanceof AgreementMessage.Answer a) {
            answered(peer, a);
        } else if (note instanceof AgreementMessage.Hint h) {
            hinted(peer, h);
        } else if (note instanceof AgreementMessage.Elsewhere e) {
            elsewhere(peer, e);
        } else if (note instanceof AgreementMessage.Propose p) {
            if (leadsOrSays(peer)) {
                proposed(peer, p);
            }
        } else if (note instanceof AgreementMessage.Claim c) {
            if (leadsOrSays(peer)
                    && c.forMs() > 0
                    && c.forMs() <= settings.maxRoleMs()
                    && c.role().length() <= AgreedState.MAX_NAME) {
                turn(now -> claimed(now, peer, c));
            }
        } else if (note instanceof AgreementMessage.Look l) {
            // Guards whoever looks before proposing again: a voter that is behind does not know what is acknowledged.
            if (leadsOrSays(peer)) {
                turn(now -> post(peer, looked(l)));
            }
        } else if (note instanceof AgreementMessage.Outcome o) {
            answer(o.life(), o.number(), o);
        } else if (note instanceof AgreementMessage.Claimed c) {
            answer(c.life(), c.number(), c);
        } else if (note instanceof AgreementMessage.Looked l) {
            answer(l.life(), l.number(), l);
        } else if (note instanceof AgreementMessage.Hello h) {
            post(peer, facts(peer, h));
        } else if (note instanceof AgreementMessage.Facts f) {
            if (raft == null && votes) {
                facts.put(peer, f);
                admit();
            }
        } else if (note instanceof AgreementMessage.Join j && lead != null) {
            join(peer, j);
        }
    }

    private boolean leadsOrSays(String peer) {
        if (lead == null) {
            String leader = raft == null ? "" : leader();
            post(peer, new AgreementMessage.Elsewhere(leader));
        }
        return lead != null;
    }

    // Time.

    private void tick() {
        if (closed) {
            return;
        }
        double now = clock.nowMs();
        if (votes) {
            voterTick(now);
        }
        if (lead != null) {
            pump();
            write(lead.due(now));
        }
        if (now >= askAtMs) {
            ask(now);
        }
        heard();
        pending.tick(now);
    }

    private void voterTick(double now) {
        if (store.failed()) {
            diskFailed(now);
            return;
        }
        if (raft == null) {
            if (now >= helloMs + AGAIN_MS) {
                helloMs = now;
                hello();
            }
            return;
        }
        if (StalePreVote.replace(raft)) {
            LOG.warn("agreement at {}: the leader is silent and an old pre-vote was left: votes anew", me);
        }
        if (joining && now >= joinMs + JOIN_MS) {
            joinMs = now;
            if (raft.getCommittedMembers().getVotingMembers().contains(endpoint)) {
                joining = false;
                keep(() -> store.joined(raft.getCommittedMembers().getLogIndex()));
                alarm = "";
                LOG.info("agreement at {}: votes as {}", me, endpoint);
            } else {
                post(target(), new AgreementMessage.Join(endpoint.toString()));
            }
        }
    }

    /** A disk that has failed is tried again from time to time; until it takes writes, this member does not vote. */
    private void diskFailed(double now) {
        if (raft != null) {
            alarm(DISK_FAILED);
            stopVoting();
            reopenAtMs = now + REOPEN_MS;
        }
        if (now < reopenAtMs) {
            return;
        }
        reopenAtMs = now + REOPEN_MS;
        store.close();
        try {
            openDisk();
        } catch (IOException e) {
            alarm(DISK_FAILED + ": " + e.getMessage());
            return;
        }
        alarm = "";
        helloMs = Double.NEGATIVE_INFINITY;
        LOG.warn("agreement at {}: the disk takes writes again, this member asks to vote", me);
    }

    /** The library's part has stopped with the disk; another one begins with what the disk has, as after a start. */
    private void stopVoting() {
        raft = null;
        lead = null;
        state.restore(new AgreedState().image());
        waiters.clear();
        turns.clear();
        staging.clear();
        facts.clear();
        turnSinceMs = Double.NaN;
    }

    @FunctionalInterface
    private interface Disk {
        void run() throws IOException;
    }

    private boolean keep(Disk d) {
        try {
            d.run();
            return true;
        } catch (IOException e) {
            alarm("disk: " + e.getMessage());
            return false;
        }
    }

    // Taking part.

    private void hello() {
        keep(() -> {
            AgreementMessage.Hello h = new AgreementMessage.Hello(store.disk(), store.starts(), processLife);
            links.peers().forEach(p -> post(p.name(), h));
        });
        admit();
    }

    private AgreementMessage.Facts facts(String peer, AgreementMessage.Hello h) {
        List<String> members = List.of();
        List<String> founded = List.of();
        long since = 0;
        String[] seen = {"", "0", "0"};
        try {
            if (votes && !store.failed() && settings.voters().contains(peer)) {
                founded = store.founding();
                seen = store.seen(peer).map(s -> s.split(" ")).orElse(seen);
                String said = h.disk() + " " + h.starts() + " " + h.life();
                if (!said.equals(String.join(" ", seen))) {
                    store.seen(peer, said);
                }
                if (raft != null) {
                    members = VoterEndpoint.ids(raft.getCommittedMembers().getVotingMembers());
                    since = raft.getCommittedMembers().getLogIndex();
                }
            }
        } catch (IOException e) {
            alarm("disk: " + e.getMessage());
        }
        return new AgreementMessage.Facts(
                endpoint == null ? "" : endpoint.disk(),
                founded,
                follows,
                members,
                since,
                seen[0],
                Long.parseLong(seen[1]),
                Long.parseLong(seen[2]));
    }

    private void admit() {
        if (raft != null || store.failed()) {
            return;
        }
        keep(() -> {
            VoterAdmission.Self self = new VoterAdmission.Self(
                    endpoint, store.starts(), processLife, store.founding(), joining, store.since());
            List<String> heard = VoterAdmission.founding(self, facts);
            switch (VoterAdmission.step(self, settings.voters(), facts)) {
                case FOUND ->
                    begin(
                            settings.voters().stream()
                                    .map(v -> new VoterEndpoint(
                                                    v,
                                                    v.equals(me)
                                                            ? endpoint.disk()
                                                            : facts.get(v).disk())
                                            .toString())
                                    .toList(),
                            false);
                case START -> begin(heard, false);
                case JOIN -> begin(heard, true);
                case PUT_ASIDE -> {
                    store.close();
                    alarm("the disk is old, copied or was replaced; put aside as "
                            + (directory == null ? "nothing" : VoterStore.putAside(directory)));
                    facts.clear();
                    openDisk();
                }
                case TORN -> alarm("members follow different foundings: staff must decide which disks to keep");
                default -> {
                    // It asks on.
                }
            }
        });
    }

    private void begin(List<String> founders, boolean asNew) throws IOException {
        if (store.founding().isEmpty()) {
            store.found(founders, asNew);
        }
        joining = asNew;
        founding = VoterAdmission.id(founders);
        List<RaftEndpoint> initial = new ArrayList<>();
        founders.forEach(f -> initial.add(VoterEndpoint.parse(f)));
        RaftNode.RaftNodeBuilder b = RaftNode.newBuilder()
                .setGroupId(founding)
                .setConfig(RaftConfig.newBuilder()
                        // The library's own jitter is too small beside a disk's write: voters would split for long.
                        .setLeaderElectionTimeoutMillis((long) (1000
                                * (ELECTION_BEATS
                                        + LATER_BEATS * settings.voters().indexOf(me))))
                        .setLeaderHeartbeatPeriodSecs(1)
                        .setLeaderHeartbeatTimeoutSecs(settings.patienceBeats())
                        .setAppendEntriesRequestBatchSize(AgreementCodec.BATCH)
                        .setCommitCountToTakeSnapshot(SNAPSHOT_EVERY)
                        .setMaxPendingLogEntryCount(MOST_PENDING)
                        .setTransferSnapshotsFromFollowersEnabled(false)
                        .build())
                .setExecutor(new FailStopExecutor(thread, store::failed))
                .setTransport(new LinkTransport(links))
                .setStateMachine(new Machine())
                .setStore(store)
                .setRandom(new Random(settings.seed()))
                .setClock(new HeartbeatClock(clock, MILLIS_PER_SECOND / settings.beatMs()))
                .setRaftNodeReportListener(r -> {});
        raft = (store.restored().isPresent()
                        ? b.setRestoredState(store.restored().get())
                        : b.setLocalEndpoint(endpoint).setInitialGroupMembers(initial))
                .build();
        raft.start();
        LOG.info(
                "agreement at {}: takes part as {} in founding {}{}",
                me,
                endpoint,
                founding,
                joining ? ", asks for its old disk's place" : "");
    }

    /** A voter with a new disk asks for its old one's place: one change of members after another, by the log. */
    private void join(String peer, AgreementMessage.Join j) {
        RaftGroupMembers now = raft.getCommittedMembers();
        VoterEndpoint asks;
        try {
            asks = VoterEndpoint.parse(j.endpoint());
        } catch (IllegalArgumentException e) {
            spoilt.increment();
            return;
        }
        if (!asks.name().equals(peer)
                || !settings.voters().contains(peer)
                || raft.getEffectiveMembers().getLogIndex() != now.getLogIndex()) {
            return;
        }
        Optional<RaftEndpoint> old = now.getMembers().stream()
                .filter(e -> ((VoterEndpoint) e).name().equals(peer) && !e.equals(asks))
                .findFirst();
        if (old.isPresent()) {
            change(old.get(), MembershipChangeMode.REMOVE_MEMBER, now);
        } else if (!now.getMembers().contains(asks)) {
            change(asks, MembershipChangeMode.ADD_LEARNER, now);
        } else if (!now.getVotingMembers().contains(asks)) {
            raft.getReport()
                    .whenComplete((r, e) -> later(() -> {
                        if (r != null
                                && lead != null
                                && r.getResult()
                                                .getLog()
                                                .getFollowerMatchIndices()
                                                .getOrDefault(asks, -1L)
                                        >= r.getResult().getLog().getCommitIndex() - NEAR) {
                            change(asks, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER, now);
                        }
                    }));
        }
    }

    private void change(RaftEndpoint e, MembershipChangeMode mode, RaftGroupMembers now) {
        raft.changeMembership(e, mode, now.getLogIndex())
                .whenComplete((r, x) ->
                        LOG.info("agreement at {}: {} {}: {}", me, mode, e, x == null ? "done" : x.toString()));
    }

    // Leading.

    private final class Machine implements StateMachine {
        private long bytes;

        @Override
        public Object runOperation(long commitIndex, Object operation) {
            if (operation instanceof Turn t) {
                t.run().run();
                return null;
            }
            AgreedState.Result result = state.apply((LogCommand) operation);
            bytes += operation instanceof LogCommand.Stage s ? s.content().length : 0;
            if (bytes > SNAPSHOT_BYTES) {
                // Guards the log's memory and disk against few but long contents.
                bytes = 0;
                later(() -> {
                    if (raft != null) {
                        raft.takeSnapshot();
                    }
                });
            }
            if (operation instanceof LogCommand.Reign r) {
                boolean mine =
                        r.leader().equals(endpoint.toString()) && r.life() == processLife && r.number() == reignNumber;
                lead = mine ? new LeaderLeases(settings.terms(), state, clock.nowMs()) : null;
                waiters.clear();
                turns.clear();
                if (mine) {
                    reigns.increment();
                    LOG.info("agreement at {}: leads in reign {}", me, state.reign());
                    hintAll();
                }
            } else if (lead != null && result != AgreedState.Result.VOID) {
                if (operation instanceof LogCommand.Stage s) {
                    changed(s.name(), result == AgreedState.Result.STAGED);
                } else if (operation instanceof LogCommand.Activate a) {
                    changed(a.name(), true);
                } else if (operation instanceof LogCommand.Abandon a) {
                    LOG.warn(
                            "agreement at {}: {} of {} can't be used by {}: abandoned",
                            me,
                            a.version(),
                            a.name(),
                            a.by());
                    changed(a.name(), true);
                }
            }
            return result;
        }

        private void changed(String name, boolean news) {
            if (news) {
                decided.increment();
                lead.applied(name);
                hintAll();
            }
            outcomes(name);
        }

        @Override
        public void takeSnapshot(long commitIndex, Consumer<Object> pieces) {
            byte[] all = AgreementCodec.image(state.image());
            for (int at = 0; at < all.length; at += AgreementCodec.PIECE) {
                pieces.accept(Arrays.copyOfRange(all, at, Math.min(all.length, at + AgreementCodec.PIECE)));
            }
        }

        @Override
        public void installSnapshot(long commitIndex, List<Object> pieces) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            pieces.forEach(p -> all.writeBytes((byte[]) p));
            try {
                state.restore(AgreementCodec.image(all.toByteArray()));
                lead = null;
            } catch (IOException e) {
                // It is the library's to stop this voter then: its state is unknown.
                throw new IllegalStateException(e);
            }
        }

        @Override
        public Object getNewTermOperation() {
            return new LogCommand.Reign(endpoint.toString(), processLife, ++reignNumber);
        }
    }

    private void hintAll() {
        AgreementMessage.Hint h = new AgreementMessage.Hint(state.reign());
        links.peers().forEach(p -> post(p.name(), h));
        post(me, h);
    }

    /** Does this once a majority has said, from now on, that it follows this member. */
    private void turn(DoubleConsumer what) {
        if (turns.size() < MOST_WAITING) {
            turns.add(what);
            pump();
        }
    }

    private void pump() {
        double now = clock.nowMs();
        if (turns.isEmpty() || now < turnSinceMs + settings.beatMs() * settings.patienceBeats()) {
            return;
        }
        List<DoubleConsumer> batch = new ArrayList<>();
        while (!turns.isEmpty() && batch.size() < MOST_IN_TURN) {
            batch.add(turns.poll());
        }
        LeaderLeases of = lead;
        turnSinceMs = now;
        Turn t = new Turn(() -> {
            // Guards against an answer in a later reign, which knows other leases.
            if (lead == of) {
                majorityMs = now;
                double at = clock.nowMs();
                batch.forEach(b -> thread.safely(() -> b.accept(at)).run());
            }
        });
        raft.query(t, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                .whenComplete((r, e) -> later(() -> {
                    turnSinceMs = turnSinceMs == now ? Double.NaN : turnSinceMs;
                    if (e instanceof NotLeaderException && lead == of) {
                        lead = null;
                    }
                    if (lead != null) {
                        write(lead.due(clock.nowMs()));
                        pump();
                    }
                }));
    }

    private void write(List<LogCommand> ops) {
        LeaderLeases of = lead;
        ops.forEach(op -> raft.replicate(op)
                .whenComplete((r, e) -> later(() -> {
                    if (e != null && lead == of) {
                        of.notWritten(op);
                    }
                })));
    }

    private void proposed(String peer, AgreementMessage.Propose p) {
        Waiter w = new Waiter(peer, p.name(), p.life(), p.number());
        if (staging.contains(w)
                || staging.size() >= MOST_PENDING
                || p.name().length() > AgreedState.MAX_NAME
                || p.content().length > AgreedState.MAX_CONTENT) {
            return;
        }
        if (!waiters.contains(w) && waiters.size() < 4 * MOST_PENDING) {
            waiters.add(w);
        }
        if (state.proposed(p.name(), peer, p.life(), p.number()).isPresent()) {
            outcomes(p.name());
            return;
        }
        staging.add(w);
        LogCommand.Stage s = new LogCommand.Stage(p.name(), p.expected(), p.content(), peer, p.life(), p.number());
        raft.<AgreedState.Result>replicate(s)
                .whenComplete((r, e) -> later(() -> {
                    staging.remove(w);
                    Verdict v = e != null
                            ? null
                            : switch (r.getResult()) {
                                case OVERTAKEN -> Verdict.OVERTAKEN;
                                case ANOTHER_STAGED -> Verdict.ANOTHER_STAGED;
                                case FULL -> Verdict.REFUSED;
                                default -> null;
                            };
                    if (v != null) {
                        waiters.remove(w);
                        post(peer, new AgreementMessage.Outcome(p.life(), p.number(), v, 0));
                    }
                }));
    }

    private void outcomes(String name) {
        for (Iterator<Waiter> i = waiters.iterator(); i.hasNext(); ) {
            Waiter w = i.next();
            Optional<AgreedState.Kept> kept =
                    w.name().equals(name) ? state.proposed(name, w.peer(), w.life(), w.number()) : Optional.empty();
            if (kept.isPresent() && kept.get().came() != AgreedState.Came.STAGED) {
                i.remove();
                post(
                        w.peer(),
                        new AgreementMessage.Outcome(
                                w.life(),
                                w.number(),
                                kept.get().came() == AgreedState.Came.IN_FORCE ? Verdict.IN_FORCE : Verdict.REFUSED,
                                kept.get().generation()));
            }
        }
    }

    private void claimed(double now, String peer, AgreementMessage.Claim c) {
        LeaderLeases.Claim came = lead.claimed(now, peer, c);
        if (came.answer() != null) {
            post(peer, came.answer());
        }
        if (came.first() == null) {
            return;
        }
        LeaderLeases of = lead;
        raft.<AgreedState.Result>replicate(came.first())
                .whenComplete((r, e) -> later(() -> {
                    if (lead != of) {
                        return;
                    }
                    if (e == null && r.getResult() == AgreedState.Result.DONE) {
                        post(peer, of.taken(clock.nowMs(), c));
                    } else {
                        of.notWritten(came.first());
                    }
                }));
    }

    private AgreementMessage.Looked looked(AgreementMessage.Look l) {
        byte[] content = state.kept(l.name(), l.generation())
                .map(AgreedState.Kept::content)
                .orElse(new byte[0]);
        return new AgreementMessage.Looked(
                l.life(),
                l.number(),
                state.named(l.name()).stream()
                        .flatMap(n -> n.history().stream()
                                .map(k -> new AgreementMessage.Line(
                                        k.generation(),
                                        k.by(),
                                        k.content().length,
                                        k.came().name().toLowerCase(Locale.ROOT)
                                                + (k.generation() == n.word().inForce() ? ", now" : ""))))
                        .toList(),
                content);
    }

    // A member's own questions.

    private String leader() {
        RaftEndpoint e = raft == null ? null : raft.getTerm().getLeaderEndpoint();
        return lead != null ? me : e != null ? ((VoterEndpoint) e).name() : "";
    }

    /** Whom to ask: the leader as far as known, else one voter after another. */
    private String target() {
        String known = leader();
        return !known.isEmpty()
                ? known
                : !believed.isEmpty()
                        ? believed
                        : settings.voters()
                                .get(Math.floorMod(tried, settings.voters().size()));
    }

    private void ask(double now) {
        if (asking) {
            // The last question was not answered: its target may be gone.
            asking = false;
            believed = "";
            tried++;
            askAtMs = cadence.failedMs(now);
            return;
        }
        part = part.asks(now);
        cadence.asked(now);
        asking = true;
        askAtMs = now + cadence.patienceMs();
        post(target(), part.question());
    }

    private void answered(String peer, AgreementMessage.Answer a) {
        if (!follows.isEmpty() && !follows.equals(a.founding())) {
            foreign.increment();
            alarm(peer + " answers for another founding, " + a.founding() + "; here it is " + follows);
            return;
        }
        LeaseView before = part;
        LeaseView next = before.told(a, this::canUse);
        if (next == before) {
            return;
        }
        follows = a.founding();
        believed = peer;
        part = next;
        answeredMs = clock.nowMs();
        List<String> news = a.told().stream()
                .map(AgreementMessage.Told::name)
                .filter(n -> next.word(n).version() > before.word(n).version())
                .toList();
        double at = cadence.answeredMs(answeredMs, !news.isEmpty());
        // A hint may have come while the question was on its way: it stays.
        askAtMs = asking ? at : Math.min(askAtMs, at);
        asking = false;
        heard();
        news.forEach(n -> {
            if (next.refused(n) != 0) {
                alarm("generation " + next.refused(n) + " of " + n + " can't be used here");
            }
            listeners.forEach(l -> thread.safely(() -> l.accept(n)).run());
        });
    }

    private boolean canUse(String name, byte[] content) {
        try {
            return usable.getOrDefault(name, c -> true).test(content);
        } catch (RuntimeException e) {
            LOG.warn("agreement at {}: {} can't be read", me, name, e);
            return false;
        }
    }

    private void hinted(String peer, AgreementMessage.Hint h) {
        if (h.reign() < lastReign) {
            return;
        }
        lastReign = h.reign();
        believed = peer;
        double at = cadence.hintedMs(clock.nowMs());
        if (!asking || at < askAtMs) {
            asking = false;
            askAtMs = at;
        }
    }

    private void elsewhere(String peer, AgreementMessage.Elsewhere e) {
        if (!e.leader().isEmpty()
                && links.peers().stream().anyMatch(p -> p.name().equals(e.leader()))) {
            believed = e.leader();
        } else if (believed.equals(peer)) {
            believed = "";
            tried++;
        }
        if (asking) {
            asking = false;
            askAtMs = cadence.hintedMs(clock.nowMs());
        }
    }

    private void answer(long life, long number, AgreementMessage note) {
        if (life == processLife) {
            pending.answered(number, note);
        }
    }

    /** Waits for an answer of the leader's. */
    private void await(
            double withinMs,
            java.util.function.LongFunction<AgreementMessage> note,
            Consumer<AgreementMessage> answer,
            Runnable over) {
        double untilMs = clock.nowMs() + withinMs;
        later(() -> {
            if (closed) {
                over.run();
            } else {
                pending.send(clock.nowMs(), untilMs, note, answer, over);
            }
        });
        if (thread.isEnded()) {
            over.run();
        }
    }

    @Override
    public CompletableFuture<Verdict> propose(String name, long expected, byte[] content, double withinMs) {
        if (name.isEmpty()
                || name.length() > AgreedState.MAX_NAME
                || content.length > AgreedState.MAX_CONTENT
                || expected < 0) {
            throw new IllegalArgumentException("name '" + name + "', expected " + expected + ", " + content.length
                    + " bytes of at most " + AgreedState.MAX_CONTENT);
        }
        if (!canUse(name, content)) {
            return CompletableFuture.completedFuture(Verdict.REFUSED);
        }
        CompletableFuture<Verdict> verdict = new CompletableFuture<>();
        await(
                withinMs,
                n -> new AgreementMessage.Propose(name, expected, content, processLife, n),
                o -> {
                    AgreementMessage.Outcome came = (AgreementMessage.Outcome) o;
                    if (came.verdict() == Verdict.IN_FORCE) {
                        hearings.add(new Hearing(
                                name,
                                came.generation(),
                                clock.nowMs() + settings.terms().leaseMs(),
                                verdict));
                        heard();
                    } else {
                        verdict.complete(came.verdict());
                    }
                },
                () -> verdict.complete(Verdict.UNKNOWN));
        return verdict;
    }

    /** Whoever has proposed is told once this member knows it as well, so that the next is made against it. */
    private void heard() {
        for (Iterator<Hearing> i = hearings.iterator(); i.hasNext(); ) {
            Hearing h = i.next();
            if (part.word(h.name()).inForce() >= h.generation() || clock.nowMs() >= h.untilMs()) {
                i.remove();
                h.verdict().complete(Verdict.IN_FORCE);
            }
        }
    }

    @Override
    public Optional<Acting> acting(String name) {
        LeaseView p = part;
        return p.acting(name, clock.nowMs());
    }

    /**
     * Whether this member was told all that is decided within the last lease: no value is in force anywhere that it
     * does not act by, alone or beside the one before.
     */
    public boolean confirmed() {
        return clock.nowMs() < part.leaseUntilMs();
    }

    /** What it was told, and what it holds, for a check of all members at one moment. */
    LeaseView part() {
        return part;
    }

    Map<String, Hold> held() {
        return held;
    }

    Clock clock() {
        return clock;
    }

    /** This member's thread does this next. */
    void next(Runnable r) {
        later(r);
    }

    @Override
    public Optional<Value> known(String name) {
        return part.known(name);
    }

    @Override
    public CompletableFuture<Hold> hold(String role, double forMs) {
        if (role.isEmpty() || role.length() > AgreedState.MAX_NAME || !(forMs > 0) || forMs > settings.maxRoleMs()) {
            throw new IllegalArgumentException(
                    "role '" + role + "' for " + forMs + " ms of at most " + settings.maxRoleMs());
        }
        // The lease counts from here: before the question leaves.
        double asked = clock.nowMs();
        CompletableFuture<Hold> hold = new CompletableFuture<>();
        await(
                Math.max(2 * AGAIN_MS, Math.min(forMs / 2, 5000)),
                n -> new AgreementMessage.Claim(role, forMs, processLife, n),
                c -> {
                    AgreementMessage.Claimed came = (AgreementMessage.Claimed) c;
                    Hold h = new Hold(
                            came.holder(),
                            came.token(),
                            came.holder().equals(me) && came.forMs() > 0
                                    ? asked + came.forMs()
                                    : Double.NEGATIVE_INFINITY);
                    holdsNow(role, h);
                    hold.complete(h);
                },
                () -> hold.complete(new Hold("", 0, Double.NEGATIVE_INFINITY)));
        return hold;
    }

    private void holdsNow(String role, Hold h) {
        Hold before = held.get(role);
        if (before != null
                && (h.token() < before.token() || h.token() == before.token() && h.untilMs() <= before.untilMs())) {
            return;
        }
        Map<String, Hold> next = new HashMap<>(held);
        next.put(role, h);
        held = Map.copyOf(next);
    }

    @Override
    public boolean holds(String role) {
        Hold h = held.get(role);
        return h != null && h.holder().equals(me) && clock.nowMs() < h.untilMs();
    }

    /** The generations of a name that are kept, oldest first; empty if no voter answers within the time. */
    CompletableFuture<Optional<AgreementMessage.Looked>> look(String name, long generation, double withinMs) {
        CompletableFuture<Optional<AgreementMessage.Looked>> looked = new CompletableFuture<>();
        await(
                withinMs,
                n -> new AgreementMessage.Look(name, generation, processLife, n),
                l -> looked.complete(Optional.of((AgreementMessage.Looked) l)),
                () -> looked.complete(Optional.empty()));
        return looked;
    }

    // For staff.

    @Override
    public String status() {
        try {
            return CompletableFuture.supplyAsync(this::statusNow, thread.executor())
                    .get(1, TimeUnit.SECONDS);
        } catch (TimeoutException | ExecutionException | RejectedExecutionException e) {
            return "member " + me + ": does not answer: " + e;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "member " + me + ": interrupted";
        }
    }

    private String statusNow() {
        double now = clock.nowMs();
        StringBuilder s = new StringBuilder();
        String leader = !leader().isEmpty() ? leader() : believed;
        line(
                s,
                "member",
                me
                        + (lead != null
                                ? ", leads"
                                : votes
                                        ? joining
                                                ? ", joins"
                                                : store != null && store.failed()
                                                        ? ", does not vote: its disk can't be written"
                                                        : raft == null ? ", waits for the other voters" : ", votes"
                                        : ", does not vote"));
        line(s, "leader", leader.isEmpty() ? "none known" : leader);
        line(
                s,
                "majority",
                lead != null
                        ? majorityMs == Double.NEGATIVE_INFINITY
                                ? "not yet"
                                : "answered " + ms(now - majorityMs) + " ago"
                        : answeredMs == Double.NEGATIVE_INFINITY
                                ? "never answered"
                                : "answered " + ms(now - answeredMs) + " ago");
        line(s, "lease", part.leaseUntilMs() > now ? ms(part.leaseUntilMs() - now) + " left" : "over: in doubt");
        if (raft != null) {
            line(
                    s,
                    "voters",
                    raft.getCommittedMembers().getVotingMembers() + ", term "
                            + raft.getTerm().getTerm() + ", reign " + state.reign());
            line(
                    s,
                    "disk",
                    (directory == null ? "memory only" : store.bytes() + " bytes") + ", " + store.forced()
                            + " writes forced");
        }
        for (String n : part.names()) {
            DecidedVersion w = part.word(n);
            line(
                    s,
                    n,
                    "generation " + w.inForce() + " in force"
                            + (w.staged() == 0
                                    ? ""
                                    : ", " + w.staged() + " staged"
                                            + (lead == null ? "" : ", waits for " + lead.waitsFor(n, now)))
                            + (part.refused(n) == 0 ? "" : ", " + part.refused(n) + " can't be used here"));
        }
        held.forEach((r, h) -> line(
                s,
                "role " + r,
                h.holder() + ", token " + h.token() + (holds(r) ? ", " + ms(h.untilMs() - now) + " left" : "")));
        line(s, "alarm", alarm.isEmpty() ? "none" : alarm);
        return s.toString();
    }

    private static void line(StringBuilder s, String key, String text) {
        s.append(String.format(Locale.ROOT, "%-12s %s%n", key, text));
    }

    private static String ms(double ms) {
        return String.format(Locale.ROOT, "%.0f ms", ms);
    }

    /** Hands its counts to the fleet's page of metrics. */
    public void bind(MeterRegistry registry) {
        count(registry, "agreed.questions", questions, "Questions for leases that came");
        count(registry, "agreed.decided", decided, "Decisions while this member led");
        count(registry, "agreed.reigns", reigns, "Times that this member began to lead");
        count(registry, "agreed.dropped", dropped, "Messages dropped for want of room");
        count(registry, "agreed.spoilt", spoilt, "Messages that could not be read");
        count(registry, "agreed.foreign", foreign, "Messages of another founding");
        Gauge.builder("agreed.lease.left.ms", this, n -> Math.max(0, n.part.leaseUntilMs() - n.clock.nowMs()))
                .description("What is left of this member's lease")
                .register(registry);
        Gauge.builder("agreed.alarm", this, n -> n.alarm.isEmpty() ? 0 : 1)
                .description("1 while status names an alarm")
                .register(registry);
    }

    private static void count(MeterRegistry registry, String name, LongAdder of, String what) {
        FunctionCounter.builder(name, of, LongAdder::sum).description(what).register(registry);
    }

    /** What is wrong, for staff; empty if nothing is known to be. */
    public String alarm() {
        return alarm;
    }

    /** Whether this member leads as far as it knows; for staff, not for decisions. */
    public boolean leads() {
        return status().contains(", leads");
    }

    @Override
    public void close() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        later(() -> {
            closed = true;
            lead = null;
            pending.end();
            hearings.forEach(h -> h.verdict().complete(Verdict.IN_FORCE));
            if (raft == null || store.failed()) {
                done.complete(null);
            } else {
                raft.terminate().whenComplete((r, e) -> done.complete(null));
            }
        });
        try {
            done.get(2, TimeUnit.SECONDS);
        } catch (TimeoutException | ExecutionException e) {
            LOG.warn("agreement at {}: not ended in time", me);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        halt();
    }

    /** Ends at once, as a killed process does: nothing more is written or told. */
    void halt() {
        thread.end();
        if (store != null) {
            store.close();
        }
    }
}
