package brackenbridge.fleet.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brackenbridge.clock.Clock;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class RejectionHandlerTest {
    private static final HandshakeRejection END_MARKER = HandshakeRejection.DUPLICATE_NAME;

    private final LinkContext context =
            new LinkContext(new Member("c", "127.0.0.1:1", "z"), 1, "fleet", Clock.system(), PeerLimits.defaults());
    private final ConnectionRegistry registry = new ConnectionRegistry(context);
    private final Membership membership = new Membership(context, registry);
    private final RejectionHandler handler = new RejectionHandler(context, registry, membership);
    private final BlockingQueue<HandshakeRejection> faults = new LinkedBlockingQueue<>();

    @AfterEach
    void close() {
        synchronized (context.lock) {
            membership.close();
        }
    }

    // Guards against a fault about a member that was configured while its hello was being rejected.
    @Test
    void peerThatBecameKnownDuringItsRejectionRaisesNoFault() throws Exception {
        assertEquals(List.of(), faultsAfter(HandshakeRejection.UNKNOWN_MEMBER));
    }

    @Test
    void peerOfAnotherFleetRaisesAFault() throws Exception {
        assertEquals(List.of(HandshakeRejection.FLEET_MISMATCH), faultsAfter(HandshakeRejection.FLEET_MISMATCH));
    }

    /** The faults raised when a hello of the configured peer "a" is rejected for this reason. */
    private List<HandshakeRejection> faultsAfter(HandshakeRejection reason) throws Exception {
        membership.addFaultListener((name, rejection, text) -> faults.add(rejection));
        synchronized (context.lock) {
            membership.start();
            registry.add(new Peer(new Member("a", "127.0.0.1:1", "z")));
        }
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket socket = new Socket(server.getInetAddress(), server.getLocalPort())) {
            PeerConnection connection =
                    new PeerConnection(socket, false, context.limits, context.clock, context.metrics);
            connection.peerName = "a";
            handler.onRejected(connection, reason, "a hello");
        }
        synchronized (context.lock) {
            membership.raiseFault("last", END_MARKER, "marks the end");
        }
        List<HandshakeRejection> raised = new ArrayList<>();
        for (HandshakeRejection next = nextFault(); next != END_MARKER; next = nextFault()) {
            raised.add(next);
        }
        return raised;
    }

    private HandshakeRejection nextFault() throws InterruptedException {
        return faults.poll(10, TimeUnit.SECONDS);
    }
}
