package brackenbridge.mgmt;

import brackenbridge.counters.RejectionReason;
import java.util.concurrent.CompletableFuture;

/** What staff may ask of a running node; called on the management listener's own thread. */
public interface AdminOperations {
    /** Whether this process accepts clients; as published last. */
    boolean acceptsClients();

    /** The figures, one a line; as published last. */
    String metricsText();

    /** Empties the node, or lets it work again; completes once the node has taken it, with whether it goes by it. */
    CompletableFuture<Boolean> drain(boolean on);

    /** A call was turned down, or its connection closed. */
    void onRejectedCall(RejectionReason why);
}
