package brackenbridge.fleet.cli;

/** Tenants' shares of connections. */
public final class SharesCommand extends StaffCommand {
    /** For the ServiceLoader. */
    public SharesCommand() {
        super("shares", "shares status | hungry | set --file FILE");
    }
}
