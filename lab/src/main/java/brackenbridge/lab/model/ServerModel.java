package brackenbridge.lab.model;

import brackenbridge.core.balancing.LoadReport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * A server: requests wait in a room, are taken into slots in turn, and share the cores evenly (processor sharing,
 * or first come, first served where there is a slot for each core). One thread drives it.
 *
 * <p>Sharing is kept by the work that each request in hand has had since the server began, which is the same for
 * all: a request ends when that figure reaches its own work plus the figure at which it began, so that an arrival
 * costs the logarithm of the requests in hand.
 */
public final class ServerModel {
    /** A request this close to its end (milliseconds) has ended: less is lost in rounding. */
    private static final double ROUNDING_MS = 1e-3;
    /** How often the speed of a server that warms up by time is looked at. */
    private static final double WARMING_STEP_MS = 100;
    /** Smoothing of the mean service time that it reports. */
    private static final double NEWEST = 0.1;
    /** Requests in hand up to which its service time is kept apart. */
    private static final int LOADS = 64;
    /** What it does before an error shows, as a part of the work. */
    private static final double WORK_OF_AN_ERROR = 0.2;

    /** How a request ended at the server. */
    public enum Verdict {
        /** Served. */
        SERVED,
        /** An error; it may have run. */
        ERROR,
        /** Turned away unseen. */
        TURNED_AWAY,
        /** It has run, but the answer can't be read. */
        SPOILT,
        /** It has run, and the connection breaks instead of an answer. */
        RESET
    }

    /** Calls to the next tier, made while a request holds its slot. */
    public interface Calls {
        /** Makes the call of this number; the word that comes back says whether it was served. */
        void call(int number, Consumer<Boolean> done);
    }

    private enum Stage {
        WAITING,
        RUNNING,
        CALLING,
        ENDED
    }

    /** A request in hand. */
    public final class Job {
        private final String className;
        private final double[] parts;
        private final double deadlineMs;
        private final Calls calls;
        private final Consumer<Verdict> reply;
        private final Verdict verdict;
        private final double arrivedMs;
        private final boolean system;
        private final int loadBefore;
        /** The life of the process that has it; a later one knows nothing of it. */
        private final long ofLife;

        private Stage stage = Stage.WAITING;
        private int part;
        private double tag;
        private long order;

        private Job(
                String className,
                double[] parts,
                double deadlineMs,
                Calls calls,
                Verdict verdict,
                boolean system,
                Consumer<Verdict> reply) {
            this.className = className;
            this.parts = parts;
            this.deadlineMs = deadlineMs;
            this.calls = calls;
            this.verdict = verdict;
            this.system = system;
            this.reply = reply;
            this.arrivedMs = scheduler.nowMs();
            this.ofLife = life;
            this.loadBefore = Math.min(LOADS - 1, load());
        }

        /** Whether it has ended. */
        public boolean ended() {
            return stage == Stage.ENDED || ofLife != life;
        }

        /** Its class. */
        public String className() {
            return className;
        }
    }

    private final ServerProfile profile;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final ArrayDeque<Job> room = new ArrayDeque<>();
    private final PriorityQueue<Job> running = new PriorityQueue<>(
            (a, b) -> a.tag != b.tag ? Double.compare(a.tag, b.tag) : Long.compare(a.order, b.order));
    private final Map<String, Double> failing = new HashMap<>();
    private int inSlots;
    private int runners;
    private int connections;
    private int probesOut;
    private long orders;
    private double attained;
    private double advancedMs;
    private double wakeMs = Double.POSITIVE_INFINITY;
    private long life;
    private boolean dead;
    private boolean draining;
    private boolean hung;
    private boolean paused;
    private boolean choked;
    private long chokes;
    /** When it begins or ends to choke, if its load stays as it is; infinite if it does neither. */
    private double chokeTurnsMs = Double.POSITIVE_INFINITY;

    private double slow = 1;
    private double stolen;
    private double spoilRate;
    private double resetRate;
    private double bornMs = Double.NEGATIVE_INFINITY;
    private double workSinceBirth;
    private Runnable pushedOver = () -> {};
    private final ArrayDeque<double[]> offered = new ArrayDeque<>();
    private double offeredSum;
    private double offeredSquares;
    private double busyMs;
    /** Means of the service time by the requests that were in hand at the arrival; 0 where none is known. */
    private final double[] meanMs = new double[LOADS];

