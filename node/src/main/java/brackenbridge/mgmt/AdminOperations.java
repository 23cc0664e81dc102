package brackenbridge.mgmt;

import brackenbridge.counters.RejectionReason;
import java.util.concurrent.CompletableFuture;

/** The operations of a running node for its operators; called on the management listener's own thread. */
public interface AdminOperations {
    /** Whether this process accepts clients, as last published. */
    boolean acceptsClients();

    /** Returns the metrics as last published, one per line. */
    String metricsText();

    /** Starts or ends a drain; completes once the node has handled the call, with false if it is stopping. */
    CompletableFuture<Boolean> drain(boolean enabled);

    /** Called when a call is rejected, or its connection closed, for this reason. */
    void onRejectedCall(RejectionReason reason);
}
