package brackenbridge.net.channel;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;

/**
 * A long body that is streamed from one connection to another, with demand flowing back: the source is not read until
 * there is a sink, nor while the sink has enough. Used on the event loop only.
 */
public final class BodyStream {
    /** The connection that the body is read from. */
    public interface Source {
        /** Continues or pauses reading. */
        void setReading(boolean on);

        /** The sink takes no more of the body. */
        void onCancelled();
    }

    /** The connection that the body is written to. */
    public interface Sink {
        /** Takes ownership of a piece, which it releases. */
        void write(ByteBuf piece);

        /** Writes out the pieces so far: the next one may take a while. */
        void flush();

        /** The body has ended: after its last piece, or, if not complete, before it. */
        void onEnd(boolean complete);
    }

    private final Source source;
    private final ArrayDeque<ByteBuf> unsent = new ArrayDeque<>();
    private Sink sink;
    private boolean ended;
    private boolean complete;
    private boolean cancelled;

    /** Makes the stream of this source, whose reading is paused until there is a sink. */
    public BodyStream(Source source) {
        this.source = source;
        source.setReading(false);
    }

    /** Whether it has a sink, or was cancelled by one. */
    public boolean isConnected() {
        return sink != null || cancelled;
    }

    /** The source has read a piece; ownership passes to the stream. */
    public void add(ByteBuf piece) {
        if (cancelled) {
            piece.release();
        } else if (sink == null) {
            unsent.add(piece);
        } else {
            sink.write(piece);
        }
    }

    /** The source has read all that was there. */
    public void flush() {
        if (sink != null && !cancelled) {
            sink.flush();
        }
    }

    /** The source has read the whole body, or will never have; counts once. */
    public void end(boolean isComplete) {
        if (ended) {
            return;
        }
        ended = true;
        complete = isComplete;
        if (sink != null && !cancelled) {
            sink.onEnd(complete);
        } else if (sink == null) {
            // A complete body may still get a sink; of one that broke before it had a sink nothing is of use.
            if (!complete) {
                release();
            }
        }
    }

    /** Writes the body to this sink from now on, beginning with the pieces that have come already. */
    public void connect(Sink newSink) {
        sink = newSink;
        while (!unsent.isEmpty()) {
            sink.write(unsent.poll());
        }
        sink.flush();
        if (ended) {
            sink.onEnd(complete);
        } else {
            source.setReading(true);
        }
    }

    /** The sink wants more, or has enough for now. */
    public void setDemand(boolean on) {
        if (!ended && !cancelled) {
            source.setReading(on);
        }
    }

    /** The sink takes no more: what is left of the body is dropped. */
    public void cancel() {
        if (!cancelled) {
            cancelled = true;
            release();
            if (!ended) {
                source.onCancelled();
            }
        }
    }

    private void release() {
        unsent.forEach(ByteBuf::release);
        unsent.clear();
    }
}
