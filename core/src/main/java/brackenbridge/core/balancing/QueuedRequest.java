package brackenbridge.core.balancing;

import java.util.ArrayList;

/** A request from its arrival to the end of its last attempt; times are in microseconds. */
final class QueuedRequest {
    final long id;
    final RequestClassState requestClass;
    final long arrival;
    final long deadline;
    /** The paper's tau: the time from its arrival within which an answer has value. */
    final long timeBudget;
    /** Priority level; 0 is the most urgent. */
    int level;
    /** When it is given up if it is still queued. */
    long expiresAt;
    /** The server in whose queue it is; null while there is none. */
    ServerState server;
    /** It waits for a server. */
    boolean queued;
    /** Its final answer is decided or no longer owed. */
    boolean finished;
    /** Its last byte has not arrived: it occupies no server and is not among the open requests yet. */
    boolean incomplete;
    /** Some attempt may have run, the first sent at firstRunAt to firstRunServer. */
    boolean mayHaveRun;

    long firstRunAt;
    ServerState firstRunServer;
    int attemptsInFlight;
    /** As many attempts as were allowed when it arrived. */
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

    /** The attempt of this index if it has been sent and has not ended; else null. */
    Attempt runningAttempt(int index) {
        if (index < 0 || index >= attempts.size() || attempts.get(index).ended) {
            return null;
        }
        return attempts.get(index);
    }

    /** Whether an attempt has been sent to this server. */
    boolean wasSentTo(ServerState server) {
        for (Attempt attempt : attempts) {
            if (attempt.server == server) {
                return true;
            }
        }
        return false;
    }
}
