package brackenbridge.fleet.peer;

import java.util.ArrayDeque;

/**
 * The send queue of a connection, with a bounded queue per stream. The liveness stream has priority, as its messages
 * are few and short; the others share the connection by bytes (deficit round robin, Shreedhar and Varghese, SIGCOMM
 * 1995), so that a stream of long messages gets no more than its fair share.
 */
final class SendQueue {
    /** Bytes added to a stream's deficit counter per round; a longer message waits for several rounds. */
    static final int QUANTUM = 32 << 10;

    private static final MessageStream[] STREAMS = MessageStream.values();

    private final long maxBytes;
    private final int maxMessages;
    private final Queue[] queues = new Queue[STREAMS.length];
    private int currentQueue = 1;
    private boolean quantumGranted;
    private boolean ended;

    private static final class Queue {
        final ArrayDeque<byte[]> messages = new ArrayDeque<>();
        long bytes;
        long deficit;
    }

    SendQueue(long bytesMost, int messagesMost) {
        this.maxBytes = bytesMost;
        this.maxMessages = messagesMost;
        for (int i = 0; i < queues.length; i++) {
            queues[i] = new Queue();
        }
    }

    /** Queues a message; returns false if the stream's queue is full or the connection has ended. */
    synchronized boolean offer(MessageStream stream, byte[] body) {
        Queue queue = queues[stream.ordinal()];
        if (ended || queue.messages.size() >= maxMessages || queue.bytes + body.length > maxBytes) {
            return false;
        }
        queue.messages.add(body);
        queue.bytes += body.length;
        notifyAll();
        return true;
    }

    /** The next message in order of service; null if there is none now. */
    synchronized FrameCodec.Frame poll() {
        if (!queues[0].messages.isEmpty()) {
            return dequeue(0);
        }
        if (isEmpty()) {
            return null;
        }
        while (true) {
            Queue queue = queues[currentQueue];
            if (!queue.messages.isEmpty()) {
                if (!quantumGranted) {
                    queue.deficit += QUANTUM;
                    quantumGranted = true;
                }
                int cost = queue.messages.peek().length + FrameCodec.HEADER_BYTES;
                if (cost <= queue.deficit) {
                    queue.deficit -= cost;
                    return dequeue(currentQueue);
                }
            }
            if (queue.messages.isEmpty()) {
                queue.deficit = 0;
            }
            quantumGranted = false;
            currentQueue = currentQueue + 1 < queues.length ? currentQueue + 1 : 1;
        }
    }

    /** Waits until there is a message or {@link #end} was called. */
    synchronized void await() throws InterruptedException {
        while (isEmpty() && !ended) {
            wait();
        }
    }

    /** Rejects further messages; queued ones can still be polled. */
    synchronized void end() {
        ended = true;
        notifyAll();
    }

    synchronized boolean ended() {
        return ended;
    }

    /** The number of messages queued for a stream. */
    synchronized int queuedMessages(MessageStream stream) {
        return queues[stream.ordinal()].messages.size();
    }

    private boolean isEmpty() {
        for (Queue queue : queues) {
            if (!queue.messages.isEmpty()) {
                return false;
            }
        }
        return true;
    }

    private FrameCodec.Frame dequeue(int stream) {
        byte[] body = queues[stream].messages.poll();
        queues[stream].bytes -= body.length;
        return new FrameCodec.Frame(STREAMS[stream], body);
    }
}
