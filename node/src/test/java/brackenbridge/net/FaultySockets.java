package brackenbridge.net;

import brackenbridge.net.channel.Addresses;
import brackenbridge.net.channel.SocketCalls;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.EnumMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;

/** Real sockets with injected failures of system calls; all other calls go to the system. */
final class FaultySockets {
    /** Number of failures of a call that always fails. */
    static final int ALWAYS = Integer.MAX_VALUE;

    /** Where a system call can fail. */
    enum Call {
        ACCEPT,
        SOCKET,
        CONNECT,
        FINISH_CONNECT,
        READ,
        WRITE,
        CLIENT_READ,
        CLIENT_WRITE
    }

    private record Fault(int left, Supplier<IOException> error) {}

    private final Map<Call, Fault> faults = new EnumMap<>(Call.class);
    private final Queue<Connection> serverConnections = new ConcurrentLinkedQueue<>();
    private final InetSocketAddress server;
    private final CountDownLatch faultThrown = new CountDownLatch(1);
    private int bytesPerRead = Integer.MAX_VALUE;

    /** Creates sockets of which only the connections to this server, and those from clients, can be faulty. */
    FaultySockets(String serverDial) {
        server = Addresses.parse(serverDial);
    }

    synchronized void injectFault(Call call, int times, Supplier<IOException> error) {
        faults.put(call, new Fault(times, error));
    }

    synchronized void clearFaults() {
        faults.clear();
    }

    /** Limits each read to this many bytes. */
    void limitReads(int bytes) {
        bytesPerRead = bytes;
    }

    /** Waits until a fault has been thrown. */
    void awaitFault() throws InterruptedException {
        faultThrown.await();
    }

    SocketCalls calls() {
        return new SocketCalls(
                this::outgoing, this::accept, SocketCalls.system().steer());
    }

    /** The number of open sockets to the server. */
    long openServerConnections() {
        return serverConnections.stream().filter(Channel::isOpen).count();
    }

    private synchronized void throwIfFaulty(Call call) throws IOException {
        Fault fault = faults.get(call);
        if (fault != null && fault.left > 0) {
            faults.put(call, new Fault(fault.left == ALWAYS ? ALWAYS : fault.left - 1, fault.error));
            faultThrown.countDown();
            throw fault.error.get();
        }
    }

    private Channel outgoing() {
        try {
            throwIfFaulty(Call.SOCKET);
        } catch (IOException e) {
            throw new ChannelException("Failed to open a socket.", e);
        }
        return new Connection();
    }

    private NioSocketChannel accept(Channel parent, ServerSocketChannel listening) throws IOException {
        throwIfFaulty(Call.ACCEPT);
        SocketChannel client = listening.accept();
        return client == null ? null : new Connection(parent, client);
    }

    /** A connection to the server or from a client. */
    private final class Connection extends NioSocketChannel {
        private final boolean fromClient;
        private boolean faulty;

        Connection() {
            fromClient = false;
        }

        Connection(Channel parent, SocketChannel client) {
            super(parent, client);
            fromClient = true;
            faulty = true;
        }

        @Override
        protected boolean doConnect(SocketAddress to, SocketAddress from) throws Exception {
            faulty = to.equals(server);
            if (faulty) {
                serverConnections.add(this);
                throwIfFaulty(Call.CONNECT);
            }
            return super.doConnect(to, from);
        }

        @Override
        protected void doFinishConnect() throws Exception {
            if (faulty) {
                throwIfFaulty(Call.FINISH_CONNECT);
            }
            super.doFinishConnect();
        }

        @Override
        protected int doReadBytes(ByteBuf to) throws Exception {
            if (faulty) {
                throwIfFaulty(fromClient ? Call.CLIENT_READ : Call.READ);
            }
            if (to.writableBytes() <= bytesPerRead) {
                return super.doReadBytes(to);
            }
            return to.writeBytes(javaChannel(), bytesPerRead);
        }

        @Override
        protected void doWrite(ChannelOutboundBuffer out) throws Exception {
            if (faulty && !out.isEmpty()) {
                throwIfFaulty(fromClient ? Call.CLIENT_WRITE : Call.WRITE);
            }
            super.doWrite(out);
        }
    }
}
