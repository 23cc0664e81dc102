package brackenbridge.fleet.agreed;

import brackenbridge.clock.Clock;
import brackenbridge.fleet.peer.MessageStream;
import brackenbridge.fleet.peer.PeerLinks;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A member's part of the agreement ({@code docs/design/agreed.md}): composes the consensus, the leader's services, the
 * member's own lease and requests, and a voter's recovery, and hands each message and tick to them. All of it runs on
 * one thread of this member's; what others read ({@link #acting}, {@link #heldLease}) are immutable values.
 */
public final class AgreementMember implements AgreedValues, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(AgreementMember.class);
    private static final double MILLIS_PER_SECOND = 1000;
    private static final long TICK_MS = 10;
    private static final long STATUS_TIMEOUT_S = 1;
    private static final long CLOSE_TIMEOUT_S = 2;
    /** Messages that wait for this member's thread; more are dropped, as a link might. */
    private static final int MAX_WAITING_MESSAGES = 4096;

    private final MemberContext context;
    private final AtomicInteger waitingMessages = new AtomicInteger();
    private final RaftConsensus consensus;
    private final LeaderService leaderService;
    private final LeaseClient leaseClient;
    private final RequestClient requests;
    private final VoterRecovery recovery;
    private final StatusReport statusReport;
    private boolean closed;

    /**
     * A member that has not started.
     *
     * @param links its links, which are started by whoever made them
     * @param directory where a voter keeps its log and votes; null: in memory, which is a disk lost at each end
     * @param clock its clock
     * @param settings the same at all members, but for the seed
     */
    public AgreementMember(PeerLinks links, Path directory, Clock clock, AgreedSettings settings) {
        String name = links.self().name();
        AgreementCounters counters = new AgreementCounters();
        context = new MemberContext(
                name,
                links.incarnation(),
                clock,
                settings,
                links,
                new MemberThread(name, MILLIS_PER_SECOND / settings.beatMs(), counters.dropped),
                counters,
                new MemberAlarm(name),
                this::send);
        consensus = new RaftConsensus(context);
        leaderService = new LeaderService(context, consensus, new ProposalService(context, consensus));
        consensus.setListener(leaderService);
        leaseClient = new LeaseClient(context, consensus, this::onLeaseView);
        requests = new RequestClient(context, leaseClient);
        recovery = new VoterRecovery(context, consensus, leaderService, leaseClient, directory);
        statusReport = new StatusReport(context, consensus, leaderService, leaseClient, requests, recovery);
        links.setReceiver(MessageStream.AGREED, this::onFrame);
    }

    /** The voter's files are on a file system of this scheme; before {@link #start}. */
    void useFileScheme(String fileScheme) {
        recovery.useFileScheme(fileScheme);
    }

    /** Sets who can use a value's content; without one, every content can be used. Before {@link #start}. */
    public void usable(String name, Predicate<byte[]> validator) {
        leaseClient.addValidator(name, validator);
    }

    /** Adds a listener for the names of decided values; called on this member's thread, and must not block. */
    public void listen(Consumer<String> listener) {
        leaseClient.addValueListener(listener);
    }

    /**
     * Begins to take part.
     *
     * @throws IOException if the disk can't be used, or belongs to another fleet or member
     */
    public void start() throws IOException {
        if (context.isVoter()) {
            recovery.openDisk();
        }
        leaseClient.start(context.nowMs());
        context.thread().every(TICK_MS, this::tick);
    }

    private void tick() {
        if (closed) {
            return;
        }
        double nowMs = context.nowMs();
        if (context.isVoter()) {
            recovery.tick(nowMs);
        }
        leaderService.tick(nowMs);
        leaseClient.tick(nowMs);
        requests.tick(nowMs);
    }

    private void onLeaseView() {
        requests.completeSeenDecisions();
    }

    // Messages.

    private void send(String peer, AgreementMessage message) {
        if (peer.equals(context.name())) {
            context.execute(() -> onMessage(peer, message));
        } else {
            context.links().send(peer, MessageStream.AGREED, AgreementCodec.frame(message));
        }
    }

    private void onFrame(String peer, long life, byte[] body) {
        if (waitingMessages.get() >= MAX_WAITING_MESSAGES) {
            context.counters().dropped.increment();
            return;
        }
        AgreementCodec.Frame frame;
        try {
            frame = AgreementCodec.frame(body);
        } catch (IOException e) {
            context.counters().malformed.increment();
            LOG.warn("agreement at {}: malformed message of {}: {}", context.name(), peer, e.getMessage());
            return;
        }
        waitingMessages.incrementAndGet();
        context.execute(() -> {
            waitingMessages.decrementAndGet();
            if (closed) {
                return;
            }
            if (frame.message() != null) {
                onMessage(peer, frame.message());
            } else {
                consensus.onMessage(peer, frame.raftMessage());
            }
        });
    }

    private void onMessage(String peer, AgreementMessage message) {
        if (message instanceof AgreementMessage.Question question) {
            leaderService.onQuestion(peer, question);
        } else if (message instanceof AgreementMessage.Propose proposal) {
            leaderService.onPropose(peer, proposal);
        } else if (message instanceof AgreementMessage.Claim claim) {
            leaderService.onClaim(peer, claim);
        } else if (message instanceof AgreementMessage.Look look) {
            leaderService.onLook(peer, look);
        } else if (message instanceof AgreementMessage.Answer answer) {
            leaseClient.onAnswer(peer, answer);
        } else if (message instanceof AgreementMessage.Hint hint) {
            leaseClient.onHint(peer, hint);
        } else if (message instanceof AgreementMessage.Elsewhere redirect) {
            leaseClient.onElsewhere(peer, redirect);
        } else if (message instanceof AgreementMessage.Outcome outcome) {
            requests.onAnswer(outcome.life(), outcome.number(), outcome);
        } else if (message instanceof AgreementMessage.Claimed claimed) {
            requests.onAnswer(claimed.life(), claimed.number(), claimed);
        } else if (message instanceof AgreementMessage.Looked looked) {
            requests.onAnswer(looked.life(), looked.number(), looked);
        } else if (message instanceof AgreementMessage.Hello hello) {
            recovery.onHello(peer, hello);
        } else if (message instanceof AgreementMessage.Facts facts) {
            recovery.onFacts(peer, facts);
        } else if (message instanceof AgreementMessage.Join join && consensus.leads()) {
            consensus.admitReplacement(peer, join);
        }
    }

    // What others ask of the member.

    @Override
    public CompletableFuture<Verdict> propose(String name, long expected, byte[] content, double withinMs) {
        return requests.propose(name, expected, content, withinMs);
    }

    @Override
    public Optional<Acting> acting(String name) {
        LeaseView view = leaseClient.view();
        return view.acting(name, context.nowMs());
    }

    /**
     * Whether this member was told all that is decided within the last lease: no value is in force anywhere that it
     * does not act by, alone or beside the one before.
     */
    public boolean confirmed() {
        return context.nowMs() < leaseClient.view().leaseUntilMs();
    }

    /** What the member was granted, for a check of all members at one moment. */
    LeaseView leaseView() {
        return leaseClient.view();
    }

    /** The role leases it knows of, for a check of all members at one moment. */
    Map<String, Lease> roleLeases() {
        return requests.roleLeases();
    }

    Clock clock() {
        return context.clock();
    }

    /** Runs an event on this member's thread, behind all that waits. */
    void execute(Runnable event) {
        context.execute(event);
    }

    @Override
    public Optional<Value> known(String name) {
        return leaseClient.view().known(name);
    }

    @Override
    public CompletableFuture<Lease> acquire(String role, double forMs) {
        return requests.claim(role, forMs);
    }

    @Override
    public Optional<Lease> heldLease(String role) {
        return requests.heldLease(role);
    }

    /** The generations of a name that are kept, oldest first; empty if no voter answers within the time. */
    CompletableFuture<Optional<AgreementMessage.Looked>> look(String name, long generation, double withinMs) {
        return requests.look(name, generation, withinMs);
    }

    // For operators.

    @Override
    public String status() {
        try {
            return CompletableFuture.supplyAsync(
                            statusReport::render, context.thread().executor())
                    .get(STATUS_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (TimeoutException | ExecutionException | RejectedExecutionException e) {
            return "member " + context.name() + ": does not answer: " + e;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "member " + context.name() + ": interrupted";
        }
    }

    /** Registers its counters and gauges with the fleet's metrics. */
    public void bind(MeterRegistry registry) {
        context.counters().bind(registry);
        Gauge.builder("agreed.lease.left.ms", this, AgreementMember::leaseLeftMs)
                .description("What is left of this member's lease")
                .register(registry);
        Gauge.builder("agreed.alarm", this, member -> member.context.alarm().isRaised() ? 1 : 0)
                .description("1 while status names an alarm")
                .register(registry);
    }

    private double leaseLeftMs() {
        return Math.max(0, leaseClient.view().leaseUntilMs() - context.nowMs());
    }

    /** What is wrong, for operators; empty if nothing is known to be. */
    public String alarm() {
        return context.alarm().text();
    }

    /** Whether this member leads as far as it knows; for operators, not for decisions. */
    public boolean leads() {
        return status().contains(", leads");
    }

    /** Ends the member's part and closes its disk; waits a bounded time for the consensus to end. */
    @Override
    public void close() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        context.execute(() -> {
            closed = true;
            consensus.stepDown();
            requests.close();
            if (!consensus.isStarted() || recovery.isDiskFailed()) {
                done.complete(null);
            } else {
                consensus.terminate().whenComplete((result, failure) -> done.complete(null));
            }
        });
        try {
            done.get(CLOSE_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (TimeoutException | ExecutionException e) {
            LOG.warn("agreement at {}: not ended in time", context.name());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        halt();
    }

    /** Ends at once, as a killed process does: nothing more is written or told. */
    void halt() {
        context.thread().end();
        recovery.closeDisk();
    }
}
