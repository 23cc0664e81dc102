package brackenbridge.lab.model;

/**
 * What a server is like. Work is told in milliseconds of one core of speed 1.
 *
 * @param cores its cores
 * @param speed the speed of each
 * @param slots requests in hand at once; the cores are shared among them evenly
 * @param room requests that may wait for a slot; one more is turned away
 * @param errorRate the part of requests that end with an error
 * @param cancel what a client that has gone away spares it
 * @param dropsExpired requests whose time is over are not begun
 * @param cold how it starts
 * @param crowd what it loses when crowded
 * @param choke how it seizes up under load
 * @param pauses when it stands still
 * @param connections what it holds of connections
 * @param reports how it tells its load
 * @param probes what a health check costs it
 */
public record ServerProfile(
        int cores,
        double speed,
        int slots,
        int room,
        double errorRate,
        Cancel cancel,
        boolean dropsExpired,
        Cold cold,
        Crowd crowd,
        Choke choke,
        Pauses pauses,
        Connections connections,
        Reports reports,
        Probes probes) {

    /** What a client that has gone away spares the server. */
    public enum Cancel {
        /** Nothing. */
        NONE,
        /** Work that has not begun. */
        QUEUED,
        /** All that is left. */
        ALL
    }

    /**
     * A cold start: it begins with a part of its speed and gains the rest by time, or by work done.
     *
     * @param from the part that it has at first
     * @param ms the time after which it is warm
     * @param workMs the work after which it is warm; 0 if time alone counts
     * @param fallMultiple sent more than so many times its present capacity ...
     * @param fallMs ... for so long, it is pushed over; 0 if it cannot be
     */
    public record Cold(double from, double ms, double workMs, double fallMultiple, double fallMs) {
        /** Warm from the start. */
        public static final Cold NONE = new Cold(1, 0, 0, 3, 0);
    }

    /**
     * Efficiency lost to crowding: its speed is divided by 1 + loss for each request in hand above the threshold.
     *
     * @param loss the loss for each
     * @param above the threshold
     */
    public record Crowd(double loss, int above) {
        /** No loss. */
        public static final Crowd NONE = new Crowd(0, Integer.MAX_VALUE);
    }

    /**
     * A metastable choke: once so many requests are in hand or waiting, it keeps only a part of its speed until few
     * are left. See Bronson et al., Metastable Failures in Distributed Systems, HotOS 2021.
     *
     * @param at requests at which it begins ...
     * @param until requests at which it ends ...
     * @param part the part of its speed that is left
     * @param overMs ... once there were as many for so long without a break
     * @param restMs ... once there were as few for so long without a break
     * @param mostMs it ends after this time whatever it has
     */
    public record Choke(int at, int until, double part, double overMs, double restMs, double mostMs) {
        /** Never. */
        public static final Choke NONE = new Choke(Integer.MAX_VALUE, 0, 1);

        /** One that begins and ends at once, and lasts while it must. */
        public Choke(int at, int until, double part) {
            this(at, until, part, 0, 0, Double.POSITIVE_INFINITY);
        }
    }

    /**
     * Pauses, as of a garbage collector.
     *
     * @param everyMs the mean time between two; 0 if there are none
     * @param ms the mean length of one
     */
    public record Pauses(double everyMs, double ms) {
        /** None. */
        public static final Pauses NONE = new Pauses(0, 0);
    }

    /**
     * Connections.
     *
     * @param most the most it holds
     * @param handshakeMs the work that each new one is
     * @param idleCloseMs idle ones are closed after this time; 0 if never
     */
    public record Connections(int most, double handshakeMs, double idleCloseMs) {
        /** As many as come, at no cost. */
        public static final Connections FREE = new Connections(Integer.MAX_VALUE, 0, 0);
    }

    /**
     * Load reports.
     *
     * @param periodMs how often the figures are taken
     * @param delayMs how old they are at the least
     * @param noise the relative error of each figure
     */
    public record Reports(double periodMs, double delayMs, double noise) {
        /** Exact and new. */
        public static final Reports EXACT = new Reports(0, 0, 0);
    }

    /**
     * Health checks.
     *
     * @param workMs the work of one
     * @param most how many it takes at once
     * @param deep a server that hangs fails them; otherwise they pass while the process lives
     */
    public record Probes(double workMs, int most, boolean deep) {
        /** Deep ones at no cost. */
        public static final Probes FREE = new Probes(0, Integer.MAX_VALUE, true);
    }

    /** Rejects what no server could be. */
    public ServerProfile {
        require(cores >= 1, "cores", cores);
        require(speed > 0, "speed", speed);
        require(slots >= 1, "slots", slots);
        require(room >= 0, "room", room);
        require(errorRate >= 0 && errorRate <= 1, "errorRate", errorRate);
        require(cold.from() > 0 && cold.from() <= 1, "cold.from", cold.from());
        require(crowd.loss() >= 0, "crowd.loss", crowd.loss());
        require(choke.part() > 0 && choke.part() <= 1, "choke.part", choke.part());
        require(choke.until() < choke.at(), "choke.until", choke.until());
    }

    private static void require(boolean holds, String what, Object value) {
        if (!holds) {
            throw new IllegalArgumentException(what + ": " + value);
        }
    }

    /** A server without troubles of its own: so many cores, one request for each, and this waiting room. */
    public static ServerProfile plain(int cores, double speed, int room) {
        return new ServerProfile(
                cores,
                speed,
                cores,
                room,
                0,
                Cancel.NONE,
                false,
                Cold.NONE,
                Crowd.NONE,
                Choke.NONE,
                Pauses.NONE,
                Connections.FREE,
                Reports.EXACT,
                Probes.FREE);
    }

    /** The same with another speed. */
    public ServerProfile withSpeed(double other) {
        return new ServerProfile(
                cores,
                other,
                slots,
                room,
                errorRate,
                cancel,
                dropsExpired,
                cold,
                crowd,
                choke,
                pauses,
                connections,
                reports,
                probes);
    }

    /** The same with another cold start. */
    public ServerProfile withCold(Cold other) {
        return new ServerProfile(
                cores,
                speed,
                slots,
                room,
                errorRate,
                cancel,
                dropsExpired,
                other,
                crowd,
                choke,
                pauses,
                connections,
                reports,
                probes);
    }

    /** The same with another choke. */
    public ServerProfile withChoke(Choke other) {
        return new ServerProfile(
                cores,
                speed,
                slots,
                room,
                errorRate,
                cancel,
                dropsExpired,
                cold,
                crowd,
                other,
                pauses,
                connections,
                reports,
                probes);
    }

    /** The same with so many slots. */
    public ServerProfile withSlots(int other) {
        return new ServerProfile(
                cores,
                speed,
                other,
                room,
                errorRate,
                cancel,
                dropsExpired,
                cold,
                crowd,
                choke,
                pauses,
                connections,
                reports,
                probes);
    }

    /** What it can do: milliseconds of work a millisecond, warm and alone. */
    public double capacity() {
        return cores * speed;
    }
}