    private long served;
    private long errors;
    private double[] takenNow = new double[6];
    private double[] takenBefore = new double[6];
    private double takenMs = Double.NEGATIVE_INFINITY;
    private double[] countsAtTaking = new double[3];

    /** A warm server that has run for long. */
    public ServerModel(ServerProfile profile, Scheduler scheduler, UniformRandomProvider random) {
        this.profile = profile;
        this.scheduler = scheduler;
        this.random = random;
        this.advancedMs = scheduler.nowMs();
        schedulePause();
    }

    // ---- Requests ----

    /**
     * Takes a request in whose last byte has come.
     *
     * @param className its class
     * @param parts its work in milliseconds, cut where it calls the next tier: one more part than it makes calls
     * @param deadlineMs when its client gives up
     * @param calls the next tier; may be null if there is one part
     * @param reply hears how it ended, once, perhaps at once; never if it is cancelled or the server dies
     */
    public Job begin(String className, double[] parts, double deadlineMs, Calls calls, Consumer<Verdict> reply) {
        double work = 0;
        for (double p : parts) {
            work += p;
        }
        offer(work);
        Verdict verdict = verdict(className);
        double[] done = parts;
        if (verdict == Verdict.ERROR) {
            done = new double[] {parts[0] * WORK_OF_AN_ERROR};
        }
        Job job = new Job(className, done, deadlineMs, calls, verdict, false, reply);
        if (dead || draining || inSlots >= profile.slots() && room.size() >= profile.room()) {
            job.stage = Stage.ENDED;
            reply.accept(Verdict.TURNED_AWAY);
            return job;
        }
        if (inSlots < profile.slots()) {
            start(job);
        } else {
            room.add(job);
            choke();
        }
        return job;
    }

    private Verdict verdict(String className) {
        double classRate = failing.isEmpty() ? 0 : failing.getOrDefault(className, 0.0);
        double errorRate = Math.max(profile.errorRate(), classRate);
        if (errorRate > 0 && random.nextDouble() < errorRate) {
            return Verdict.ERROR;
        }
        if (spoilRate > 0 && random.nextDouble() < spoilRate) {
            return Verdict.SPOILT;
        }
        if (resetRate > 0 && random.nextDouble() < resetRate) {
            return Verdict.RESET;
        }
        return Verdict.SERVED;
    }

    /** The client has gone away or given this request up. */
    public void cancel(Job job) {
        if (job.stage == Stage.ENDED || job.ofLife != life || profile.cancel() == ServerProfile.Cancel.NONE) {
            return;
        }
        if (job.stage == Stage.WAITING) {
            room.remove(job);
            job.stage = Stage.ENDED;
            choke();
        } else if (profile.cancel() == ServerProfile.Cancel.ALL) {
            advance();
            if (job.stage == Stage.RUNNING) {
                running.remove(job);
                runners--;
            }
            job.stage = Stage.ENDED;
            inSlots--;
            refill();
        }
        retime();
    }

    private void start(Job job) {
        inSlots++;
        run(job);
    }

    private void run(Job job) {
        advance();
        job.stage = Stage.RUNNING;
        job.tag = attained + job.parts[job.part];
        job.order = orders++;
        running.add(job);
        runners++;
        choke();
        retime();
    }

    /** A piece of work that needs no slot, such as a handshake. */
    private void runAside(double workMs, Consumer<Verdict> done) {
        run(new Job("", new double[] {workMs}, Double.POSITIVE_INFINITY, null, Verdict.SERVED, true, done));
    }

    private void partEnds(Job job) {
        runners--;
        if (job.system) {
            job.stage = Stage.ENDED;
            job.reply.accept(Verdict.SERVED);
            return;
        }
        workSinceBirth += job.parts[job.part];
        job.part++;
        if (job.part < job.parts.length) {
            job.stage = Stage.CALLING;
            long of = life;
            job.calls.call(job.part - 1, ok -> {
                if (of != life || job.stage != Stage.CALLING) {
                    return;
                }
                if (ok) {
                    run(job);
                } else {
                    end(job, Verdict.ERROR);
                }
            });
            return;
        }
        end(job, job.verdict);
    }

