package brackenbridge.net;

import static brackenbridge.net.HttpIo.readHead;
import static brackenbridge.net.HttpIo.write;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.internal.PlatformDependent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Many clients that do not read their long responses: the buffers for them stay small, and others are served. */
class SlowReaderMemoryTest {
    private static final int CLIENTS = 150;
    private static final int BODY_BYTES = 3_000_000;
    /** Small, so that what a client has not read waits on the node's side. */
    private static final int RECEIVE_BUFFER_BYTES = 8192;
    /** A deployed node has 8 MB of direct memory. */
    private static final long MAX_DIRECT_BYTES = 2 * 1024 * 1024;

    private final ScriptedServer server = new ScriptedServer();
    private final CountDownLatch testOver = new CountDownLatch(1);
    private final Node node = server.startNode();
    private final List<Socket> clients = new ArrayList<>();

    @AfterEach
    void end() throws IOException {
        testOver.countDown();
        for (Socket client : clients) {
            client.close();
        }
        server.close();
        node.kill();
    }

    private Socket request() throws IOException {
        Socket client = new Socket();
        client.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        client.connect(new InetSocketAddress(
                node.address().getAddress(), node.address().getPort()));
        client.setSoTimeout(10_000);
        clients.add(client);
        write(client, "GET /view HTTP/1.1\r\nX-Correlation-Id: " + client.getLocalPort() + "\r\n\r\n");
        return client;
    }

    @Test
    void responsesThatAreNotReadDoNotUseUpDirectMemory() throws Exception {
        long before = PlatformDependent.usedDirectMemory();
        byte[] body = new byte[BODY_BYTES];
        for (int i = 0; i < CLIENTS; i++) {
            server.scripts.add(connection -> {
                readHead(connection.getInputStream());
                write(connection, "HTTP/1.1 200 OK\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
                connection.getOutputStream().write(body);
                testOver.await();
            });
            String head = readHead(request().getInputStream());
            assertTrue(head.startsWith("HTTP/1.1 200 "), head);
        }
        server.scripts.add(connection -> {
            readHead(connection.getInputStream());
            write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        });
        String head = readHead(request().getInputStream());
        assertTrue(head.startsWith("HTTP/1.1 200 "), head);
        long used = PlatformDependent.usedDirectMemory() - before;
        assertTrue(used < MAX_DIRECT_BYTES, used + " bytes of direct memory");
    }
}
