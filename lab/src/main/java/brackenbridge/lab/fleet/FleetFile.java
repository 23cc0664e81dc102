package brackenbridge.lab.fleet;

import brackenbridge.lab.policy.Policies;
import brackenbridge.lab.world.Experiment;
import brackenbridge.lab.world.ExperimentFile;
import brackenbridge.lab.world.FileFault;
import brackenbridge.lab.world.Section;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;

/** Reads a fleet's file; docs/operations/fleet-lab.md has every key. */
public final class FleetFile {
    private FleetFile() {}

    /** Reads it, and the experiment that it names. */
    public static FleetPlan read(Path path) throws FileFault {
        try {
            return parse(
                    path.toString(),
                    Files.readString(path),
                    path.toAbsolutePath().getParent());
        } catch (IOException e) {
            throw new FileFault(path.toString(), "can't be read: " + e.getMessage());
        }
    }

    /** Reads the text of a file; paths in it start at the folder. */
    public static FleetPlan parse(String file, String text, Path folder) throws FileFault {
        TomlParseResult toml = Toml.parse(text);
        for (TomlParseError e : toml.errors()) {
            throw new FileFault(
                    file,
                    e.position().line(),
                    e.position().column(),
                    e.getMessage().replaceAll("\\s+", " "));
        }
        Section root = new Section(file, toml, "", TomlPosition.positionAt(1, 1));
        String name = root.text("name", null);
        String about = root.text("about", "-");
        Experiment world =
                ExperimentFile.read(folder.resolve(root.text("world", null)).normalize(), Policies.names());
        double least = root.number("served_least", 0, 0, 1);
        List<Fault> faults = new ArrayList<>();
        for (Section s : root.sections("fault")) {
            Fault f = fault(s);
            if (f.blow() != null && f.blow().ofDisk()) {
                throw s.fault("kind", "is for members, which have a disk: see [members]");
            }
            faults.add(f);
        }
        FleetPlan.Drawn drawn = root.has("random") ? drawn(root.section("random")) : null;
        if (drawn != null && drawn.blows().stream().anyMatch(Fault.Blow::ofDisk)) {
            throw root.section("random").fault("blows", "has one for members, which have a disk: see [members]");
        }
        root.end();
        return new FleetPlan(name, about, world.withPolicies(List.of(Policies.MODULE)), faults, drawn, least);
    }

    /** One fault. */
    static Fault fault(Section s) throws FileFault {
        double at = s.time("at", Double.NaN);
        double lasts = s.time("for", Double.NaN);
        List<List<String>> groups = new ArrayList<>();
        for (TomlArray g : s.list("groups", TomlArray.class, "a list of names")) {
            List<String> names = new ArrayList<>();
            for (Object o : g.toList()) {
                if (!(o instanceof String n)) {
                    throw s.fault("groups", "holds what is not a list of names");
                }
                names.add(n);
            }
            groups.add(names);
        }
        int given = (s.has("links") ? 1 : 0) + (s.has("process") ? 1 : 0) + (groups.isEmpty() ? 0 : 1);
        if (given != 1) {
            throw s.fault(null, "give one of links, process and groups");
        }
        Fault f;
        if (s.has("process")) {
            f = new Fault(
                    null, s.choice("kind", Fault.Blow.class, null), s.text("process", null), List.of(), at, lasts);
        } else {
            LinkFault.Kind kind =
                    s.choice("kind", LinkFault.Kind.class, groups.isEmpty() ? null : LinkFault.Kind.BLACK_HOLE);
            LinkFault link = new LinkFault(kind, s.number("amount", kind.usual(), 0, 1e9), s.time("jitter", 0));
            f = new Fault(link, null, groups.isEmpty() ? s.text("links", null) : null, groups, at, lasts);
        }
        s.end();
        return f;
    }

    /** What is drawn by the seed. */
    static FleetPlan.Drawn drawn(Section s) throws FileFault {
        List<LinkFault.Kind> kinds = names(s, "kinds", LinkFault.Kind.class);
        List<Fault.Blow> blows = names(s, "blows", Fault.Blow.class);
        FleetPlan.Drawn d = new FleetPlan.Drawn(
                s.whole("faults", 5, 1, 1000),
                s.text("links", "*"),
                kinds,
                s.text("processes", "*"),
                blows,
                s.time("from", 5000),
                s.time("until", 20_000),
                s.time("longest", 3000));
        if (kinds.isEmpty() && blows.isEmpty()) {
            throw s.fault(null, "give kinds or blows to draw from");
        }
        if (d.untilMs() < d.fromMs()) {
            throw s.fault("until", "is before from");
        }
        s.end();
        return d;
    }

    private static <E extends Enum<E>> List<E> names(Section s, String key, Class<E> of) throws FileFault {
        List<E> all = new ArrayList<>();
        for (String name : s.list(key, String.class, "a text")) {
            try {
                all.add(Enum.valueOf(of, name.toUpperCase(Locale.ROOT)));
            } catch (IllegalArgumentException e) {
                throw s.fault(key, "'" + name + "' is unknown");
            }
        }
        return all;
    }
}
