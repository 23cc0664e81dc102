package brackenbridge.fleet.cli;

/** Settings that a majority decides. */
public final class SettingsCommand extends AdminCommand {
    /** For the ServiceLoader. */
    public SettingsCommand() {
        super("settings", "settings propose --file FILE | show | history | withdraw GENERATION | status");
    }
}
