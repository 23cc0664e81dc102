package brackenbridge.core;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * Maps a host's name to the number by which the balancer knows it: a hash of the name alone, so that every node, and
 * the same node after a restart, has the same number for it.
 */
public final class HostIds {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    /** Numbers have 53 bits, so that a double holds them exactly. */
    private static final int UNUSED_BITS = 11;

    private final Map<String, Long> ids = new HashMap<>();
    private final Map<Long, String> hosts = new HashMap<>();

    HostIds() {}

    /** The number of a name that shares its hash with no other. */
    public static long hashOf(String host) {
        return hash(host);
    }

    /** The number of this name; from now on the name is known. */
    long of(String host) {
        Long known = ids.get(host);
        if (known != null) {
            return known;
        }
        // Guards against two names with one hash: the later name is hashed again until it is alone.
        String salted = host;
        while (hosts.containsKey(hash(salted))) {
            salted += '#';
        }
        long id = hash(salted);
        ids.put(host, id);
        hosts.put(id, host);
        return id;
    }

    /** Whether a name has a number already. */
    boolean isKnown(String host) {
        return ids.containsKey(host);
    }

    /** Forgets a name, once its number is not in use any more. */
    void forget(String host) {
        hosts.remove(ids.remove(host));
    }

    /** FNV-1a over the name's bytes, cut to 53 bits. */
    private static long hash(String name) {
        long hash = FNV_OFFSET_BASIS;
        for (byte octet : name.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (octet & 0xff)) * FNV_PRIME;
        }
        return hash >>> UNUSED_BITS;
    }
}
