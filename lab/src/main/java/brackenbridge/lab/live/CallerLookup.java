package brackenbridge.lab.live;

import io.netty.channel.Channel;
import java.util.List;

/** Tells which process of a node made a connection, where a node may run as two processes at once. */
public interface CallerLookup {
    /** Each node is one process. */
    CallerLookup BY_NODE = new CallerLookup() {
        @Override
        public List<String> candidates(String node) {
            return List.of(node);
        }

        @Override
        public String caller(String node, Channel accepted) {
            return node;
        }
    };

    /** The names of all processes that a node runs as now. */
    List<String> candidates(String node);

    /**
     * The name of the process that made a connection; null if it can't be told.
     *
     * @param node the node's name
     * @param accepted the connection, as the stand-in has accepted it
     */
    String caller(String node, Channel accepted);
}
