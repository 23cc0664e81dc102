package brackenbridge.lab.soak;

import brackenbridge.lab.rules.RuleChecker.Answer;
import java.util.HashMap;
import java.util.Map;

/** What all clients of a play have seen; for the play's event loop. */
final class ClientTally {
    private final Map<String, Long> servedByClass = new HashMap<>();
    private long sent;
    private long served;
    private long refused;
    private long failed;
    private long sentAgain;
    private long notTaken;
    private long left;
    private long connections;

    void sent() {
        sent++;
    }

    void answered(String className, Answer how) {
        switch (how) {
            case SERVED -> {
                served++;
                servedByClass.merge(className, 1L, Long::sum);
            }
            case REFUSED -> refused++;
            case FAILED -> failed++;
        }
    }

    /** A request that the node had not read when its connection ended goes once more. */
    void sentAgain() {
        sentAgain++;
    }

    /** A request that no connection took. */
    void notTaken() {
        notTaken++;
    }

    /** A client has left before its answer. */
    void left() {
        left++;
    }

    void connected() {
        connections++;
    }

    long requests() {
        return sent;
    }

    long served() {
        return served;
    }

    long refused() {
        return refused;
    }

    long failed() {
        return failed;
    }

    long resent() {
        return sentAgain;
    }

    long untaken() {
        return notTaken;
    }

    long clientsLeft() {
        return left;
    }

    long connections() {
        return connections;
    }

    /** Requests served so far, by class. */
    Map<String, Long> servedByClass() {
        return Map.copyOf(servedByClass);
    }
}
