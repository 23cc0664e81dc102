package brackenbridge.fleet.peer;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Validates names and addresses of members. */
final class PeerAddress {
    private static final Logger LOG = LoggerFactory.getLogger(PeerAddress.class);
    private static final int MAX_ADDRESS_BYTES = 255;

    private PeerAddress() {}

    /**
     * Returns the member if its name and address are well-formed.
     *
     * @throws IllegalArgumentException if they are not
     */
    static Member requireValid(Member member) {
        requireValidName(member.name());
        parse(member.address());
        if (member.address().getBytes(StandardCharsets.UTF_8).length > MAX_ADDRESS_BYTES) {
            throw new IllegalArgumentException(
                    "address is longer than " + MAX_ADDRESS_BYTES + " bytes: " + member.address());
        }
        return member;
    }

    /**
     * Returns the name if its length is allowed.
     *
     * @throws IllegalArgumentException if it is not
     */
    static String requireValidName(String name) {
        if (name.isEmpty() || name.getBytes(StandardCharsets.UTF_8).length > PeerLimits.MAX_NAME_BYTES) {
            throw new IllegalArgumentException("name must have 1 to " + PeerLimits.MAX_NAME_BYTES + " bytes: " + name);
        }
        return name;
    }

    /**
     * Parses {@code host:port}, without resolving the host.
     *
     * @throws IllegalArgumentException if the text is not a valid address
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
            LOG.debug("malformed address: {}", text, e);
        }
        throw new IllegalArgumentException("not a valid host:port address: " + text);
    }
}
