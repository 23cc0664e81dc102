package brackenbridge.fleet.peer;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Checks of names and addresses of members. */
final class PeerAddress {
    private static final Logger LOG = LoggerFactory.getLogger(PeerAddress.class);
    private static final int MAX_ADDRESS_BYTES = 255;

    private PeerAddress() {}

    /**
     * The member itself, if its name and address are well-formed.
     *
     * @throws IllegalArgumentException if not
     */
    static Member requireValid(Member member) {
        requireValidName(member.name());
        parse(member.address());
        if (member.address().getBytes(StandardCharsets.UTF_8).length > MAX_ADDRESS_BYTES) {
            throw new IllegalArgumentException("address too long: " + member.address());
        }
        return member;
    }

    /**
     * The name itself, if its length is allowed.
     *
     * @throws IllegalArgumentException if not
     */
    static String requireValidName(String name) {
        if (name.isEmpty() || name.getBytes(StandardCharsets.UTF_8).length > PeerLimits.MAX_NAME_BYTES) {
            throw new IllegalArgumentException("a name has from 1 to " + PeerLimits.MAX_NAME_BYTES + " bytes: " + name);
        }
        return name;
    }

    /**
     * Parses {@code host:port}, without resolving the host.
     *
     * @throws IllegalArgumentException if the text is no such address
     */
    static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            String host = text.substring(0, Math.max(0, colon)).replace("[", "").replace("]", "");
            int port = Integer.parseInt(text.substring(colon + 1));
            if (!host.isEmpty()) {
                return InetSocketAddress.createUnresolved(host, port);
            }
        } catch (IllegalArgumentException e) {
            LOG.debug("no address: {}", text, e);
        }
        throw new IllegalArgumentException("not address:port: " + text);
    }
}
