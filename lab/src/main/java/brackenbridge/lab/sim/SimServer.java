package brackenbridge.lab.sim;

import brackenbridge.lab.model.ServerModel;
import java.util.LinkedHashSet;
import java.util.Set;

/** A server at an address: its model, its name, and the connections that end at it. */
final class SimServer {
    final int tier;
    final int index;
    final String dial;
    final ServerModel model;
    final Set<SimNode.Connection> connections = new LinkedHashSet<>();
    String host;
    double bornMs;
    /** Which process of this machine lives; connections of an older one are dead. */
    int process;
    boolean cutOff;
    boolean struck;
    /** Idle connections end without a word after this time. */
    double staleMs = Double.POSITIVE_INFINITY;
    /** The nodes through which its own calls go, if it has any of its own. */
    SimNode own;

    SimServer(int tier, int index, String host, String dial, ServerModel model) {
        this.tier = tier;
        this.index = index;
        this.host = host;
        this.dial = dial;
        this.model = model;
    }
}
