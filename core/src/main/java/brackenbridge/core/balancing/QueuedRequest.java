package brackenbridge.core.balancing;

import java.util.ArrayList;

/** A request from its arrival to the end of its last attempt; times are in microseconds. */
final class QueuedRequest {
    final long id;
    final RequestClassState requestClass;
    final long arrival;
    final long deadline;
    /** The paper's tau: the time from its arrival within which a response has value. */
    final long timeBudget;
    /** Priority level; 0 is the most urgent. */
    int level;
    /** When it is dropped if it is still queued. */
    long expiresAt;
    /** The server in whose queue it is; null if none. */
    ServerState server;
    /** Whether it is waiting for a server. */
    boolean queued;
    /** Whether its final result is decided or no longer needed. */
    boolean finished;
    /** Whether its last byte has not arrived yet: it occupies no server and doesn't count as open. */
    boolean incomplete;
    /** Whether some attempt may have run; the first of these was sent at firstRunAt to firstRunServer. */
    boolean mayHaveRun;

    long firstRunAt;
    ServerState firstRunServer;
    int attemptsInFlight;
    /** The maximum number of attempts under the settings at its arrival. */
    final int maxAttempts;

    final ArrayList<Attempt> attempts = new ArrayList<>(1);

    QueuedRequest(
            BalancerRequest request,
            RequestClassState requestClass,
            int maxAttempts,
            long now,
            long timeBudget,
            long timeLeft) {
        this.maxAttempts = maxAttempts;
        this.id = request.id();
        this.requestClass = requestClass;
        this.arrival = now;
        this.timeBudget = timeBudget;
        this.deadline = now + timeLeft;
    }

    /** Returns the attempt of this index if it has been sent and has not ended; else null. */
    Attempt runningAttempt(int index) {
        if (index < 0 || index >= attempts.size() || attempts.get(index).ended) {
            return null;
        }
        return attempts.get(index);
    }

    /** Returns whether an attempt has been sent to this server. */
    boolean wasSentTo(ServerState server) {
        for (Attempt attempt : attempts) {
            if (attempt.server == server) {
                return true;
            }
        }
        return false;
    }
}
