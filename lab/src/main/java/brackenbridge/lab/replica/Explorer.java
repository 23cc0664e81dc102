package brackenbridge.lab.replica;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Goes through every history of a model, shortest first, until none is left or a breach is found. */
public final class Explorer {
    /**
     * What was found.
     *
     * @param states different moments
     * @param steps steps between them that were taken
     * @param depth steps of the longest history
     * @param breach what was wrong; null if nothing was
     * @param history the steps that led to it
     * @param whole whether all histories were gone through
     */
    public record Found(long states, long steps, int depth, String breach, List<String> history, boolean whole) {}

    private record From(String key, String by) {}

    private record Open(ReplicationModel.State state, String key, int depth) {}

    private Explorer() {}

    /** Goes through histories until so many moments were seen. */
    public static Found explore(ReplicationModel model, long most) {
        Map<String, From> seen = new HashMap<>();
        ArrayDeque<Open> open = new ArrayDeque<>();
        ReplicationModel.State first = model.first();
        seen.put(first.key(), new From(null, ""));
        open.add(new Open(first, first.key(), 0));
        long steps = 0;
        int depth = 0;
        while (!open.isEmpty()) {
            Open o = open.poll();
            depth = o.depth();
            String breach = model.breach(o.state());
            if (breach != null) {
                return new Found(seen.size(), steps, depth, breach, history(seen, o.key()), false);
            }
            if (seen.size() >= most) {
                return new Found(seen.size(), steps, depth, null, List.of(), false);
            }
            for (Map.Entry<String, ReplicationModel.State> e :
                    model.next(o.state()).entrySet()) {
                steps++;
                String key = e.getValue().key();
                if (seen.putIfAbsent(key, new From(o.key(), e.getKey())) == null) {
                    open.add(new Open(e.getValue(), key, depth + 1));
                }
            }
        }
        return new Found(seen.size(), steps, depth, null, List.of(), true);
    }

    private static List<String> history(Map<String, From> seen, String last) {
        List<String> lines = new ArrayList<>();
        for (From f = seen.get(last); f.key() != null; f = seen.get(f.key())) {
            lines.add(0, f.by());
        }
        return lines;
    }
}
