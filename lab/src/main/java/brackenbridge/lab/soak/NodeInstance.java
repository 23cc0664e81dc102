package brackenbridge.lab.soak;

/** One process of the node: its state as the play's event loop knows it. */
final class NodeInstance {
    private final String name;
    private final Process process;
    private final String management;
    private final double startedMs;
    private final boolean alone;
    private double readyMs = Double.NaN;
    private double stopMs = Double.NaN;
    private boolean ended;
    private int reloads;

    NodeInstance(String name, Process process, String management, double startedMs, boolean alone) {
        this.name = name;
        this.process = process;
        this.management = management;
        this.startedMs = startedMs;
        this.alone = alone;
    }

    String name() {
        return name;
    }

    Process process() {
        return process;
    }

    /** Where it takes operators' calls, as ADDRESS:PORT. */
    String management() {
        return management;
    }

    double startedMs() {
        return startedMs;
    }

    /** Whether no other process of the node was running when it started. */
    boolean startedAlone() {
        return alone;
    }

    boolean isReady() {
        return !Double.isNaN(readyMs);
    }

    double readyMs() {
        return readyMs;
    }

    void ready(double nowMs) {
        readyMs = nowMs;
    }

    /** Whether it was told to stop. */
    boolean isStopping() {
        return !Double.isNaN(stopMs);
    }

    /** When it was told to stop first. */
    double stopMs() {
        return stopMs;
    }

    void stopping(double nowMs) {
        stopMs = nowMs;
    }

    boolean hasEnded() {
        return ended;
    }

    void end() {
        ended = true;
    }

    /** Whether it takes clients. */
    boolean serves() {
        return isReady() && !isStopping() && !ended;
    }

    /** How often it was told to reload. */
    int reloads() {
        return reloads;
    }

    void reloaded() {
        reloads++;
    }
}
