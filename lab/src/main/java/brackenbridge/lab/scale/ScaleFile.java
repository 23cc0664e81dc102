package brackenbridge.lab.scale;

import brackenbridge.lab.world.FileFault;
import brackenbridge.lab.world.Section;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;

/** Reads the file of a scale test; docs/operations/scale.md has every key. */
public final class ScaleFile {
    private static final int MAX_NODES = 5000;
    private static final int MAX_MACHINES = 15;
    private static final int MAX_PROCESSES = 200;
    private static final int MAX_SERVICES = 1000;
    private static final int MAX_BYTES = 64 * 1024;

    private ScaleFile() {}

    /** Reads it. */
    public static ScalePlan read(Path path) throws FileFault {
        try {
            return parse(path.toString(), Files.readString(path));
        } catch (IOException e) {
            throw new FileFault(path.toString(), "can't be read: " + e.getMessage());
        }
    }

    /** Reads the text of a file. */
    public static ScalePlan parse(String file, String text) throws FileFault {
        TomlParseResult toml = Toml.parse(text);
        for (TomlParseError error : toml.errors()) {
            throw new FileFault(
                    file,
                    error.position().line(),
                    error.position().column(),
                    error.getMessage().replaceAll("\\s+", " "));
        }
        Section root = new Section(file, toml, "", TomlPosition.positionAt(1, 1));
        String name = root.text("name", null);
        Section fleet = root.section("fleet");
        int nodes = fleet.whole("nodes", Integer.MIN_VALUE, 1, MAX_NODES);
        int services = fleet.whole("services", Integer.MIN_VALUE, 1, MAX_SERVICES);
        int calls = fleet.whole("calls", 8, 0, 200);
        int tiers = fleet.whole("tiers", 4, 1, 20);
        int perProcess = fleet.whole("nodes_per_process", 100, 1, 1000);
        double startMs = within(fleet, "start", fleet.time("start", 5000), 100, 600_000);
        double restMs = within(fleet, "rest", fleet.time("rest", 10_000), 1000, 600_000);
        fleet.end();
        List<ScalePlan.Region> regions = regions(root);
        ScalePlan.Changes changes = changes(root.section("changes"));
        ScalePlan.Bounds bounds = bounds(root.section("bounds"));
        List<ScaleFault> faults = faults(root, regions, changes);
        root.end();
        ScalePlan plan = new ScalePlan(
                name, nodes, services, calls, tiers, regions, perProcess, startMs, restMs, changes, bounds, faults);
        if (plan.machines() > MAX_MACHINES) {
            throw root.fault("region", "name " + plan.machines() + " control machines, at most " + MAX_MACHINES);
        }
        if (plan.machines() + nodes / perProcess + regions.size() + 1 > MAX_PROCESSES) {
            throw fleet.fault("nodes_per_process", "makes more than " + MAX_PROCESSES + " processes");
        }
        return plan;
    }

    private static double within(Section section, String key, double ms, double leastMs, double mostMs)
            throws FileFault {
        if (!(ms >= leastMs && ms <= mostMs)) {
            throw section.fault(key, "is not within " + leastMs / 1000 + " to " + mostMs / 1000 + " s");
        }
        return ms;
    }

    private static List<ScalePlan.Region> regions(Section root) throws FileFault {
        List<ScalePlan.Region> regions = new ArrayList<>();
        for (Section section : root.sections("region")) {
            ScalePlan.Region region = new ScalePlan.Region(
                    section.text("name", null),
                    section.whole("zones", 1, 1, 100),
                    section.whole("machines", 1, 0, MAX_MACHINES));
            if (!region.name().matches("[A-Za-z0-9][A-Za-z0-9._-]{0,30}")
                    || regions.stream().anyMatch(other -> other.name().equals(region.name()))) {
                throw section.fault("name", "'" + region.name() + "' is no name, or is there twice");
            }
            section.end();
            regions.add(region);
        }
        if (regions.stream().mapToInt(ScalePlan.Region::machines).sum() < 1) {
            throw root.fault("region", "is missing, or none has a control machine");
        }
        return regions;
    }

    private static ScalePlan.Changes changes(Section section) throws FileFault {
        ScalePlan.Changes changes = new ScalePlan.Changes(
                within(section, "length", section.time("length", 20_000), 1000, 3_600_000),
                section.number("per_second", 1, 0.01, 50),
                section.whole("bytes", 1000, 64, MAX_BYTES),
                section.number("settings", 0.1, 0, 1));
        section.end();
        return changes;
    }

    private static ScalePlan.Bounds bounds(Section section) throws FileFault {
        ScalePlan.Bounds bounds = new ScalePlan.Bounds(
                section.time("in_force", 13_000),
                section.number("node_core_percent", 1.4, 0, 100),
                section.number("node_memory_mb", 256, 1, 100_000),
                section.number("node_kb_per_second", 29, 0, 1e6),
                section.number("machine_core_percent", 100, 0, 10_000));
        section.end();
        return bounds;
    }

    private static List<ScaleFault> faults(Section root, List<ScalePlan.Region> regions, ScalePlan.Changes changes)
            throws FileFault {
        List<ScaleFault> faults = new ArrayList<>();
        for (Section section : root.sections("fault")) {
            ScaleFault.Kind kind = section.choice("kind", ScaleFault.Kind.class, null);
            boolean part = kind == ScaleFault.Kind.SLOW || kind == ScaleFault.Kind.RESTART;
            double amount = part
                    ? section.number("part", 0.1, 0.001, 1)
                    : kind == ScaleFault.Kind.KILL ? section.whole("machines", 1, 1, MAX_MACHINES) : 1;
            String region = section.text("region", "-");
            if (!region.equals("-")
                    && regions.stream().noneMatch(known -> known.name().equals(region))) {
                throw section.fault("region", "'" + region + "' is no region");
            }
            ScaleFault fault = new ScaleFault(
                    kind,
                    amount,
                    region.equals("-") ? "" : region,
                    section.time("at", Double.NaN),
                    within(section, "for", section.time("for", 5000), 100, 3_600_000));
            if (fault.atMs() + fault.forMs() > changes.lengthMs()) {
                throw section.fault("at", "the fault would outlast the changes");
            }
            section.end();
            faults.add(fault);
        }
        faults.sort(Comparator.comparingDouble(ScaleFault::atMs));
        return faults;
    }
}
