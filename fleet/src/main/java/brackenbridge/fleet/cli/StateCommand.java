package brackenbridge.fleet.cli;

/** Shows how up to date each member's replica is, and which replicas differ. */
public final class StateCommand extends AdminCommand {
    /** Called by the ServiceLoader. */
    public StateCommand() {
        super("state", "state status | diff");
    }
}
