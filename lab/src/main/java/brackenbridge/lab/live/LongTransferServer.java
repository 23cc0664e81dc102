package brackenbridge.lab.live;

import brackenbridge.lab.live.LongTransfer.AnswerFraming;
import brackenbridge.lab.model.Scheduler;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.nio.charset.StandardCharsets;

/** The server's side of a long transfer on one connection: it reads and writes as planned. Used on its event loop. */
final class LongTransferServer {
    /** Small, so that what is not read waits at the node. */
    private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

    private static final int READ_BYTES = 4096;
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

    private final LongTransfer transfer;
    private final LongTransfer.Plan plan;
    private final Scheduler scheduler;
    private final SteadyTransfer pace;
    /** When the head came: a send counts from its first byte, and the client's time was told then. */
    private final double headMs;

    private int bytesRead;

    LongTransferServer(LongTransfer transfer, Channel channel, Scheduler scheduler) {
        this.transfer = transfer;
        this.plan = transfer.plan();
        this.scheduler = scheduler;
        this.pace = new SteadyTransfer(channel, scheduler);
        this.headMs = scheduler.nowMs();
        if (plan.readBytesPerSecond() > 0 || plan.readStopsAfterBytes() > 0) {
            pace.limitReads(RECEIVE_BUFFER_BYTES, READ_BYTES);
        }
    }

    double headMs() {
        return headMs;
    }

    /** Handles that bytes of the request were read. */
    void onRead(int bytes) {
        bytesRead += bytes;
        if (plan.readStopsAfterBytes() > 0 && bytesRead >= plan.readStopsAfterBytes()) {
            pace.stopReading();
        } else if (plan.readBytesPerSecond() > 0) {
            pace.pauseAfterRead(bytes, plan.readBytesPerSecond());
        }
    }

    boolean hasLongAnswer() {
        return plan.hasLongAnswer();
    }

    /** Whether the connection ends with the answer. */
    boolean endsConnection() {
        return plan.answerFraming() == AnswerFraming.TO_END;
    }

    /** Writes the long answer, which begins with the usual one. */
    void answer(byte[] usualBody, Runnable whenWritten) {
        byte[] body = transfer.answerBody(usualBody);
        transfer.beginAnswer(scheduler.nowMs());
        String head = "HTTP/1.1 200 OK\r\n"
                + switch (plan.answerFraming()) {
                    case LENGTH -> "Content-Length: " + body.length + "\r\n\r\n";
                    case CHUNKED -> "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length) + "\r\n";
                    case TO_END -> "Connection: close\r\n\r\n";
                };
        String end = plan.answerFraming() == AnswerFraming.CHUNKED ? LAST_CHUNK : "";
        ByteBuf bytes = Unpooled.wrappedBuffer(
                head.getBytes(StandardCharsets.ISO_8859_1), body, end.getBytes(StandardCharsets.ISO_8859_1));
        pace.write(bytes, plan.answerBytesPerSecond(), whenWritten);
    }

    /** Handles that the server breaks the connection itself. */
    void onBrokenByServer() {
        transfer.breakByServer();
    }
}
