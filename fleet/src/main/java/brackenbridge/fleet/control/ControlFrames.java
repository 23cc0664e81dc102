package brackenbridge.fleet.control;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/** Messages on a connection: four bytes with the length of what follows, then the message. */
final class ControlFrames {
    /** Bytes before each message. */
    static final int LENGTH_BYTES = 4;

    private ControlFrames() {}

    /** Cuts what is received into messages; a longer one than allowed is an exception as soon as its length is read. */
    static LengthFieldBasedFrameDecoder decoder() {
        return new LengthFieldBasedFrameDecoder(
                ControlCodec.MAX_MESSAGE_BYTES + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    /** A message as it is written; the same bytes may be written to any number of connections. */
    static byte[] encode(ControlMessage message) {
        byte[] body = ControlCodec.encode(message);
        byte[] frame = new byte[LENGTH_BYTES + body.length];
        Unpooled.wrappedBuffer(frame).setInt(0, body.length);
        System.arraycopy(body, 0, frame, LENGTH_BYTES, body.length);
        return frame;
    }

    /** What the decoder cut out, as a message. */
    static ControlMessage decode(ByteBuf frame) throws ProtocolException {
        byte[] body = new byte[frame.readableBytes()];
        frame.readBytes(body);
        return ControlCodec.decode(body);
    }
}
