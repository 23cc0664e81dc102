package brackenbridge.lab.fleet;

import java.util.List;
import java.util.Locale;

/**
 * Something that goes wrong between or with processes, at a time and for a time.
 *
 * @param link what is wrong with links; null if it strikes processes
 * @param blow what strikes processes; null if it is with links
 * @param on which links or processes, by a name with {@code *} for any letters; null where groups are parted
 * @param groups processes that can't reach those of other groups; empty unless they are parted
 * @param atMs when, from the beginning of the load
 * @param forMs for how long
 */
public record Fault(LinkFault link, Blow blow, String on, List<List<String>> groups, double atMs, double forMs) {
    /** What strikes processes. */
    public enum Blow {
        /** Killed; started again after the time. */
        KILL,
        /** Told to stop; started again after the time. */
        STOP,
        /** Stands still for the time. */
        STALL,
        /** Killed; started again after the time with an empty disk. */
        WIPE,
        /** Its disk is copied; after the time it is killed and started again with that copy. */
        AGED,
        /** Killed, as another is; started again after the time with a copy of the other's disk. */
        SWAPPED,
        /** Killed; started again after the time with the end of a file cut off. */
        TORN,
        /** Killed; started again after the time with one bit of a file turned. */
        FLIPPED,
        /** A second process of its name runs for the time beside it, with a copy of its disk. */
        TWIN;

        /** Whether it needs a process with a disk: {@link MembersPlan} has them. */
        boolean ofDisk() {
            return ordinal() > STALL.ordinal();
        }
    }

    /** Keeps its own copies. */
    public Fault {
        groups = groups.stream().map(List::copyOf).toList();
    }

    /** Whether a link between these is struck. */
    public boolean strikes(String from, String to) {
        if (link == null) {
            return false;
        }
        if (groups.isEmpty()) {
            return like(on, from + ">" + to);
        }
        int a = group(from);
        int b = group(to);
        return a >= 0 && b >= 0 && a != b;
    }

    /** Whether this process is struck. */
    public boolean strikes(String process) {
        return blow != null && like(on, process);
    }

    private int group(String name) {
        for (int i = 0; i < groups.size(); i++) {
            if (groups.get(i).stream().anyMatch(g -> like(g, name))) {
                return i;
            }
        }
        return -1;
    }

    private static boolean like(String pattern, String name) {
        String[] parts = pattern.split("\\*", -1);
        int at = 0;
        for (int i = 0; i < parts.length; i++) {
            int found = i == 0 ? name.startsWith(parts[0]) ? 0 : -1 : name.indexOf(parts[i], at);
            if (found < 0) {
                return false;
            }
            at = found + parts[i].length();
        }
        return at == name.length()
                || parts[parts.length - 1].isEmpty()
                || parts.length > 1 && name.endsWith(parts[parts.length - 1]);
    }

    /** One line on it. */
    public String text() {
        String what = link == null ? blow.name() : link.kind().name();
        String how = link == null || link.amount() == 0 ? "" : String.format(Locale.ROOT, " %.0f", link.amount());
        String where = groups.isEmpty() ? "on " + on : "between " + groups;
        return String.format(
                Locale.ROOT, "%s%s %s at %.0f ms for %.0f ms", what.toLowerCase(Locale.ROOT), how, where, atMs, forMs);
    }
}
