package brackenbridge.lab.model;

/** Time, and tasks to be run at a time: an event queue in simulated time, an event loop behind real sockets. */
public interface Scheduler {
    /** The time by now, in milliseconds. */
    double nowMs();

    /** Runs a task at this time, or as soon as may be if it has passed; tasks of one time run in order. */
    void at(double atMs, Runnable task);
}
