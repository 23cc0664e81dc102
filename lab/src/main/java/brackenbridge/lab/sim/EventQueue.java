package brackenbridge.lab.sim;

import brackenbridge.lab.model.Scheduler;
import java.util.Arrays;

/** Virtual time: a heap of tasks by time, those of one time in the order in which they were set. */
public final class EventQueue implements Scheduler {
    private double[] times = new double[1024];
    private long[] orders = new long[1024];
    private Runnable[] tasks = new Runnable[1024];
    private int size;
    private long set;
    private long run;
    private double now;

    /** Begins at this time. */
    public EventQueue(double startMs) {
        now = startMs;
    }

    @Override
    public double nowMs() {
        return now;
    }

    @Override
    public void at(double atMs, Runnable task) {
        if (size == times.length) {
            times = Arrays.copyOf(times, size * 2);
            orders = Arrays.copyOf(orders, size * 2);
            tasks = Arrays.copyOf(tasks, size * 2);
        }
        double time = Math.max(now, atMs);
        long order = set++;
        int i = size++;
        while (i > 0) {
            int parent = (i - 1) >>> 1;
            if (!before(time, order, parent)) {
                break;
            }
            move(parent, i);
            i = parent;
        }
        times[i] = time;
        orders[i] = order;
        tasks[i] = task;
    }

    private boolean before(double time, long order, int than) {
        return time != times[than] ? time < times[than] : order < orders[than];
    }

    private void move(int from, int to) {
        times[to] = times[from];
        orders[to] = orders[from];
        tasks[to] = tasks[from];
    }

    /** Runs tasks in turn until none is due by this time, and stands at it. */
    public void runUntil(double endMs) {
        while (size > 0 && times[0] <= endMs) {
            Runnable task = tasks[0];
            now = times[0];
            removeFirst();
            run++;
            task.run();
        }
        now = Math.max(now, endMs);
    }

    private void removeFirst() {
        int last = --size;
        double time = times[last];
        long order = orders[last];
        Runnable task = tasks[last];
        tasks[last] = null;
        if (last == 0) {
            return;
        }
        int i = 0;
        while (true) {
            int child = 2 * i + 1;
            if (child >= last) {
                break;
            }
            if (child + 1 < last && before(times[child + 1], orders[child + 1], child)) {
                child++;
            }
            if (before(time, order, child)) {
                break;
            }
            move(child, i);
            i = child;
        }
        times[i] = time;
        orders[i] = order;
        tasks[i] = task;
    }

    /** Tasks run so far. */
    public long tasksRun() {
        return run;
    }
}