    private void end(Job job, Verdict verdict) {
        job.stage = Stage.ENDED;
        inSlots--;
        double took = scheduler.nowMs() - job.arrivedMs;
        int at = job.loadBefore;
        meanMs[at] = meanMs[at] == 0 ? took : meanMs[at] + NEWEST * (took - meanMs[at]);
        if (verdict == Verdict.ERROR) {
            errors++;
        } else {
            served++;
        }
        refill();
        job.reply.accept(verdict);
    }

    private void refill() {
        while (!room.isEmpty() && inSlots < profile.slots()) {
            Job next = room.poll();
            if (profile.dropsExpired() && next.deadlineMs <= scheduler.nowMs()) {
                next.stage = Stage.ENDED;
                next.reply.accept(Verdict.TURNED_AWAY);
                continue;
            }
            start(next);
        }
        choke();
    }

    /** Its load has changed: whether that begins or ends a choke, now or once it has lasted. */
    private void choke() {
        ServerProfile.Choke c = profile.choke();
        boolean turns = choked ? load() <= c.until() : load() >= c.at();
        if (!turns) {
            chokeTurnsMs = Double.POSITIVE_INFINITY;
        } else if (chokeTurnsMs == Double.POSITIVE_INFINITY) {
            double wait = choked ? c.restMs() : c.overMs();
            chokeTurnsMs = scheduler.nowMs() + wait;
            if (wait > 0) {
                turnLater(chokeTurnsMs);
            } else {
                turn();
            }
        }
    }

    private void turnLater(double at) {
        long of = life;
        scheduler.at(at, () -> {
            if (of == life && at == chokeTurnsMs) {
                turn();
            }
        });
    }

    private void turn() {
        advance();
        choked = !choked;
        retime();
        chokeTurnsMs = Double.POSITIVE_INFINITY;
        double most = profile.choke().mostMs();
        if (choked && Double.isFinite(most)) {
            long of = life;
            long ofChoke = ++chokes;
            scheduler.at(scheduler.nowMs() + most, () -> {
                if (of == life && choked && ofChoke == chokes) {
                    turn();
                }
            });
        }
        choke();
    }

    // ---- Time ----

    /** Milliseconds of work a millisecond that each request in hand gets. */
    private double rate() {
        if (runners == 0 || paused || hung || dead) {
            return 0;
        }
        return speedNow() * Math.min(1, profile.cores() / (double) runners);
    }

    private double speedNow() {
        double crowding = 1
                + profile.crowd().loss() * Math.max(0, inSlots - profile.crowd().above());
        return profile.speed()
                * slow
                * (1 - stolen)
                * warmth()
                / crowding
                * (choked ? profile.choke().part() : 1);
    }

    /** The part of its speed that a cold start has left it. */
    public double warmth() {
        ServerProfile.Cold cold = profile.cold();
        double age = scheduler.nowMs() - bornMs;
        if (cold.from() >= 1 || age >= cold.ms()) {
            return 1;
        }
        double part = cold.workMs() > 0 ? workSinceBirth / cold.workMs() : age / cold.ms();
        return Math.min(1, cold.from() + (1 - cold.from()) * part);
    }

    private void advance() {
        double now = scheduler.nowMs();
        double rate = rate();
        if (rate > 0) {
            attained += rate * (now - advancedMs);
            busyMs += (now - advancedMs) * Math.min(1, runners / (double) profile.cores());
        }
        advancedMs = now;
    }

    private void retime() {
        double rate = rate();
        if (rate <= 0) {
            return;
        }
        double due = advancedMs + Math.max(0, running.peek().tag - attained) / rate;
        // An earlier wake than is wanted looks again; only a later one would be a fault.
        if (due < wakeMs) {
            wakeMs = due;
            scheduler.at(due, () -> wake(due));
        }
    }

