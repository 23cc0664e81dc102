package brackenbridge.wire;

import brackenbridge.core.balancing.Endpoint;
import brackenbridge.core.balancing.EndpointState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The endpoint lists that the simulator has sent, by number; events refer to a list by its number. */
final class EndpointLists {
    private static final int MAX_LISTS = 16;
    /** Guards memory against a count that is much larger than the list. */
    private static final int MAX_INITIAL_CAPACITY = 1 << 16;

    private static final long NO_CELL = -1;

    private final List<List<Endpoint>> lists = new ArrayList<>(Collections.nCopies(MAX_LISTS, null));

    /** Reads a list, from the fields after the name of its message, and replaces the earlier list of this number. */
    void readList(WireReader reader) throws IOException {
        int id = readListId(reader);
        long count = reader.readNumber("rowsIn");
        reader.requireEndOfMessage();
        if (count < 0) {
            throw reader.error("rowsIn", "negative count: " + count);
        }
        List<Endpoint> entries = new ArrayList<>((int) Math.min(count, MAX_INITIAL_CAPACITY));
        for (long i = 0; i < count; i++) {
            if (!reader.nextLine()) {
                throw reader.error(null, "input ends inside a list");
            }
            if (!reader.readText("message").equals("M")) {
                throw reader.error("message", "list of " + count + " entries has only " + i);
            }
            entries.add(readEndpoint(reader));
        }
        lists.set(id, List.copyOf(entries));
    }

    /** Returns the list whose number is the next field. */
    List<Endpoint> readReference(WireReader reader) {
        int id = readListId(reader);
        List<Endpoint> entries = lists.get(id);
        if (entries == null) {
            throw reader.error("setId", "list " + id + " was never given");
        }
        return entries;
    }

    private static int readListId(WireReader reader) {
        long id = reader.readNumber("setId");
        if (id < 0 || id >= MAX_LISTS) {
            throw reader.error("setId", "outside 0 to 15: " + id);
        }
        return (int) id;
    }

    private static Endpoint readEndpoint(WireReader reader) {
        long cell = reader.readOptionalNumber("cell", NO_CELL);
        String zone = reader.readText("zone");
        reader.readText("type");
        double weight = reader.readDecimal("weight");
        long startedAt = reader.readOptionalNumber("launched", 0);
        EndpointState state = readState(reader);
        long endpoint = reader.readNumber("endpoint");
        reader.requireEndOfMessage();
        return new Endpoint(endpoint, cell, zone, weight, startedAt, state);
    }

    private static EndpointState readState(WireReader reader) {
        String condition = reader.readText("condition");
        return switch (condition) {
            case "up" -> EndpointState.UP;
            case "draining" -> EndpointState.DRAINING;
            case "removed" -> EndpointState.REMOVED;
            default -> throw reader.error("condition", "unknown: '" + condition + "'");
        };
    }
}
