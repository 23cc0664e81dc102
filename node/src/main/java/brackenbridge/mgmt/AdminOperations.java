package brackenbridge.mgmt;

import brackenbridge.counters.RejectionReason;
import java.util.concurrent.CompletableFuture;

/** The operations of a running node for its operators; called on the management listener's own thread. */
public interface AdminOperations {
    /** Whether this process accepts clients, as published last. */
    boolean acceptsClients();

    /** The metrics as published last, one a line. */
    String metricsText();

    /** Begins or ends a drain; completes once the node has handled the call, false if it is stopping. */
    CompletableFuture<Boolean> drain(boolean on);

    /** A call was rejected, or its connection closed for this reason. */
    void onRejectedCall(RejectionReason why);
}
