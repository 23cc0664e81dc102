package brackenbridge.fleet.cli;

/** Proposes, shows and withdraws settings that a majority of the voters decides. */
public final class SettingsCommand extends AdminCommand {
    /** Called by the ServiceLoader. */
    public SettingsCommand() {
        super("settings", "settings propose --file FILE | show | history | withdraw GENERATION | status");
    }
}
