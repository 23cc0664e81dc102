package brackenbridge.lab.fleet;

import brackenbridge.lab.fleet.check.Capacity;
import brackenbridge.lab.fleet.check.Converges;
import brackenbridge.lab.fleet.check.LevelAfter;
import brackenbridge.lab.fleet.check.NeverLost;
import brackenbridge.lab.fleet.check.NoContradiction;
import brackenbridge.lab.fleet.check.OneHolder;
import brackenbridge.lab.fleet.check.Promise;
import brackenbridge.lab.world.FileFault;
import brackenbridge.lab.world.Section;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;

/** Reads the file of a fleet of members; docs/operations/fleet-lab.md has every key. */
public final class MembersFile {
    /** The member of this project that shares state and nothing else. */
    private static final String STATE = "{java} -Xmx96m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xshare:auto -cp "
            + "{classes} brackenbridge.fleet.node.StateMember --name {name} --zone {zone} --listen {listen} "
            + "--peers {peers} --disk {disk}";

    private enum Kind {
        CONVERGES,
        NEVER_LOST,
        ONE_HOLDER,
        NO_CONTRADICTION,
        CAPACITY,
        LEVEL_AFTER
    }

    private MembersFile() {}

    /** Whether a file is one of these; one that can't be read is not. */
    public static boolean is(Path path) {
        try {
            return Toml.parse(Files.readString(path)).contains("members");
        } catch (IOException e) {
            return false;
        }
    }

    /** Reads it. */
    public static MembersPlan read(Path path) throws FileFault {
        try {
            return parse(path.toString(), Files.readString(path));
        } catch (IOException e) {
            throw new FileFault(path.toString(), "can't be read: " + e.getMessage());
        }
    }

    /** Reads the text of a file. */
    public static MembersPlan parse(String file, String text) throws FileFault {
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
        double settle = root.time("settle", 5000);
        Section members = root.section("members");
        int count = members.whole("count", Integer.MIN_VALUE, 2, 64);
        List<String> zones = members.list("zones", String.class, "a text");
        List<String> command = List.of(members.text("command", STATE).trim().split("\\s+"));
        members.end();
        MembersPlan.Load load = load(root.section("load"));
        List<Fault> faults = new ArrayList<>();
        for (Section s : root.sections("fault")) {
            faults.add(FleetFile.fault(s));
        }
        FleetPlan.Drawn drawn = root.has("random") ? FleetFile.drawn(root.section("random")) : null;
        Map<String, Promise> promises = new LinkedHashMap<>();
        for (Section s : root.sections("promise")) {
            Kind kind = s.choice("kind", Kind.class, null);
            if (promises.put(kind.name().toLowerCase(java.util.Locale.ROOT), promise(kind, s)) != null) {
                throw s.fault("kind", "is there twice");
            }
            s.end();
        }
        if (promises.isEmpty()) {
            throw root.fault("promise", "is missing: nothing would be checked");
        }
        root.end();
        return new MembersPlan(
                name,
                about,
                count,
                zones.isEmpty() ? List.of("a") : zones,
                command,
                load,
                settle,
                faults,
                drawn,
                promises);
    }

    private static MembersPlan.Load load(Section s) throws FileFault {
        MembersPlan.Load load = new MembersPlan.Load(
                s.time("length", 20_000),
                s.number("writes", 10, 0, 1000),
                s.whole("keys", 8, 1, 10_000),
                s.number("adds", 0, 0, 1000),
                s.whole("sums", 2, 1, 100),
                s.number("proposals", 0, 0, 100),
                s.has("role") ? s.text("role", null) : "",
                s.list("lines", String.class, "a text"));
        s.end();
        return load;
    }

    private static Promise promise(Kind kind, Section s) throws FileFault {
        return switch (kind) {
            case CONVERGES -> new Converges(s.time("bound", Double.NaN));
            case LEVEL_AFTER -> new LevelAfter(s.time("bound", Double.NaN), s.time("firm", 1000));
            case NEVER_LOST -> new NeverLost(s.time("firm", 1000));
            case ONE_HOLDER -> new OneHolder();
            case NO_CONTRADICTION -> new NoContradiction();
            case CAPACITY -> {
                Map<String, Long> pools = new LinkedHashMap<>();
                for (String pool : s.list("pools", String.class, "a text such as 'pool=10'")) {
                    int is = pool.lastIndexOf('=');
                    if (is < 1 || !pool.substring(is + 1).matches("[0-9]{1,9}")) {
                        throw s.fault("pools", "'" + pool + "' is not a pool with its connections, 'pool=10'");
                    }
                    pools.put(pool.substring(0, is), Long.parseLong(pool.substring(is + 1)));
                }
                yield new Capacity(pools);
            }
        };
    }
}
