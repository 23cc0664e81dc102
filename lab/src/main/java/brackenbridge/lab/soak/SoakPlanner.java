package brackenbridge.lab.soak;

import brackenbridge.lab.policy.Policies;
import brackenbridge.lab.random.Streams;
import brackenbridge.lab.soak.SoakStep.Action;
import brackenbridge.lab.world.ExperimentFile;
import brackenbridge.lab.world.FileFault;
import brackenbridge.lab.world.Trouble;
import brackenbridge.lab.world.World;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.apache.commons.rng.UniformRandomProvider;

/** Draws a play from its seed. */
public final class SoakPlanner {
    private static final String FILE = "soak.toml";
    private static final double[] LONGEST_DEADLINES_MS = {1000, 2000, 4000};
    private static final double USUAL_DRAIN_GRACE_MS = 500;
    private static final double[] DRAIN_GRACES_MS = {0, 100, 300, 500};
    private static final double[] IDLE_CLOSES_MS = {400, 3000, 30_000};
    private static final double MS_PER_S = 1000;
    private static final Pattern BRIEF_DEADLINES = Pattern.compile("\\b(aim|deadline) = \"[^\"]*\"");
    private static final double BRIEF_AIM_MS = 50;
    private static final double BRIEF_DEADLINE_MS = 100;

    private static final int USUAL_DESCRIPTORS = 256;
    private static final int CROWDED_DESCRIPTORS = 128;
    private static final int CROWD = 160;
    private static final int LONG_BODY_CLIENTS = 4;
    /** When the first thing is done to the node. */
    private static final double FIRST_STEP_MS = 1200;

    private static final int MAX_STALL_MS = 150;
    private static final int MIN_STALL_MS = 30;

    private final long seed;
    private final double seconds;
    private final SoakKind kind;
    private final UniformRandomProvider random;
    private final List<SoakStep> steps = new ArrayList<>();
    private final List<Trouble> troubles = new ArrayList<>();

    private SoakPlanner(long seed, double seconds) {
        this.seed = seed;
        this.seconds = seconds;
        this.kind = SoakKind.of(seed);
        this.random = new Streams(seed).take();
    }

    /** The play of a seed, whose clients begin requests for so many seconds. */
    public static SoakPlan plan(long seed, double seconds) throws FileFault, IOException {
        return new SoakPlanner(seed, seconds).plan();
    }

    private SoakPlan plan() throws FileFault, IOException {
        World world = world();
        everyPlay();
        switch (kind) {
            case RELOADS -> reloads(FIRST_STEP_MS, 8);
            case RESTARTS -> restarts();
            case REPLACEMENTS -> replacements();
            case CROWD -> crowd();
            case DISCOVERY -> discovery();
            case SERVERS -> servers();
            case STALLS -> stalls();
        }
        Collections.sort(steps);
        return new SoakPlan(
                seed,
                kind,
                world.troubledBy(troubles),
                kind == SoakKind.CROWD ? CROWDED_DESCRIPTORS : USUAL_DESCRIPTORS,
                crowdSize(),
                steps,
                clients(),
                kind == SoakKind.CROWD ? 0 : LONG_BODY_CLIENTS);
    }

    private World world() throws FileFault, IOException {
        String text = text().replace("${length}", time(seconds * MS_PER_S))
                .replace("${longest}", time(oneOf(LONGEST_DEADLINES_MS)))
                .replace("${idle_close}", time(oneOf(IDLE_CLOSES_MS)))
                .replace("${drain_grace}", time(drainGraceMs()));
        boolean brief = kind == SoakKind.RESTARTS && random.nextInt(2) == 0;
        text = brief ? BRIEF_DEADLINES.matcher(text).replaceAll(SoakPlanner::briefDeadline) : text;
        return ExperimentFile.parse(FILE, text, Path.of("."), Policies.names()).world();
    }

    /** No deadline is over 0.1 s, so that a stop may end in a kill after 0.8 s. */
    private static String briefDeadline(MatchResult deadline) {
        return deadline.group(1) + " = " + time("aim".equals(deadline.group(1)) ? BRIEF_AIM_MS : BRIEF_DEADLINE_MS);
    }

    private double drainGraceMs() {
        return kind == SoakKind.DISCOVERY ? oneOf(DRAIN_GRACES_MS) : USUAL_DRAIN_GRACE_MS;
    }

    /** Idle clients; they come beside half of the outages of discovery, too. */
    private int crowdSize() {
        boolean crowded = kind == SoakKind.CROWD || kind == SoakKind.DISCOVERY && random.nextInt(2) == 0;
        return crowded ? CROWD : 0;
    }

