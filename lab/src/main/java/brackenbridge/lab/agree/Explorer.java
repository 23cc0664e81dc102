package brackenbridge.lab.agree;

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
     * @param reached moments at which all nodes act by the proposed generation
     * @param breach what was wrong; null if nothing was
     * @param history the steps that led to it
     * @param whole whether all histories were gone through
     */
    public record Found(
            long states, long steps, int depth, long reached, String breach, List<String> history, boolean whole) {}

    private record From(AgreementModel.State state, String by) {}

    private Explorer() {}

    /** Goes through histories until so many moments were seen. */
    public static Found explore(AgreementModel model, long most) {
        AgreementModel.State first = model.first();
        Map<AgreementModel.State, From> seen = new HashMap<>();
        ArrayDeque<AgreementModel.State> open = new ArrayDeque<>();
        ArrayDeque<Integer> depths = new ArrayDeque<>();
        seen.put(first, new From(null, ""));
        open.add(first);
        depths.add(0);
        long steps = 0;
        long reached = 0;
        int depth = 0;
        while (!open.isEmpty()) {
            AgreementModel.State s = open.poll();
            depth = depths.poll();
            String breach = model.breach(s);
            if (breach != null) {
                return new Found(seen.size(), steps, depth, reached, breach, history(seen, s), false);
            }
            reached += model.reached(s) ? 1 : 0;
            if (seen.size() >= most) {
                return new Found(seen.size(), steps, depth, reached, null, List.of(), false);
            }
            for (Map.Entry<String, AgreementModel.State> e : model.next(s).entrySet()) {
                steps++;
                if (!seen.containsKey(e.getValue())) {
                    seen.put(e.getValue(), new From(s, e.getKey()));
                    open.add(e.getValue());
                    depths.add(depth + 1);
                }
            }
        }
        return new Found(seen.size(), steps, depth, reached, null, List.of(), true);
    }

    private static List<String> history(Map<AgreementModel.State, From> seen, AgreementModel.State last) {
        List<String> lines = new ArrayList<>();
        for (From f = seen.get(last); f.state() != null; f = seen.get(f.state())) {
            lines.add(0, f.by());
        }
        return lines;
    }
}
