package brackenbridge.fleet.cli;

/** Forecasts, rehearses and runs plans to evacuate a zone. */
public final class EvacuationCommand extends AdminCommand {
    /** Called by the ServiceLoader. */
    public EvacuationCommand() {
        super("evacuation", "evacuation forecast | rehearse | run --file PLAN | status | halt | history");
    }
}
