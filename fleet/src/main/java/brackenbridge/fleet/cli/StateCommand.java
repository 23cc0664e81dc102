package brackenbridge.fleet.cli;

/** How far each member is, and which copies differ. */
public final class StateCommand extends AdminCommand {
    /** For the ServiceLoader. */
    public StateCommand() {
        super("state", "state status | diff");
    }
}
