package brackenbridge.fleet.cli;

/** Plans of a zone's evacuation. */
public final class EvacuationCommand extends AdminCommand {
    /** For the ServiceLoader. */
    public EvacuationCommand() {
        super("evacuation", "evacuation forecast | rehearse | run --file PLAN | status | halt | history");
    }
}
