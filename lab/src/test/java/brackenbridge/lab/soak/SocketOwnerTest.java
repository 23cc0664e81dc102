package brackenbridge.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.Test;

class SocketOwnerTest {
    @Test
    void theProcessOfAnOpenConnectionIsFoundAndThatOfAClosedOneIsNot() throws Exception {
        long me = ProcessHandle.current().pid();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            int from;
            int to = server.getLocalPort();
            try (Socket client = new Socket("127.0.0.1", to);
                    Socket accepted = server.accept()) {
                from = client.getLocalPort();
                assertEquals(to, accepted.getLocalPort());
                assertEquals(me, SocketOwner.find(from, to, List.of(me)).getAsLong());
                assertTrue(SocketOwner.find(from, to, List.of()).isEmpty());
            }
            assertTrue(SocketOwner.find(from, to, List.of(me)).isEmpty());
        }
    }
}
