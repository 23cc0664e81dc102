package brackenbridge.lab.sim;

import brackenbridge.core.balancing.EndpointState;
import brackenbridge.lab.model.ServerModel;
import brackenbridge.lab.trouble.Stage;
import java.util.LinkedHashSet;
import java.util.Set;

/** A server at an address: its model, its name, and the connections that end at it. */
final class SimServer implements Stage.Server {
    final Simulation world;
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
    /** The node through which its own calls go, if it has one of its own. */
    SimNode own;

    SimServer(Simulation world, int tier, int index, String host, String dial, ServerModel model) {
        this.world = world;
        this.tier = tier;
        this.index = index;
        this.host = host;
        this.dial = dial;
        this.model = model;
    }

    @Override
    public ServerModel model() {
        return model;
    }

    @Override
    public boolean struck() {
        return struck;
    }

    @Override
    public void strike(boolean on) {
        struck = on;
    }

    @Override
    public void cutOff(boolean on) {
        cutOff = on;
        if (!on) {
            world.breakConnections(this);
        }
    }

    @Override
    public void stale(double afterMs) {
        staleMs = afterMs;
    }

    @Override
    public void die() {
        model.die();
        world.breakConnections(this);
        if (own != null && own.up()) {
            own.kill();
        }
    }

    @Override
    public void start(boolean renamed) {
        world.startServer(this, renamed);
    }

    @Override
    public void list(EndpointState state, boolean silent) {
        world.discovery(tier).changed(world.target(this, state), silent);
    }
}
