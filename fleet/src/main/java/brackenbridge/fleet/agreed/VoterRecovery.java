package brackenbridge.fleet.agreed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Start and recovery of a voter: opens its disk, asks the other members what they know about it, starts the consensus
 * by the rules of {@link VoterAdmission}, and restarts it after a disk failure. Confined to the member's thread.
 */
final class VoterRecovery {
    private static final Logger LOG = LoggerFactory.getLogger(VoterRecovery.class);
    /** Interval of hellos to the other members. */
    private static final double HELLO_INTERVAL_MS = 200;
    /** Interval of requests to replace the old disk. */
    private static final double JOIN_INTERVAL_MS = 500;
    /** Interval of attempts to reopen a failed disk. */
    private static final double REOPEN_INTERVAL_MS = 1000;

    private static final String DISK_FAILED = "the disk can't be written: this member does not vote until it can";

    private final MemberContext context;
    private final RaftConsensus consensus;
    private final LeaderService leaderService;
    private final LeaseClient leaseClient;
    private final Supplier<String> requestTarget;
    private final Path directory;
    private final Map<String, AgreementMessage.HelloResponse> helloResponses = new HashMap<>();
    private String scheme = "";
    private VoterStore store;
    private VoterEndpoint endpoint;
    private boolean joining;
    private double lastHelloMs = Double.NEGATIVE_INFINITY;
    private double reopenAtMs = Double.NEGATIVE_INFINITY;
    private double lastJoinRequestMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates a voter that has not opened its disk yet.
     *
     * @param directory the directory of its files; null keeps them in memory, so that they are lost at each stop
     */
    VoterRecovery(
            MemberContext context,
            RaftConsensus consensus,
            LeaderService leaderService,
            LeaseClient leaseClient,
            Path directory) {
        this.context = context;
        this.consensus = consensus;
        this.leaderService = leaderService;
        this.leaseClient = leaseClient;
        this.requestTarget = leaseClient::requestTarget;
        this.directory = directory;
    }

    /** Sets the scheme of the file system that stores the files; to be called before {@link #openDisk}. */
    void useFileScheme(String fileScheme) {
        scheme = fileScheme;
    }

    /**
     * Opens the disk; puts a damaged one aside and opens an empty one.
     *
     * @throws IOException if the disk can't be used, or belongs to another fleet or member
     */
    void openDisk() throws IOException {
        String fleet = context.settings().fleet();
        try {
            store = VoterStore.open(directory, fleet, context.name(), scheme);
        } catch (VoterStore.DamagedDiskException e) {
            Path asideDirectory = VoterStore.putAside(directory);
            context.alarm().raise("disk damaged and put aside as " + asideDirectory + ": " + e.getMessage());
            store = VoterStore.open(directory, fleet, context.name(), scheme);
        }
        endpoint = new VoterEndpoint(context.name(), store.diskId());
        joining = store.isJoining();
    }

    /** Whether the voter waits to replace its old disk. */
    boolean isJoining() {
        return joining;
    }

    boolean isDiskFailed() {
        return store != null && store.failed();
    }

    /** Describes the disk, for operators. */
    String describeDisk() {
        return (directory == null ? "memory only" : store.fileBytes() + " bytes") + ", " + store.forcedWrites()
                + " writes forced";
    }

    /** Closes the disk's files, if they were opened. */
    void closeDisk() {
        if (store != null) {
            store.close();
        }
    }

    /** Performs what is due: reopens a failed disk, sends hellos, replaces a stale pre-vote, or requests to join. */
    void tick(double nowMs) {
        if (store.failed()) {
            onDiskFailed(nowMs);
        } else if (!consensus.isStarted()) {
            if (nowMs >= lastHelloMs + HELLO_INTERVAL_MS) {
                lastHelloMs = nowMs;
                sendHello();
            }
        } else {
            tickStarted(nowMs);
        }
    }

    private void tickStarted(double nowMs) {
        if (consensus.replaceStalePreVote()) {
            LOG.warn(
                    "agreement at {}: the leader is silent, a stale pre-vote was replaced by a new one",
                    context.name());
        }
        if (joining && nowMs >= lastJoinRequestMs + JOIN_INTERVAL_MS) {
            lastJoinRequestMs = nowMs;
            requestJoin();
        }
    }

    private void requestJoin() {
        if (!consensus.committedMembers().getVotingMembers().contains(endpoint)) {
            context.send(requestTarget.get(), new AgreementMessage.JoinRequest(endpoint.toString()));
            return;
        }
        joining = false;
        runDiskAction(() -> store.saveJoined(consensus.committedMembers().getLogIndex()));
        context.alarm().clear();
        LOG.info("agreement at {}: became a voter as {}", context.name(), endpoint);
    }

