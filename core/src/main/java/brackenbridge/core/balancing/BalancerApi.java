package brackenbridge.core.balancing;

import java.util.List;

/**
 * The whole interface of the decision module {@link Balancer}: the settings it is given at start, the
 * events it is told of and the actions it takes. Times and durations are whole microseconds; the clock
 * begins anywhere and only advances. Ids are numbers without meaning.
 */
public interface BalancerApi {

    /** What a repeat of a request would do. */
    enum Effect {
        /** May be sent again and refused without restriction. */
        SAFE,
        /** Repeats are dropped by a group of endpoints, for a while. */
        KEYED,
        /** Must never run twice. */
        UNSAFE
    }

    /** The endpoints that drop each other's repeats of a keyed request. */
    enum DedupScope {
        /** Every endpoint of the tier. */
        ALL,
        /** Those of the same zone. */
        ZONE,
        /** Those of the same cell. */
        CELL
    }

    /**
     * A class of request.
     *
     * @param name its name
     * @param aim answers within this time earn the full worth
     * @param deadline the whole time a client waits, over all its tries
     * @param effect what a repeat would do
     * @param dedupScope for {@link Effect#KEYED}: who drops repeats
     * @param keyTtl for {@link Effect#KEYED}: how long repeats are dropped, from the send that may have run
     * @param stream the answer arrives as a stream
     * @param worth the worth of one request answered in time
     * @param lateShare the part of the worth left to an answer after the aim
     */
    record RequestClass(
            String name,
            long aim,
            long deadline,
            Effect effect,
            DedupScope dedupScope,
            long keyTtl,
            boolean stream,
            double worth,
            double lateShare) {
        /** A class that could not be served or ranked is rejected; its name stands in paths and in figures. */
        public RequestClass {
            Settings.require(name.matches("[^\\s\\p{Cntrl}/?#:|]+"), "name of a class", name);
            Settings.require(aim > 0, "aim of class " + name, aim);
            Settings.require(deadline >= aim && deadline <= Settings.DAY, "deadline of class " + name, deadline);
            Settings.require(keyTtl >= 0 && keyTtl <= Settings.AGE, "keyTtl of class " + name, keyTtl);
            Settings.require(worth >= 0 && worth <= Settings.MOST, "worth of class " + name, worth);
            Settings.require(lateShare >= 0 && lateShare <= 1, "lateShare of class " + name, lateShare);
        }
    }

    /**
     * A tenant and its share.
     *
     * @param name its name
     * @param share its part of the service
     * @param quotaPerSecond requests a second, over all instances, within its share; 0 if not told
     */
    record Tenant(String name, double share, double quotaPerSecond) {
        /** A share or a quota that no rate can have is rejected. */
        public Tenant {
            Settings.require(share >= 0 && share <= Settings.MOST, "share of tenant " + name, share);
            Settings.require(
                    quotaPerSecond >= 0 && quotaPerSecond <= Settings.MOST, "quota of tenant " + name, quotaPerSecond);
        }
    }

    /**
     * What the settings say of connections and reports; the module decides nothing by it, the node obeys it.
     *
     * @param connectTimeout a connection not made by then has failed
     * @param drainGrace time in which sends to a draining or gone endpoint must end
     * @param reportsInAnswers any answer may hold a load report
     * @param reportFields the names of a report's values; empty where there are no reports
     */
    record Network(long connectTimeout, long drainGrace, boolean reportsInAnswers, List<String> reportFields) {
        /** The figures of a deployment that tells none. */
        public static final Network UNTOLD = new Network(1_000_000, 0, false, List.of());

        /** Limits that no connection or send could keep are rejected. */
        public Network {
            Settings.require(connectTimeout > 0 && connectTimeout <= Settings.DAY, "connectTimeout", connectTimeout);
            Settings.require(drainGrace >= 0 && drainGrace <= Settings.DAY, "drainGrace", drainGrace);
            reportFields = List.copyOf(reportFields);
        }
    }

