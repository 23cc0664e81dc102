package brackenbridge.lab.world;

import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.DeduplicationScope;
import brackenbridge.core.balancing.Idempotence;
import brackenbridge.core.balancing.NetworkSettings;
import brackenbridge.core.balancing.RequestClass;
import brackenbridge.core.balancing.TenantShare;
import brackenbridge.lab.model.ServerProfile;
import brackenbridge.lab.random.Distribution;
import java.util.ArrayList;
import java.util.List;

/**
 * A world to run a node in: tiers of servers, classes and tenants of requests, clients, the network, discovery, and
 * what goes wrong. All times are in milliseconds from the start of the run.
 *
 * @param seconds how long requests arrive
 * @param warmupS the first part of it, which no figure counts
 * @param tiers the tiers, the first of them called by clients
 * @param classes the classes
 * @param tenants the tenants; may be empty
 * @param load the load
 * @param clients the clients' habits
 * @param net the network
 * @param discovery the service list
 * @param troubles what goes wrong
 * @param limits what nodes may do
 */
public record World(
        double seconds,
        double warmupS,
        List<TierSpec> tiers,
        List<ClassSpec> classes,
        List<TenantSpec> tenants,
        LoadSpec load,
        ClientSpec clients,
        NetSpec net,
        DiscoverySpec discovery,
        List<Trouble> troubles,
        LimitSpec limits) {

    /**
     * A tier.
     *
     * @param name its name
     * @param servers how many servers it has
     * @param nodes the nodes before it; 0 in a later tier gives each server of the tier before a node of its own
     * @param profile what its servers are like, at the mean speed
     * @param speedSpread speeds are spread evenly by this part of the mean to either side
     * @param work the work of a request here, calls not counted
     * @param callsLeast the least calls to the next tier that a request makes
     * @param callsMost the most
     * @param callClass the class that calls come under; null for the request's own
     */
    public record TierSpec(
            String name,
            int servers,
            int nodes,
            ServerProfile profile,
            double speedSpread,
            Distribution work,
            int callsLeast,
            int callsMost,
            String callClass) {
        /** Calls to the next tier that a request makes in the mean. */
        public double meanCalls() {
            return (callsLeast + callsMost) / 2.0;
        }

        /** The same with so many servers and nodes. */
        public TierSpec sized(int otherServers, int otherNodes) {
            return new TierSpec(
                    name, otherServers, otherNodes, profile, speedSpread, work, callsLeast, callsMost, callClass);
        }
    }

    /**
     * A class of requests.
     *
     * @param name its name
     * @param aimMs answers within this time earn the full worth
     * @param deadlineMs the time that its client waits over all its tries
     * @param unsafe it must not run twice
     * @param worth the worth of one answered in time
     * @param lateShare the part of it that a later answer earns
     * @param share its part of the arrivals
     */
    public record ClassSpec(
            String name,
            double aimMs,
            double deadlineMs,
            boolean unsafe,
            double worth,
            double lateShare,
            double share) {}

    /**
     * A tenant.
     *
     * @param name its name
     * @param share its part of the service that it is owed
     * @param arrivals its part of the arrivals
     */
    public record TenantSpec(String name, double share, double arrivals) {}

    /** How the rate of arrivals goes over time. */
    public enum Shape {
        /** Level. */
        STEADY,
        /** From the low part of the rate at the start to the rate at the end. */
        RAMP,
        /** Low and high by turns. */
        STEPS,
        /** Low, with short bursts at the rate. */
        BURSTS,
        /** As recorded in a file, one time in milliseconds a line. */
        TRACE
    }

    /**
     * The load.
     *
     * @param ofCapacity the rate as a part of what all servers together can do; 0 if the rate is told
     * @param perSecond the rate; 0 if it follows from capacity
     * @param shape how it goes over time
     * @param low the low part, beside the rate
     * @param periodMs the length of a step, or the time from burst to burst
     * @param burstMs the length of a burst
     * @param traceMs the recorded times
     */
    public record LoadSpec(
            double ofCapacity,
            double perSecond,
            Shape shape,
            double low,
            double periodMs,
            double burstMs,
            List<Double> traceMs) {
        /** The same at another part of capacity. */
        public LoadSpec at(double otherOfCapacity) {
            return new LoadSpec(otherOfCapacity, 0, shape, low, periodMs, burstMs, traceMs);
        }
    }

    /**
     * The clients' habits.
     *
     * @param retries tries after the first, at most
     * @param backoffMs the pause before a try; doubled for each further one, with jitter
     * @param heed the part of clients that heed a Retry-After
     * @param impatient the part of clients that go away before the deadline
     * @param keepAlive the part of requests that come on a connection kept from before
     * @param tryLeast a try is given up after this part of its class's deadline at the least ...
     * @param tryMost ... and this one at the most; both 1 where each try waits the deadline out
     */
    public record ClientSpec(
            int retries,
            double backoffMs,
            double heed,
            double impatient,
            double keepAlive,
            double tryLeast,
            double tryMost) {}

    /**
     * The network.
     *
     * @param serverMs one way between nodes and servers
     * @param clientMs one way between clients and nodes
     * @param jitter the relative spread of both
     * @param handshakeTrips round trips that a new connection to a server takes
     * @param zones data centres, over which nodes and servers are dealt in turn
     * @param crossMs one way between a node and a server of different zones, in place of {@code serverMs}
     * @param crossPrice the part of the worth that is lost if, for each first try, one request changes zones
     */
    public record NetSpec(
            double serverMs,
            double clientMs,
            double jitter,
            double handshakeTrips,
            int zones,
            double crossMs,
            double crossPrice) {}

    /**
     * The service list.
     *
     * @param noticeMs the time after which it lists what has changed
     * @param silentNoticeMs the same for a server that dies or vanishes without a word
     * @param spreadMs the most that word takes on to a node
     * @param pushed each node has an agent that is sent every change, whether or not the node listens; while
     *     discovery is down it says nothing and learns nothing
     */
    public record DiscoverySpec(double noticeMs, double silentNoticeMs, double spreadMs, boolean pushed) {}

    /**
     * What nodes may do, as the module's settings tell it.
     *
     * @param maxAttempts attempts of one request
     * @param maxOpen requests open at once
     * @param maxRetryAfterMs the longest advice that clients heed
     * @param mayCancel attempts may be called off
     * @param mayProbe servers may be probed
     * @param connectTimeoutMs a connection not made by then has failed
     * @param drainGraceMs sends to a draining server must end by then
     * @param idleCloseMs idle connections are closed after this time
     * @param reportsInAnswers any answer holds a load report
     * @param reportFields names of a report's values
     * @param quotaOfCapacity the tenants' quotas together, as a part of capacity
     */
    public record LimitSpec(
            int maxAttempts,
            int maxOpen,
            double maxRetryAfterMs,
            boolean mayCancel,
            boolean mayProbe,
            double connectTimeoutMs,
            double drainGraceMs,
            double idleCloseMs,
            boolean reportsInAnswers,
            List<String> reportFields,
            double quotaOfCapacity) {
        /** Those of a file that gives none. */
        static final LimitSpec USUAL = new LimitSpec(
                5,
                40_000,
                3000,
                true,
                true,
                120,
                500,
                30_000,
                false,
                List.of("concurrent", "depth", "load_share", "mean_ms"),
                1);
    }

    /** Keeps its own copies. */
    public World {
        tiers = List.copyOf(tiers);
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        troubles = List.copyOf(troubles);
    }

    /** The nodes before a tier. */
    public int nodes(int tier) {
        return tiers.get(tier).nodes() > 0
                ? tiers.get(tier).nodes()
                : tiers.get(tier - 1).servers();
    }

    /** First tries a second that all servers, warm and well, could just serve: the narrowest tier counts. */
    public double capacityPerSecond() {
        double least = Double.POSITIVE_INFINITY;
        double visits = 1;
        for (TierSpec t : tiers) {
            least = Math.min(
                    least,
                    t.servers()
                            * t.profile().capacity()
                            * 1000
                            / (visits * t.work().mean()));
            visits *= t.meanCalls();
        }
        return least;
    }

    /** First tries a second that a tenant is owed. */
    public double quotaPerSecond(TenantSpec t) {
        return t.share() * limits.quotaOfCapacity() * capacityPerSecond();
    }

    /** The zone of the node or server of this number. */
    public String zone(int index) {
        return net.zones() == 1 ? "room" : "room-" + (char) ('a' + index % net.zones());
    }

    /** First tries a second at the full rate. */
    public double ratePerSecond() {
        return load.perSecond() > 0 ? load.perSecond() : load.ofCapacity() * capacityPerSecond();
    }

    /** The same world at another load. */
    public World at(LoadSpec other) {
        return new World(seconds, warmupS, tiers, classes, tenants, other, clients, net, discovery, troubles, limits);
    }

    /** The same world with other sizes. */
    public World sized(List<TierSpec> others) {
        return new World(seconds, warmupS, others, classes, tenants, load, clients, net, discovery, troubles, limits);
    }

    /** The same world under other limits. */
    public World under(LimitSpec others) {
        return new World(seconds, warmupS, tiers, classes, tenants, load, clients, net, discovery, troubles, others);
    }

    /** The same world with other troubles. */
    public World troubledBy(List<Trouble> others) {
        return new World(seconds, warmupS, tiers, classes, tenants, load, clients, net, discovery, others, limits);
    }

    /** The same world for another time, after a warm-up. */
    public World lasting(double otherWarmupS, double otherSeconds) {
        return new World(
                otherWarmupS + otherSeconds,
                otherWarmupS,
                tiers,
                classes,
                tenants,
                load,
                clients,
                net,
                discovery,
                troubles,
                limits);
    }

    /** The settings of a node before a tier. */
    public BalancerSettings settings(int tier, int me, long seed) {
        List<RequestClass> requestClasses = new ArrayList<>();
        for (ClassSpec c : classes) {
            requestClasses.add(new RequestClass(
                    c.name(),
                    micros(c.aimMs()),
                    micros(c.deadlineMs()),
                    c.unsafe() ? Idempotence.NOT_IDEMPOTENT : Idempotence.IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    false,
                    c.worth(),
                    c.lateShare()));
        }
        List<TenantShare> owed = new ArrayList<>();
        for (TenantSpec t : tenants) {
            owed.add(new TenantShare(t.name(), t.share(), quotaPerSecond(t)));
        }
        ServerProfile.Cold cold = tiers.get(tier).profile().cold();
        return new BalancerSettings(
                seed,
                me,
                nodes(tier),
                tier,
                zone(me),
                requestClasses,
                owed,
                0.05,
                !discovery.pushed(),
                10_000_000,
                limits.maxAttempts(),
                limits.maxOpen(),
                micros(limits.maxRetryAfterMs()),
                limits.mayCancel(),
                limits.mayProbe(),
                false,
                micros(limits.idleCloseMs()),
                cold.from(),
                micros(cold.ms()),
                cold.fallMultiple(),
                micros(cold.fallMs()),
                new NetworkSettings(
                        micros(limits.connectTimeoutMs()),
                        micros(limits.drainGraceMs()),
                        limits.reportsInAnswers(),
                        limits.reportFields()));
    }

    private static long micros(double ms) {
        return Math.round(ms * 1000);
    }
}
