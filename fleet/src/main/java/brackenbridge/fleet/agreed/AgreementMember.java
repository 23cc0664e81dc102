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
 * One member of the agreement ({@code docs/design/agreed.md}). Owns the consensus, the leader's services, the member's
 * own lease and requests, and a voter's recovery, and dispatches messages and ticks to them. All of them run on one
 * thread; methods for other threads ({@link #effectiveValues}, {@link #heldLease}) read immutable values.
 */
public final class AgreementMember implements AgreedValues, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(AgreementMember.class);
    private static final double MILLIS_PER_SECOND = 1000;
    private static final long TICK_MS = 10;
    private static final long STATUS_TIMEOUT_S = 1;
    private static final long CLOSE_TIMEOUT_S = 2;
    /** Messages queued for this member's thread; further ones are dropped, as a lossy link would drop them. */
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
     * Creates a member; {@link #start} starts it.
     *
     * @param links the member's links; the caller starts them
     * @param directory where a voter stores its log and votes; null keeps them in memory, so that they are lost at
     *     each stop
     * @param clock the member's clock
     * @param settings the same at all members except for the seed
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
                new MemberThread(name, MILLIS_PER_SECOND / settings.heartbeatMs(), counters.dropped),
                counters,
                new MemberAlarm(name),
                this::send);
        consensus = new RaftConsensus(context);
        leaderService = new LeaderService(context, consensus, new ProposalService(context, consensus));
        consensus.setListener(leaderService);
        leaseClient = new LeaseClient(context, consensus, this::onViewChanged);
        requests = new RequestClient(context, leaseClient);
        recovery = new VoterRecovery(context, consensus, leaderService, leaseClient, directory);
        statusReport = new StatusReport(context, consensus, leaderService, leaseClient, requests, recovery);
        links.setReceiver(MessageStream.AGREED, this::onFrame);
    }

    /** Sets the scheme of the file system that stores the voter's files; to be called before {@link #start}. */
    void useFileScheme(String fileScheme) {
        recovery.useFileScheme(fileScheme);
    }

    /**
     * Sets the validator of a value's content; without one, every content is valid. To be called before {@link
     * #start}.
     */
    public void setValidator(String name, Predicate<byte[]> validator) {
        leaseClient.addValidator(name, validator);
    }

    /** Adds a listener for the names of changed values; it is called on this member's thread and must not block. */
    public void addValueListener(Consumer<String> listener) {
        leaseClient.addValueListener(listener);
    }

    /**
     * Starts the member.
     *
     * @throws IOException if the disk can't be used, or belongs to another fleet or member
     */
    public void start() throws IOException {
        if (context.isVoter()) {
            recovery.openDisk();
        }
        leaseClient.start(context.nowMs());
        context.thread().scheduleRepeatedly(TICK_MS, this::tick);
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

    private void onViewChanged() {
        requests.completeSeenDecisions();
    }

    // Messages to and from the other members.

    private void send(String peer, AgreementMessage message) {
        if (peer.equals(context.name())) {
            context.execute(() -> onMessage(peer, message));
        } else {
            context.links().send(peer, MessageStream.AGREED, AgreementCodec.frame(message));
        }
    }

    private void onFrame(String peer, long incarnation, byte[] body) {
        if (waitingMessages.get() >= MAX_WAITING_MESSAGES) {
            context.counters().dropped.increment();
            return;
        }
        AgreementCodec.Frame frame;
        try {
            frame = AgreementCodec.frame(body);
        } catch (IOException e) {
            context.counters().malformed.increment();
            LOG.warn("agreement at {}: malformed message from {}: {}", context.name(), peer, e.getMessage());
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
        if (message instanceof AgreementMessage.RenewalRequest request) {
            leaderService.onRenewalRequest(peer, request);
        } else if (message instanceof AgreementMessage.ProposeRequest request) {
            leaderService.onProposeRequest(peer, request);
        } else if (message instanceof AgreementMessage.ClaimRequest request) {
            leaderService.onClaimRequest(peer, request);
        } else if (message instanceof AgreementMessage.HistoryRequest request) {
            leaderService.onHistoryRequest(peer, request);
        } else if (message instanceof AgreementMessage.RenewalResponse response) {
            leaseClient.onRenewalResponse(peer, response);
        } else if (message instanceof AgreementMessage.Hint hint) {
            leaseClient.onHint(peer, hint);
        } else if (message instanceof AgreementMessage.NotLeader response) {
            leaseClient.onNotLeader(peer, response);
        } else if (message instanceof AgreementMessage.ProposeResponse response) {
            requests.onResponse(response.incarnation(), response.requestNumber(), response);
        } else if (message instanceof AgreementMessage.ClaimResponse response) {
            requests.onResponse(response.incarnation(), response.requestNumber(), response);
        } else if (message instanceof AgreementMessage.HistoryResponse response) {
            requests.onResponse(response.incarnation(), response.requestNumber(), response);
        } else if (message instanceof AgreementMessage.Hello hello) {
            recovery.onHello(peer, hello);
        } else if (message instanceof AgreementMessage.HelloResponse response) {
            recovery.onHelloResponse(peer, response);
        } else if (message instanceof AgreementMessage.JoinRequest request && consensus.isLeader()) {
            consensus.admitReplacement(peer, request);
        }
    }

    // Client interface.

    @Override
    public CompletableFuture<Verdict> propose(String name, long expected, byte[] content, double withinMs) {
        return requests.propose(name, expected, content, withinMs);
    }

    @Override
    public Optional<EffectiveValues> effectiveValues(String name) {
        LeaseView view = leaseClient.view();
        return view.effectiveValues(name, context.nowMs());
    }

    /**
     * Whether this member has a valid lease for all names. While it does, every value in force at any member is among
     * this member's effective values, alone or together with the previous one.
     */
    public boolean hasValidLease() {
        return context.nowMs() < leaseClient.view().leaseUntilMs();
    }

    /** The leases of this member, for tests that compare all members at one moment. */
    LeaseView leaseView() {
        return leaseClient.view();
    }

    /** The role leases that this member knows of, for tests that compare all members at one moment. */
    Map<String, Lease> roleLeases() {
        return requests.roleLeases();
    }

    Clock clock() {
        return context.clock();
    }

    /** Runs an event on this member's thread, after all queued events. */
    void execute(Runnable event) {
        context.execute(event);
    }

    @Override
    public Optional<Value> lastKnown(String name) {
        return leaseClient.view().lastKnown(name);
    }

    @Override
    public CompletableFuture<Lease> acquire(String role, double forMs) {
        return requests.claim(role, forMs);
    }

    @Override
    public Optional<Lease> heldLease(String role) {
        return requests.heldLease(role);
    }

    /** Reads the stored generations of a name, oldest first; empty if no voter answers in time. */
    CompletableFuture<Optional<AgreementMessage.HistoryResponse>> readHistory(
            String name, long generation, double withinMs) {
        return requests.readHistory(name, generation, withinMs);
    }

    // Operator interface.

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

    /** Registers the member's counters and gauges. */
    public void registerMetrics(MeterRegistry registry) {
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

    /** The current alarm, for operators; empty if there is none. */
    public String alarm() {
        return context.alarm().text();
    }

    /** Whether this member believes that it is the leader; for operators, not for decisions. */
    public boolean isLeader() {
        return status().contains(", leads");
    }

    /** Stops the member and closes its disk; waits a bounded time for the consensus to terminate. */
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
            LOG.warn("agreement at {}: consensus did not terminate within {} s", context.name(), CLOSE_TIMEOUT_S);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        halt();
    }

    /** Stops at once, like a killed process: nothing more is written or sent. */
    void halt() {
        context.thread().shutDown();
        recovery.closeDisk();
    }
}
