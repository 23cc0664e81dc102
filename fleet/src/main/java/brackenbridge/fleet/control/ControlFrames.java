package brackenbridge.fleet.control;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/** Frames messages on a connection: the length in four bytes, then the message. */
final class ControlFrames {
    /** Length of the prefix of each message, in bytes. */
    static final int LENGTH_BYTES = 4;

    private ControlFrames() {}

    /** Splits received bytes into messages; one that exceeds the limit fails as soon as its length is read. */
    static LengthFieldBasedFrameDecoder decoder() {
        return new LengthFieldBasedFrameDecoder(
                ControlCodec.MAX_MESSAGE_BYTES + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    /** Encodes a message with its length; the result may be written to any number of connections. */
    static byte[] encode(ControlMessage message) {
        byte[] body = ControlCodec.encode(message);
        byte[] frame = new byte[LENGTH_BYTES + body.length];
        Unpooled.wrappedBuffer(frame).setInt(0, body.length);
        System.arraycopy(body, 0, frame, LENGTH_BYTES, body.length);
        return frame;
    }

    /** Decodes a frame returned by {@link #decoder}. */
    static ControlMessage decode(ByteBuf frame) throws ProtocolException {
        byte[] body = new byte[frame.readableBytes()];
        frame.readBytes(body);
        return ControlCodec.decode(body);
    }
}