    private void wake(double at) {
        if (at != wakeMs) {
            return;
        }
        wakeMs = Double.POSITIVE_INFINITY;
        advance();
        double rate = rate();
        while (rate > 0 && !running.isEmpty() && running.peek().tag - attained <= ROUNDING_MS * rate) {
            partEnds(running.poll());
        }
        retime();
    }

    private void change(Runnable what) {
        advance();
        what.run();
        retime();
    }

    private void schedulePause() {
        ServerProfile.Pauses p = profile.pauses();
        if (p.everyMs() <= 0) {
            return;
        }
        long of = life;
        double next = scheduler.nowMs()
                + ZigguratSampler.Exponential.of(random, p.everyMs()).sample();
        scheduler.at(next, () -> {
            if (of != life) {
                return;
            }
            change(() -> paused = true);
            scheduler.at(scheduler.nowMs() + p.ms() * 2 * random.nextDouble(), () -> {
                if (of == life) {
                    change(() -> paused = false);
                    schedulePause();
                }
            });
        });
    }

    // ---- Troubles ----

    /** Its speed is multiplied by this from now on. */
    public void slow(double factor) {
        change(() -> slow = factor);
    }

    /** It stands still, or goes on. */
    public void hang(boolean on) {
        change(() -> hung = on);
    }

    /** A neighbour takes this part of its cores. */
    public void steal(double part) {
        change(() -> stolen = Math.min(0.99, part));
    }

    /** This part of its answers can't be read. */
    public void spoil(double rate) {
        spoilRate = rate;
    }

    /** This part of its answers is lost with the connection. */
    public void reset(double rate) {
        resetRate = rate;
    }

    /** It fails this part of a class's requests; 0 ends that. */
    public void failClass(String className, double rate) {
        if (rate > 0) {
            failing.put(className, rate);
        } else {
            failing.remove(className);
        }
    }

    /** It finishes what it has and turns away what comes. */
    public void drain(boolean on) {
        draining = on;
    }

    /** The process dies: all that it had is gone, and nobody hears of it from here. */
    public void die() {
        advance();
        dead = true;
        life++;
        inSlots = 0;
        room.clear();
        running.clear();
        runners = 0;
        connections = 0;
        probesOut = 0;
        wakeMs = Double.POSITIVE_INFINITY;
    }

    /** A new process starts, cold. */
    public void start() {
        life++;
        dead = false;
        draining = false;
        hung = false;
        paused = false;
        choked = false;
        chokeTurnsMs = Double.POSITIVE_INFINITY;
        advancedMs = scheduler.nowMs();
        bornMs = advancedMs;
        workSinceBirth = 0;
        offered.clear();
        offeredSum = 0;
        offeredSquares = 0;
        schedulePause();
        if (profile.cold().from() < 1 && profile.cold().workMs() == 0) {
            warm(life);
        }
    }

    private void warm(long of) {
        scheduler.at(scheduler.nowMs() + WARMING_STEP_MS, () -> {
            if (of == life) {
                change(() -> {});
                if (warmth() < 1) {
                    warm(of);
                }
            }
        });
    }

    /** Hears that it was pushed over while cold, after it has died of it. */
    public void onPushedOver(Runnable heard) {
        pushedOver = heard;
    }

    /** What is sent to a cold server counts, refused or not: too much of it for too long brings it down. */
    private void offer(double work) {
        ServerProfile.Cold cold = profile.cold();
        if (cold.fallMs() <= 0 || dead || warmth() >= 1) {
            return;
        }
        double now = scheduler.nowMs();
        offered.add(new double[] {now, work});
        offeredSum += work;
        offeredSquares += work * work;
        while (offered.peek()[0] < now - cold.fallMs()) {
            double old = offered.poll()[1];
            offeredSum -= old;
            offeredSquares -= old * old;
        }
        double budget = cold.fallMultiple() * profile.capacity() * warmth() * cold.fallMs();
        if (offeredSum > budget + 3 * Math.sqrt(Math.max(0, offeredSquares))) {
            die();
            pushedOver.run();
        }
    }

    // ---- Connections and probes ----

