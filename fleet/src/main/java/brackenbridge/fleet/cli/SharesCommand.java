package brackenbridge.fleet.cli;

/** Tenants' shares of connections. */
public final class SharesCommand extends AdminCommand {
    /** For the ServiceLoader. */
    public SharesCommand() {
        super("shares", "shares status | hungry | set --file FILE");
    }
}