    private static String text() throws IOException {
        try (InputStream in = SoakPlanner.class.getResourceAsStream("/brackenbridge/lab/" + FILE)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static String time(double ms) {
        return String.format(Locale.ROOT, "\"%.0fms\"", ms);
    }

    private double oneOf(double[] values) {
        return values[random.nextInt(values.length)];
    }

    private double between(double least, double most) {
        return random.nextDouble(least, most);
    }

    private void step(double atMs, Action action) {
        step(atMs, action, 0);
    }

    private void step(double atMs, Action action, double amountMs) {
        steps.add(new SoakStep(atMs, action, amountMs));
    }

    private void trouble(Trouble.Kind troubleKind, double atMs, double forMs, int count, double amount) {
        troubles.add(new Trouble(troubleKind, atMs, forMs, 0, count, amount, null, 0));
    }

    /** One server drains, one resets some requests, one answers without lengths: in each play. */
    private void everyPlay() {
        trouble(Trouble.Kind.DRAIN, between(500, 4000), Double.POSITIVE_INFINITY, 1, 0);
        trouble(Trouble.Kind.RESET, 0, Double.POSITIVE_INFINITY, 1, 0.03);
        trouble(Trouble.Kind.NO_LENGTH, 0, Double.POSITIVE_INFINITY, 1, 0.2);
    }

    private void reloads(double fromMs, int count) {
        Action[] actions = {Action.RELOAD, Action.RELOAD_INVALID, Action.RELOAD_TRUNCATED, Action.RELOAD_EMPTY};
        double atMs = fromMs;
        for (int i = 0; i < count; i++) {
            step(atMs, random.nextInt(2) == 0 ? Action.RELOAD : actions[random.nextInt(actions.length)]);
            // Inside the grace of the one before, or after it.
            atMs += random.nextInt(2) == 0 ? between(5, 60) : between(300, 1500);
        }
    }

    /** A restart in the middle of a reload, told twice, with a reload after it; returns when it begins. */
    private double restart(double fromMs) {
        step(fromMs, Action.RELOAD);
        double stopMs = fromMs + between(0, 250);
        step(stopMs, Action.RESTART, between(50, 400));
        step(stopMs + between(10, 1200), Action.TERMINATE_AGAIN);
        step(stopMs + between(10, 1200), Action.RELOAD_STOPPING);
        return stopMs;
    }

    private void restarts() {
        restart(between(FIRST_STEP_MS, 2500));
    }

    private void replacements() {
        double atMs = between(FIRST_STEP_MS, 2000);
        if (random.nextInt(2) == 0) {
            step(atMs, Action.DRAIN_NODE);
            atMs += between(50, 1200);
        }
        step(atMs, Action.REPLACE);
        step(atMs + between(100, 2500), random.nextInt(2) == 0 ? Action.RETURN_NODE : Action.RELOAD);
        step(atMs + 1, Action.REPLACE_AGAIN, between(0, 1500));
        step(atMs + between(1500, 4000), Action.DRAIN_NODE);
        step(atMs + between(4000, 5000), Action.RETURN_NODE);
    }

    private void crowd() {
        if (random.nextInt(2) == 0) {
            step(between(2500, 3500), Action.REPLACE);
        } else {
            restart(between(2500, 3500));
        }
    }

    private void discovery() {
        double silentMs = between(500, 2000);
        double forMs = between(500, 4000);
        trouble(Trouble.Kind.DISCOVERY_SILENT, silentMs, forMs, 1, 0);
        trouble(Trouble.Kind.DRAIN, silentMs + forMs - between(0, 300), Double.POSITIVE_INFINITY, 1, 0);
        trouble(Trouble.Kind.DRAIN, silentMs + forMs + between(0, 500), Double.POSITIVE_INFINITY, 1, 0);
        trouble(Trouble.Kind.DISCOVERY_ENDS_WATCH, silentMs + forMs, Double.POSITIVE_INFINITY, 1, 0);
        trouble(Trouble.Kind.DISCOVERY_OVERLOADED, silentMs + forMs, between(500, 2000), 1, 150);
        trouble(Trouble.Kind.REPLACE, silentMs + between(0, forMs), Double.POSITIVE_INFINITY, 1, 0);
        reloads(silentMs, 3);
        if (random.nextInt(2) == 0) {
            restart(silentMs + between(0, forMs));
        }
    }

    private void servers() {
        double stopMs = restart(between(FIRST_STEP_MS, 2500));
        trouble(Trouble.Kind.HANG, stopMs - between(0, 300), between(1000, 5000), 3, 0);
        trouble(Trouble.Kind.RESET, FIRST_STEP_MS, between(1000, 4000), 1, 0.3);
        trouble(Trouble.Kind.STALE, 0, Double.POSITIVE_INFINITY, 1, 50);
        trouble(Trouble.Kind.CRASH, stopMs + between(0, 2000), 2000, 1, 0);
    }

    private void stalls() {
        for (double atMs = 700; atMs < seconds * MS_PER_S; atMs += between(150, 900)) {
            step(atMs, Action.STALL, between(MIN_STALL_MS, MAX_STALL_MS));
        }
        trouble(Trouble.Kind.DRAIN, between(1000, 3000), Double.POSITIVE_INFINITY, 1, 0);
        trouble(Trouble.Kind.DRAIN, between(2000, 6000), Double.POSITIVE_INFINITY, 1, 0);
        if (random.nextInt(2) == 0) {
            step(between(FIRST_STEP_MS, 3000), Action.REPLACE);
        }
        reloads(between(FIRST_STEP_MS, 3000), 2);
    }

    private List<ClientHabit> clients() {
        List<ClientHabit> all = new ArrayList<>();
        all.addAll(Collections.nCopies(12, ClientHabit.STEADY));
        all.addAll(Collections.nCopies(4, ClientHabit.PIPELINING));
        all.addAll(Collections.nCopies(4, ClientHabit.IN_PIECES));
        all.addAll(Collections.nCopies(3, ClientHabit.WITH_BODY));
        all.addAll(Collections.nCopies(3, ClientHabit.LEAVING));
        all.addAll(Collections.nCopies(2, ClientHabit.STALLING));
        all.addAll(Collections.nCopies(2, ClientHabit.RESTING));
        all.addAll(Collections.nCopies(2, ClientHabit.RECONNECTING));
        return all;
    }
}