    /** Takes a connection, or not; the word comes once the handshake's work is done. */
    public void connect(Consumer<Boolean> taken) {
        if (dead || connections >= profile.connections().most()) {
            taken.accept(false);
            return;
        }
        connections++;
        if (profile.connections().handshakeMs() <= 0) {
            taken.accept(true);
        } else {
            runAside(profile.connections().handshakeMs(), done -> taken.accept(true));
        }
    }

    /** A connection has ended. */
    public void disconnect() {
        connections = Math.max(0, connections - 1);
    }

    /** The connections that it holds. */
    public int connections() {
        return connections;
    }

    /** Examines it; the word that comes says whether it is well, and may never come if it hangs. */
    public void probe(Consumer<Boolean> passed) {
        if (dead) {
            passed.accept(false);
            return;
        }
        ServerProfile.Probes p = profile.probes();
        if (probesOut >= p.most()) {
            passed.accept(false);
            return;
        }
        if (p.workMs() <= 0 && !(hung && p.deep())) {
            passed.accept(!draining);
            return;
        }
        if (hung && !p.deep()) {
            passed.accept(true);
            return;
        }
        probesOut++;
        runAside(Math.max(p.workMs(), 1e-6), done -> {
            probesOut--;
            passed.accept(!draining);
        });
    }

    /** Its load report: figures taken once a period and told some time later, with an error. */
    public LoadReport report() {
        ServerProfile.Reports r = profile.reports();
        double now = scheduler.nowMs();
        if (now - takenMs >= Math.max(r.periodMs(), 1)) {
            take(now);
        }
        double[] told = now - takenMs < r.delayMs() ? takenBefore : takenNow;
        double[] noisy = new double[told.length];
        for (int i = 0; i < told.length; i++) {
            noisy[i] =
                    r.noise() <= 0 ? told[i] : Math.max(0, told[i] * (1 + r.noise() * (2 * random.nextDouble() - 1)));
        }
        return new LoadReport(noisy[0], noisy[1], noisy[2], noisy[3], noisy[4], noisy[5]);
    }

    /** The mean service time at about this load: that of the nearest load at which any is known. */
    private double meanAt(int load) {
        int at = Math.min(LOADS - 1, load);
        for (int away = 0; away < LOADS; away++) {
            if (at - away >= 0 && meanMs[at - away] > 0) {
                return meanMs[at - away];
            }
            if (at + away < LOADS && meanMs[at + away] > 0) {
                return meanMs[at + away];
            }
        }
        return 0;
    }

    private void take(double now) {
        advance();
        double span = Math.max(1, now - Math.max(takenMs, now - 60_000));
        takenBefore = takenNow;
        takenNow = new double[] {
            inSlots + room.size(),
            room.size(),
            Math.min(1, (busyMs - countsAtTaking[0]) / span),
            meanAt(load()),
            (served - countsAtTaking[1]) / span * 1000,
            (errors - countsAtTaking[2]) / span * 1000
        };
        countsAtTaking = new double[] {busyMs, served, errors};
        takenMs = now;
        retime();
    }

    // ---- What is true of it; for the rules, the reports and the policy that sees everything ----

    /** Requests in hand or waiting. */
    public int load() {
        return inSlots + room.size();
    }

    /** Whether it would take a request now and work on it. */
    public boolean well() {
        return !dead && !draining && !hung && (inSlots < profile.slots() || room.size() < profile.room());
    }

    /** Whether its process lives. */
    public boolean alive() {
        return !dead;
    }

    /** The expected time of one more request, in units of its work on a free core of speed 1. */
    public double expectedStretch() {
        double queued = Math.max(1, (load() + 1) / (double) profile.cores());
        return queued / Math.max(1e-9, speedNow());
    }

    /** Milliseconds of work that it can do in a millisecond now. */
    public double capacityNow() {
        return dead || hung || paused ? 0 : speedNow() * profile.cores();
    }

    /** The time for which all its cores were busy, in milliseconds, a part of them counting as a part. */
    public double busyMs() {
        advance();
        retime();
        return busyMs;
    }

    /** Requests that it has served or failed so far. */
    public List<Long> counts() {
        List<Long> counts = new ArrayList<>();
        counts.add(served);
        counts.add(errors);
        return counts;
    }

    /** What it is like. */
    public ServerProfile profile() {
        return profile;
    }
}
