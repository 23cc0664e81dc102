package brackenbridge.core;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * Maps a host's name to the id by which the balancer identifies it: a hash of the name alone, so that every node, and
 * the same node after a restart, assigns the same id.
 */
public final class HostIds {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    /** Ids have 53 bits, so that a double represents them exactly. */
    private static final int UNUSED_BITS = 11;

    private final Map<String, Long> ids = new HashMap<>();
    private final Map<Long, String> hosts = new HashMap<>();

    HostIds() {}

    /** The id of a name whose hash collides with no other. */
    public static long hashOf(String host) {
        return hash(host);
    }

    /** The id of this name, assigned at the first call. */
    long idOf(String host) {
        Long known = ids.get(host);
        if (known != null) {
            return known;
        }
        // Guards against hash collisions: the later name is salted until its hash is unique.
        String salted = host;
        while (hosts.containsKey(hash(salted))) {
            salted += '#';
        }
        long id = hash(salted);
        ids.put(host, id);
        hosts.put(id, host);
        return id;
    }

    /** Whether an id is assigned to this name. */
    boolean isKnown(String host) {
        return ids.containsKey(host);
    }

    /** Forgets a name whose id is not in use any more. */
    void forget(String host) {
        hosts.remove(ids.remove(host));
    }

    /** FNV-1a over the name's UTF-8 bytes, shifted to 53 bits. */
    private static long hash(String name) {
        long hash = FNV_OFFSET_BASIS;
        for (byte utf8Byte : name.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (utf8Byte & 0xff)) * FNV_PRIME;
        }
        return hash >>> UNUSED_BITS;
    }
}
