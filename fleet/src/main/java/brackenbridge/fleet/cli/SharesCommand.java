package brackenbridge.fleet.cli;

/** Shows and sets tenants' shares of connections. */
public final class SharesCommand extends AdminCommand {
    /** Called by the ServiceLoader. */
    public SharesCommand() {
        super("shares", "shares status | hungry | set --file FILE");
    }
}