    /** Reopens a failed disk periodically; this member does not vote until a write succeeds. */
    private void onDiskFailed(double nowMs) {
        if (consensus.isStarted()) {
            context.alarm().raise(DISK_FAILED);
            stopVoting();
            reopenAtMs = nowMs + REOPEN_INTERVAL_MS;
        }
        if (nowMs < reopenAtMs) {
            return;
        }
        reopenAtMs = nowMs + REOPEN_INTERVAL_MS;
        store.close();
        try {
            openDisk();
        } catch (IOException e) {
            context.alarm().raise(DISK_FAILED + ": " + e.getMessage());
            return;
        }
        context.alarm().clear();
        lastHelloMs = Double.NEGATIVE_INFINITY;
        LOG.warn("agreement at {}: the disk can be written again, this member rejoins the voters", context.name());
    }

    /** Discards the Raft node, which has stopped with the disk; a new one starts from the disk, as after a restart. */
    private void stopVoting() {
        consensus.discardNode();
        leaderService.reset();
        helloResponses.clear();
    }

    @FunctionalInterface
    private interface DiskAction {
        void run() throws IOException;
    }

    private void runDiskAction(DiskAction action) {
        try {
            action.run();
        } catch (IOException e) {
            context.alarm().raise("disk: " + e.getMessage());
        }
    }

    private void sendHello() {
        runDiskAction(() -> context.broadcast(
                new AgreementMessage.Hello(store.diskId(), store.startCount(), context.incarnation())));
        takeNextStep();
    }

    /** Answers a hello with what this member knows, and stores the requester's disk. */
    void onHello(String peer, AgreementMessage.Hello request) {
        List<String> members = List.of();
        List<String> bootstrapVoters = List.of();
        long membersLogIndex = 0;
        String[] lastSeen = {"", "0", "0"};
        try {
            if (context.isVoter()
                    && !store.failed()
                    && context.settings().voters().contains(peer)) {
                bootstrapVoters = store.bootstrapVoters();
                lastSeen = store.lastSeen(peer).map(last -> last.split(" ")).orElse(lastSeen);
                String current = request.diskId() + " " + request.startCount() + " " + request.incarnation();
                if (!current.equals(String.join(" ", lastSeen))) {
                    store.saveLastSeen(peer, current);
                }
                if (consensus.isStarted()) {
                    members = VoterEndpoint.ids(consensus.committedMembers().getVotingMembers());
                    membersLogIndex = consensus.committedMembers().getLogIndex();
                }
            }
        } catch (IOException e) {
            context.alarm().raise("disk: " + e.getMessage());
        }
        AgreementMessage.HelloResponse response = new AgreementMessage.HelloResponse(
                endpoint == null ? "" : endpoint.diskId(),
                bootstrapVoters,
                leaseClient.followedGroup(),
                members,
                membersLogIndex,
                lastSeen[0],
                Long.parseLong(lastSeen[1]),
                Long.parseLong(lastSeen[2]));
        context.send(peer, response);
    }

    void onHelloResponse(String peer, AgreementMessage.HelloResponse response) {
        if (!consensus.isStarted() && context.isVoter()) {
            helloResponses.put(peer, response);
            takeNextStep();
        }
    }

    private void takeNextStep() {
        if (consensus.isStarted() || store.failed()) {
            return;
        }
        runDiskAction(() -> {
            VoterAdmission.LocalVoter self = new VoterAdmission.LocalVoter(
                    endpoint,
                    store.startCount(),
                    context.incarnation(),
                    store.bootstrapVoters(),
                    joining,
                    store.joinLogIndex());
            List<String> knownBootstrapVoters = VoterAdmission.bootstrapVoters(self, helloResponses);
            switch (VoterAdmission.nextStep(self, context.settings().voters(), helloResponses)) {
                case BOOTSTRAP -> startVoting(bootstrapVoters(), false);
                case START -> startVoting(knownBootstrapVoters, false);
                case JOIN -> startVoting(knownBootstrapVoters, true);
                case PUT_ASIDE -> replaceDisk();
                case SPLIT ->
                    context.alarm()
                            .raise("members follow different Raft groups: operators must decide which disks to keep");
                default -> {
                    // Wait for further responses.
                }
            }
        });
    }

    private List<String> bootstrapVoters() {
        return context.settings().voters().stream()
                .map(voter -> voter.equals(context.name())
                        ? endpoint
                        : new VoterEndpoint(voter, helloResponses.get(voter).diskId()))
                .map(VoterEndpoint::toString)
                .toList();
    }

    private void replaceDisk() throws IOException {
        store.close();
        context.alarm()
                .raise("the disk is old, copied or was replaced; put aside as "
                        + (directory == null ? "nothing" : VoterStore.putAside(directory)));
        helloResponses.clear();
        openDisk();
    }

    private void startVoting(List<String> bootstrapVoters, boolean asReplacement) throws IOException {
        if (store.bootstrapVoters().isEmpty()) {
            store.saveBootstrapVoters(bootstrapVoters, asReplacement);
        }
        joining = asReplacement;
        consensus.start(store, endpoint, bootstrapVoters);
        LOG.info(
                "agreement at {}: started as {} in Raft group {}{}",
                context.name(),
                endpoint,
                consensus.groupId(),
                joining ? ", requests to replace its old disk" : "");
    }
}
