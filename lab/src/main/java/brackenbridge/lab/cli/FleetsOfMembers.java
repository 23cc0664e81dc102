package brackenbridge.lab.cli;

import brackenbridge.lab.fleet.Fault;
import brackenbridge.lab.fleet.MembersPlan;
import brackenbridge.lab.fleet.MembersRunner;
import brackenbridge.lab.fleet.Shrinking;
import brackenbridge.lab.fleet.check.Entry;
import brackenbridge.lab.fleet.check.Promise;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeMap;

/** {@code lab fleet} with a file of members: plays the seeds, tells of each, and sums up in one last line. */
final class FleetsOfMembers {
    private static final int LINES_TOLD = 60;
    /** What members say all the time. */
    private static final Set<String> USUAL =
            Set.of("tries", "wrote", "saw", "tries_add", "added", "acts", "holds", "level");

    private final MembersPlan plan;
    private final Path folder;
    private double longest;
    private double returns;
    private double level;
    private double levelAfter;
    private double lost;
    private double over;

    FleetsOfMembers(MembersPlan plan, Path folder) {
        this.plan = plan;
        this.folder = folder;
    }

    int run(long seed, int seeds, int shrink) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        int status = 0;
        for (long s = seed; s < seed + seeds && status == 0; s++) {
            MembersRunner.Outcome o = MembersRunner.play(plan, s, null, folder.resolve("seed-" + s));
            MembersRunner.write(o.log(), folder.resolve("seed-" + s + ".jsonl"));
            tell(s, o);
            if (o.first() != null) {
                breach(s, o);
                shorter(s, o, shrink);
                status = LabCommand.BROKEN;
            }
        }
        sum();
        return status;
    }

    private void tell(long seed, MembersRunner.Outcome o) {
        StringBuilder line = new StringBuilder(String.format(
                Locale.ROOT,
                "seed %d: %d faults, %d lines, %.1f kB/s on all links",
                seed,
                o.faults().size(),
                o.log().size(),
                o.bytesPerSecond() / 1000));
        o.findings().forEach((name, f) -> {
            line.append("; ").append(name).append(f.breaches().isEmpty() ? "" : " BROKEN");
            new TreeMap<>(f.figures())
                    .forEach((k, v) -> line.append(String.format(
                            Locale.ROOT,
                            " %s %s",
                            k,
                            v == Math.rint(v)
                                    ? String.format(Locale.ROOT, "%.0f", v)
                                    : String.format(Locale.ROOT, "%.1f", v))));
        });
        System.out.println(line);
        longest = Math.max(longest, figure(o, "converges", "longest_ms"));
        returns += figure(o, "level_after", "returns");
        level += figure(o, "level_after", "level");
        levelAfter = Math.max(levelAfter, figure(o, "level_after", "longest_ms"));
        lost += figure(o, "never_lost", "lost");
        over = Math.max(over, figure(o, "capacity", "over"));
    }

    private static double figure(MembersRunner.Outcome o, String promise, String name) {
        Promise.Finding f = o.findings().get(promise);
        return f == null ? 0 : f.figures().getOrDefault(name, 0.0);
    }

    /** The first breach of each promise, and the lines that led to the first of all. */
    private static void breach(long seed, MembersRunner.Outcome o) {
        o.findings()
                .forEach((name, f) -> f.breaches().stream()
                        .limit(3)
                        .forEach(b -> System.out.printf(
                                Locale.ROOT, "seed %d: %s broken at %.0f ms: %s%n", seed, name, b.t(), b.text())));
        List<Entry> before = new ArrayList<>(o.log().stream()
                .filter(e -> e.t() <= o.first().t() && !USUAL.contains(e.what()))
                .toList());
        before.subList(Math.max(0, before.size() - LINES_TOLD), before.size())
                .forEach(e -> System.out.println("  " + e.line()));
    }

    private void shorter(long s, MembersRunner.Outcome o, int shrink) throws IOException, InterruptedException {
        if (shrink == 0 || o.faults().size() < 2) {
            return;
        }
        List<Exception> failed = new ArrayList<>();
        List<Fault> least = Shrinking.shrink(
                o.faults(),
                faults -> {
                    try {
                        return MembersRunner.play(plan, s, faults, folder.resolve("shrinking"))
                                        .first()
                                != null;
                    } catch (IOException e) {
                        failed.add(e);
                        return false;
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                        return false;
                    }
                },
                shrink);
        System.out.println(
                "fails still with " + least.size() + " of " + o.faults().size() + " faults:");
        least.forEach(f -> System.out.println("  " + f.text()));
        failed.forEach(f -> System.out.println("  a shorter one could not be played: " + f.getMessage()));
    }

    private void sum() {
        if (plan.promises().containsKey("capacity")) {
            System.out.printf(Locale.ROOT, "shares: pool capacity passed by %.0f connections%n", over);
        }
        if (plan.promises().get("converges") instanceof brackenbridge.lab.fleet.check.Converges c) {
            System.out.printf(
                    Locale.ROOT,
                    "replication: longest difference %.0f ms of %.0f ms, %.0f of %.0f returns "
                            + "level after at most %.1f s, %.0f acknowledged records lost%n",
                    longest,
                    c.boundMs(),
                    level,
                    returns,
                    levelAfter / 1000,
                    lost);
        }
    }
}
