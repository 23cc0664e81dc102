package brackenbridge.lab.live;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;

/**
 * A server that answers each request without a body at once, on a thread that never sleeps: what it adds to a
 * measurement does not hang on how soon the system wakes a thread.
 */
final class SpinEcho implements AutoCloseable {
    private static final byte[] ANSWER = ("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n"
                    + "echo")
            .getBytes(StandardCharsets.US_ASCII);
    private static final int LONGEST_REQUEST = 8192;
    private static final int END_OF_HEAD = 0x0d0a0d0a;

    private final Selector selector = Selector.open();
    private final ServerSocketChannel listening = ServerSocketChannel.open();
    private final Thread thread;
    private volatile boolean closed;

    /** Listens on a free port of loopback. */
    SpinEcho() throws IOException {
        listening.bind(new InetSocketAddress("127.0.0.1", 0));
        listening.configureBlocking(false);
        listening.register(selector, SelectionKey.OP_ACCEPT);
        thread = new Thread(this::serve, "spin-echo");
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() throws IOException {
        return (InetSocketAddress) listening.getLocalAddress();
    }

    private void serve() {
        try {
            while (!closed) {
                selector.selectNow();
                for (Iterator<SelectionKey> keys = selector.selectedKeys().iterator(); keys.hasNext(); ) {
                    SelectionKey key = keys.next();
                    keys.remove();
                    if (key.isAcceptable()) {
                        accept();
                    } else {
                        answer(key);
                    }
                }
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private void accept() throws IOException {
        SocketChannel client = listening.accept();
        if (client != null) {
            client.configureBlocking(false);
            client.setOption(StandardSocketOptions.TCP_NODELAY, true);
            client.register(selector, SelectionKey.OP_READ, ByteBuffer.allocateDirect(LONGEST_REQUEST));
        }
    }

    private static void answer(SelectionKey key) throws IOException {
        SocketChannel client = (SocketChannel) key.channel();
        ByteBuffer read = (ByteBuffer) key.attachment();
        try {
            if (client.read(read) < 0 || !read.hasRemaining()) {
                client.close();
                return;
            }
            if (read.position() >= Integer.BYTES && read.getInt(read.position() - Integer.BYTES) == END_OF_HEAD) {
                read.clear();
                client.write(ByteBuffer.wrap(ANSWER));
            }
        } catch (IOException e) {
            // The other side reset it.
            client.close();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        listening.close();
        selector.close();
    }
}
