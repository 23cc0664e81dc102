package brackenbridge.net.upstream;

import brackenbridge.core.Event;
import brackenbridge.net.channel.EventSink;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The attempts without an outcome, by request; those that wait for a connection also by waiter number. */
final class RunningAttempts {
    private final EventSink events;
    private final Map<Long, RunningAttempt> byRequest = new HashMap<>();
    private final Map<Long, RunningAttempt> byWaiter = new HashMap<>();
    private long nextWaiter;

    RunningAttempts(EventSink events) {
        this.events = events;
    }

    void add(RunningAttempt attempt) {
        byRequest.put(attempt.requestId(), attempt);
    }

    /** Whether the attempt has neither ended nor been cancelled. */
    boolean isRunning(RunningAttempt attempt) {
        return byRequest.get(attempt.requestId()) == attempt;
    }

    /** Removes the attempt; returns whether it was still running. */
    boolean remove(RunningAttempt attempt) {
        return byRequest.remove(attempt.requestId(), attempt);
    }

    /** The attempt of this request with this number; null if it is not running. */
    RunningAttempt find(long requestId, int attempt) {
        RunningAttempt running = byRequest.get(requestId);
        return running == null || running.attempt() != attempt ? null : running;
    }

    /** Removes and returns the attempt of this request with this number; null if it is not running. */
    RunningAttempt cancel(long requestId, int attempt) {
        RunningAttempt running = find(requestId, attempt);
        if (running != null) {
            byRequest.remove(requestId);
            byWaiter.remove(running.waiter());
        }
        return running;
    }

    /** Assigns a new waiter number to the attempt and records it as waiting for a connection. */
    void addWaiter(RunningAttempt attempt) {
        attempt.setWaiter(nextWaiter++);
        byWaiter.put(attempt.waiter(), attempt);
    }

    /** Records the attempt as waiting again, under its existing number. */
    void restoreWaiter(long waiter, RunningAttempt attempt) {
        byWaiter.put(waiter, attempt);
    }

    /** Removes a waiter and returns its attempt; null if that has been cancelled. */
    RunningAttempt removeWaiter(long waiter) {
        return byWaiter.remove(waiter);
    }

    /** Returns a copy for iterations during which attempts may end. */
    List<RunningAttempt> snapshot() {
        return List.copyOf(byRequest.values());
    }

    /** Ends the attempt, of which no byte was written. */
    void attemptNotStarted(RunningAttempt attempt) {
        if (remove(attempt)) {
            events.raise(new Event.AttemptNotStarted(attempt.requestId(), attempt.attempt()));
        }
    }

    /** Ends the attempt, whose connection could not be opened, broke, or can't be trusted any more. */
    void connectionLost(RunningAttempt attempt) {
        if (remove(attempt)) {
            events.raise(new Event.AttemptConnectionLost(attempt.requestId(), attempt.attempt()));
        }
    }

    /** Ends the attempt, for which a system call on this machine failed before the request was completely written. */
    void failLocally(RunningAttempt attempt) {
        if (remove(attempt)) {
            events.raise(new Event.AttemptFailedLocally(attempt.requestId(), attempt.attempt()));
        }
    }
}