    /**
     * What an instance is given at its start.
     *
     * @param seed the only source of its random numbers
     * @param me its number among its peers
     * @param peers how many instances its tier of callers has
     * @param tier which tier it sends to; above 0, its callers are servers of the tier before
     * @param zone the zone it is in
     * @param classes the classes of request
     * @param tenants the tenants; may be empty
     * @param overShareWorth what a request beyond its tenant's share is worth, as a part
     * @param askDiscovery the list of endpoints comes only when asked for
     * @param mustAskWithin without a subscription, ask at least this often
     * @param maxAttempts attempts allowed for one request
     * @param maxOpen open requests allowed at once
     * @param maxRetryAfter the longest retry-after that clients heed; 0 if not told
     * @param mayCancel attempts may be cancelled
     * @param mayProbe endpoints may be probed
     * @param secondCopies two attempts of one request may be out at once
     * @param idleClose idle connections are closed after this time
     * @param coldFrom a starting endpoint has at least this part of its capacity
     * @param warmAfter and all of it after this time
     * @param fallMultiple sent more than so many times what it can do then ...
     * @param fall ... for this time, a starting endpoint falls over; 0 if it can not, or is not told
     * @param network what the node round the module must keep to
     */
    record Settings(
            long seed,
            int me,
            int peers,
            int tier,
            String zone,
            List<RequestClass> classes,
            List<Tenant> tenants,
            double overShareWorth,
            boolean askDiscovery,
            long mustAskWithin,
            int maxAttempts,
            int maxOpen,
            long maxRetryAfter,
            boolean mayCancel,
            boolean mayProbe,
            boolean secondCopies,
            long idleClose,
            double coldFrom,
            long warmAfter,
            double fallMultiple,
            long fall,
            Network network) {
        /** The longest time within which something is to happen: guards sums of times against running over. */
        static final long DAY = 86_400_000_000L;
        /** The longest time after which something may be forgotten, some thirty years. */
        static final long AGE = 1_000_000_000_000_000L;
        /** The most that a worth or a rate can be. */
        static final double MOST = 1e9;
        /** The least part of its capacity that a starting endpoint can have. */
        static final double LEAST_COLD = 0.001;

        /** Settings that contradict themselves are rejected. */
        public Settings {
            require(!classes.isEmpty(), "no classes", classes);
            for (int i = 0; i < classes.size(); i++) {
                RequestClass c = classes.get(i);
                require(
                        classes.stream().filter(o -> o.name().equals(c.name())).count() == 1,
                        "class given twice",
                        c.name());
            }
            for (Tenant t : tenants) {
                require(
                        tenants.stream().filter(o -> o.name().equals(t.name())).count() == 1,
                        "tenant given twice",
                        t.name());
            }
            require(overShareWorth >= 0 && overShareWorth <= MOST, "overShareWorth", overShareWorth);
            require(peers >= 1, "peers", peers);
            require(me >= 0 && me < peers, "me is not among the peers", me);
            require(tier >= 0, "tier", tier);
            require(maxAttempts >= 1, "maxAttempts", maxAttempts);
            require(maxOpen >= 1, "maxOpen", maxOpen);
            require(mustAskWithin >= 0 && mustAskWithin <= AGE, "mustAskWithin", mustAskWithin);
            require(maxRetryAfter >= 0 && maxRetryAfter <= DAY, "maxRetryAfter", maxRetryAfter);
            require(idleClose >= 0 && idleClose <= AGE, "idleClose", idleClose);
            require(coldFrom >= LEAST_COLD && coldFrom <= 1, "coldFrom", coldFrom);
            require(warmAfter >= 0 && warmAfter <= AGE, "warmAfter", warmAfter);
            require(fallMultiple >= LEAST_COLD && fallMultiple <= MOST, "fallMultiple", fallMultiple);
            require(fall >= 0 && fall <= DAY, "fall", fall);
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
        }

        /** The settings of a deployment that tells of no endpoint that falls over. */
        public Settings(
                long seed,
                int me,
                int peers,
                int tier,
                String zone,
                List<RequestClass> classes,
                List<Tenant> tenants,
                double overShareWorth,
                boolean askDiscovery,
                long mustAskWithin,
                int maxAttempts,
                int maxOpen,
                long maxRetryAfter,
                boolean mayCancel,
                boolean mayProbe,
                boolean secondCopies,
                long idleClose,
                double coldFrom,
                long warmAfter,
                Network network) {
            this(
                    seed,
                    me,
                    peers,
                    tier,
                    zone,
                    classes,
                    tenants,
                    overShareWorth,
                    askDiscovery,
                    mustAskWithin,
                    maxAttempts,
                    maxOpen,
                    maxRetryAfter,
                    mayCancel,
                    mayProbe,
                    secondCopies,
                    idleClose,
                    coldFrom,
                    warmAfter,
                    1,
                    0,
                    network);
        }

        /** The same settings with another seed. */
        public Settings withSeed(long other) {
            return new Settings(
                    other,
                    me,
                    peers,
                    tier,
                    zone,
                    classes,
                    tenants,
                    overShareWorth,
                    askDiscovery,
                    mustAskWithin,
                    maxAttempts,
                    maxOpen,
                    maxRetryAfter,
                    mayCancel,
                    mayProbe,
                    secondCopies,
                    idleClose,
                    coldFrom,
                    warmAfter,
                    fallMultiple,
                    fall,
                    network);
        }

        /** The same settings with another word on the endpoints that fall over while cold. */
        public Settings withFall(double multiple, long time) {
            return new Settings(
                    seed,
                    me,
                    peers,
                    tier,
                    zone,
                    classes,
                    tenants,
                    overShareWorth,
                    askDiscovery,
                    mustAskWithin,
                    maxAttempts,
                    maxOpen,
                    maxRetryAfter,
                    mayCancel,
                    mayProbe,
                    secondCopies,
                    idleClose,
                    coldFrom,
                    warmAfter,
                    multiple,
                    time,
                    network);
        }

        private static void require(boolean holds, String what, Object value) {
            if (!holds) {
                throw new IllegalArgumentException(what + ": " + value);
            }
        }
    }

