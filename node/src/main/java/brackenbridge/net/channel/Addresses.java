package brackenbridge.net.channel;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses {@code address:port}. Accepts literal addresses only, since a name lookup would block the event loop. */
public final class Addresses {
    private Addresses() {}

    /** Returns the address, or null if the text is not a literal address with a port. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            int port = ip == null ? -1 : Integer.parseInt(text.substring(colon + 1));
            return port < 0 || port > 65535 ? null : new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }
}
