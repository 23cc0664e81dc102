package brackenbridge.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.net.UnknownHostException;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Reads the kernel's tables of sockets, from a fixed text and from the running system. */
class ListeningSocketsTest {
    private static final List<String> TABLE = List.of(
            "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode",
            "   0: 0100007F:1F90 00000000:0000 0A 00000000:00000000 00:00000000 00000000 0 0 7001 1 0 100 0 0 10 0",
            "   1: 0100007F:1F90 0100007F:C001 01 00000000:00000000 00:00000000 00000000 0 0 7002 1 0 20 4 30 10 -1",
            "   2: 0200007F:1F90 00000000:0000 0A 00000000:00000000 00:00000000 00000000 0 0 7003 1 0 100 0 0 10 0",
            "   3: 0000000000000000FFFF00000100007F:1F90 00000000000000000000000000000000:0000 0A 00000000:00000000"
                    + " 00:00000000 00000000 0 0 7004 1 0 100 0 0 10 0",
            "   4: 00000000:1F90 00000000:0000 0A 00000000:00000000 00:00000000 00000000 0 0 7005 1 0 100 0 0 10 0",
            "   5: 00000000000000000000000001000000:1F90 00000000000000000000000000000000:0000 0A 00000000:00000000"
                    + " 00:00000000 00000000 0 0 7006 1 0 100 0 0 10 0",
            "   6: 0100007F:1F91 00000000:0000 0A");

    private static Set<String> inodes(String host, int port) throws UnknownHostException {
        return ListeningSockets.inodesAt(new InetSocketAddress(InetAddress.getByName(host), port), TABLE);
    }

    @Test
    void onlyListeningSocketsOfTheAddressAreFound() throws Exception {
        assertEquals(Set.of("7001", "7004"), inodes("127.0.0.1", 8080));
        assertEquals(Set.of("7003"), inodes("127.0.0.2", 8080));
        assertEquals(Set.of("7005"), inodes("0.0.0.0", 8080));
        assertEquals(Set.of("7006"), inodes("::1", 8080));
        assertEquals(Set.of(), inodes("127.0.0.1", 8081));
    }

    @Test
    void ownSocketsAreFoundWithTheirDescriptors() throws IOException {
        try (ServerSocketChannel first = listen(0)) {
            InetSocketAddress address = (InetSocketAddress) first.getLocalAddress();
            Set<String> alone = ListeningSockets.inodesAt(address);
            assertEquals(1, alone.size());
            assertTrue(ListeningSockets.ownDescriptor(alone) > 2);
            try (ServerSocketChannel second = listen(address.getPort())) {
                assertTrue(second.isOpen());
                assertEquals(2, ListeningSockets.inodesAt(address).size());
            }
            assertEquals(alone, ListeningSockets.inodesAt(address));
        }
        assertEquals(-1, ListeningSockets.ownDescriptor(Set.of("0")));
    }

    private static ServerSocketChannel listen(int port) throws IOException {
        return ServerSocketChannel.open()
                .setOption(StandardSocketOptions.SO_REUSEPORT, true)
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }
}