    /** What discovery says of an endpoint. */
    enum EndpointState {
        /** Its process runs. */
        UP,
        /** It finishes what it has and takes nothing new. */
        DRAINING,
        /** It has been withdrawn. */
        REMOVED
    }

    /**
     * One endpoint of a list.
     *
     * @param id its id
     * @param cell the cell it is in, -1 if not told
     * @param zone the zone it is in
     * @param weight its capacity beside the others'; 1 if not told, or told as what no capacity can be
     * @param startedAt when it last started; 0 for long ago
     * @param state what discovery says of it
     */
    record Endpoint(long id, long cell, String zone, double weight, long startedAt, EndpointState state) {
        /** No server has a capacity so far from the others'. */
        private static final double WIDEST = 1000;

        /** Guards turns that go by weights: one that is absurd must not take every turn, or its neighbours theirs. */
        public Endpoint {
            weight = weight > 0 && weight < Double.POSITIVE_INFINITY
                    ? Math.min(WIDEST, Math.max(1 / WIDEST, weight))
                    : 1;
        }
    }

    /** How a list of endpoints relates to what the instance holds. */
    enum ListKind {
        /** Changed entries only. */
        CHANGES,
        /** The complete list; what is absent is gone. */
        FULL,
        /** The complete list as last held, perhaps out of date. */
        SAVED
    }

    /**
     * A request that has arrived.
     *
     * @param id its id, never used again
     * @param className its class
     * @param tenant its tenant; null if none
     * @param key what it is about; -1 if not told; the module sends no two calls together for it
     * @param timeLeft how long until its caller gives up this try; below 0 is as good as 0
     * @param costHint the work expected; -1 if not told
     * @param repeat its caller says that it tried before
     */
    record Request(long id, String className, String tenant, long key, long timeLeft, long costHint, boolean repeat) {}

