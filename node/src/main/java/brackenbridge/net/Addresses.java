package brackenbridge.net;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Reads {@code address:port}; only literal addresses, since a look-up of a name would block. */
final class Addresses {
    private Addresses() {}

    /** The address, or null if it is none. */
    static InetSocketAddress of(String dial) {
        int colon = dial.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(dial.substring(0, colon));
        try {
            int port = ip == null ? -1 : Integer.parseInt(dial.substring(colon + 1));
            return port < 0 || port > 65535 ? null : new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }
}