    /** How an attempt, or a probe, ended. */
    enum Outcome {
        /** Served. */
        OK(false),
        /** Answered with an error; it may have run. */
        ERROR(false),
        /** Turned away unseen. */
        FULL(true),
        /** No answer in time; it may run still. */
        TIMEOUT(false),
        /** No connection could be had. */
        CONNECT_FAILED(true),
        /** The connection broke while the attempt was out; it may have run. */
        RESET(false),
        /** Withdrawn; it may have run. */
        CANCELLED(false),
        /** Never sent: the request had ended, its time or attempts were used up, or the node has no room for it. */
        MOOT(true),
        /** Never sent: the node failed to connect. It tells nothing of the endpoint, and another try costs none. */
        FAILED_LOCALLY(true);

        /** Whether this outcome proves that the attempt never ran. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /**
     * What an endpoint says of its load, late and noisy; NaN for what it does not say.
     *
     * @param inHand requests in hand
     * @param queued requests waiting
     * @param utilization the part of its CPU in use
     * @param meanMillis its service time of late, in milliseconds
     * @param perSecond requests served a second
     * @param errorsPerSecond errors a second
     */
    record Report(
            double inHand,
            double queued,
            double utilization,
            double meanMillis,
            double perSecond,
            double errorsPerSecond) {}

    /** What an instance can do. */
    interface Actions {
        /** Begins the request's next attempt, counted from 0; the attempt is given the timeout named. */
        void send(long request, long endpoint, long timeout);

        /** Final answer: refused, a retry does no harm; retryAfter 0 gives no guidance. */
        void refuse(long request, long retryAfter);

        /** Final answer: failed, with no promise about its effect. */
        void fail(long request);

        /** Asks for {@link #onTimer} at the given time or soon after. */
        void timer(long at, String token);

        /** Examines an endpoint, at some cost to it. */
        void probe(long endpoint);

        /**
         * Whether {@link BalancerApi#onWritten} follows each send whose request is written; else a request counts as
         * written when it is sent.
         */
        default boolean tellsWritten() {
            return false;
        }
    }

    // ---- Events: what an instance is told, each with the time at which it is told ----

    /** Other settings hold for requests that come from now on; those that are open keep the rules they came under. */
    default void onSettings(long now, Settings settings) {
        throw new UnsupportedOperationException("settings that change while it runs");
    }

    /** A list of endpoints. The first event of all is a list. */
    void onList(long now, ListKind kind, List<Endpoint> entries);

    /** A request has arrived; the instance owes it one final answer. */
    void onRequest(long now, Request request);

    /**
     * A long request has begun to arrive. A server begins it with its last byte only, so until {@link #onWhole} it
     * holds none; it may be sent before that.
     */
    default void onLongRequest(long now, Request request) {
        onRequest(now, request);
    }

    /** The last byte of a long request has come. */
    default void onWhole(long now, long request) {}

    /** The last byte of an attempt's request has been written to its endpoint. */
    default void onWritten(long now, long request, int attempt) {}

    /** The response of a streamed request has started; the attempt is the client's from now on. */
    void onFirstByte(long now, long request, int attempt);

    /**
     * An attempt has ended; each send gets exactly one.
     *
     * @param ended the request has ended, by this outcome or before it
     * @param latency the time since the send
     * @param report the endpoint's load, null if none came
     */
    void onOutcome(long now, long request, int attempt, boolean ended, Outcome outcome, long latency, Report report);

    /** The request has ended without the instance; nothing is owed. */
    void onGone(long now, long request);

    /** A timer set before has fallen due. */
    void onTimer(long now, String token);

    /** How many listed endpoints the instance avoids now; for the operators' figures. */
    default int avoided() {
        return 0;
    }

    /** How long a client that is refused now had better wait before it comes again; 0 gives no guidance. */
    default long retryAfter() {
        return 0;
    }

    /** A probe has ended; the report is null if none came. Nothing to an instance that sends none. */
    default void onProbed(long now, long endpoint, Outcome outcome, long latency, Report report) {}
}
