package brackenbridge.net.channel;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;

/**
 * A long body that is streamed from one connection to another with backpressure: the source is not read until there is
 * a sink, nor while the sink accepts no more. Until the first piece is written, the body is complete in the stream and
 * the source, so the sink can be replaced. Used on the event loop only.
 */
public final class BodyStream {
    /** The connection that the body is read from. */
    public interface Source {
        /** Resumes or pauses reading. */
        void setReading(boolean on);

        /** Called when the sink accepts no more of the body, permanently. */
        void onCancelled();
    }

    /** The connection that the body is written to. */
    public interface Sink {
        /** Called once, before the first piece: from then on, no other sink can get the whole body. */
        default void onFirstPiece() {}

        /** Writes a piece of the body and takes ownership of it. */
        void write(ByteBuf piece);

        /** Flushes the pieces written so far, as the next one may take a while. */
        void flush();

        /** Handles the end of the body: after its last piece, or, if not complete, before it. */
        void onEnd(boolean complete);
    }

    private final Source source;
    private final ArrayDeque<ByteBuf> unsent = new ArrayDeque<>();
    private Sink sink;
    /** Whether a piece was written to a sink. */
    private boolean released;
    /** Whether the sink may flush nothing more before the end. */
    private boolean endHeld;

    private boolean ended;
    private boolean complete;
    private boolean cancelled;

    /** Creates a stream of this source and pauses its reading until there is a sink. */
    public BodyStream(Source source) {
        this.source = source;
        source.setReading(false);
    }

    /** Whether the stream has a sink, or was cancelled. */
    public boolean isConnected() {
        return sink != null || cancelled;
    }

    /** Adds a piece that the source has read; ownership passes to the stream. */
    public void add(ByteBuf piece) {
        if (cancelled) {
            piece.release();
        } else if (sink == null) {
            unsent.add(piece);
        } else {
            writeToSink(piece);
        }
    }

    private void writeToSink(ByteBuf piece) {
        if (!released) {
            released = true;
            sink.onFirstPiece();
        }
        sink.write(piece);
    }

    /** Flushes the sink when the source has read all available bytes. */
    public void flush() {
        if (sink != null && !cancelled && !endHeld) {
            sink.flush();
        }
    }

    /**
     * Holds back the pieces that have not been flushed, up to the end of the body: the recipient may act on the body
     * once it has the last byte.
     */
    public void holdEnd() {
        endHeld = true;
    }

    /** Ends the body, complete or truncated; later calls have no effect. */
    public void end(boolean isComplete) {
        if (ended) {
            return;
        }
        ended = true;
        complete = isComplete;
        if (sink != null && !cancelled) {
            sink.onEnd(complete);
        } else if (sink == null) {
            // A complete body may still get a sink; a truncated one without a sink is of no use.
            if (!complete) {
                release();
            }
        }
    }

    /** Writes the body to this sink, beginning with the pieces that have been buffered. */
    public void connect(Sink newSink) {
        if (cancelled) {
            // Guards a server against a part of the body with a valid end.
            newSink.onEnd(false);
            return;
        }
        sink = newSink;
        while (!unsent.isEmpty()) {
            writeToSink(unsent.poll());
        }
        if (!endHeld) {
            sink.flush();
        }
        if (ended) {
            sink.onEnd(complete);
        } else {
            source.setReading(true);
        }
    }

    /** Resumes or pauses the source on behalf of the sink. */
    public void setDemand(boolean on) {
        if (!ended && !cancelled) {
            source.setReading(on);
        }
    }

    /** Detaches the sink, so that another one can get the whole body; cancels the stream if that is impossible. */
    public void disconnect() {
        if (released) {
            cancel();
        } else if (sink != null && !cancelled) {
            sink = null;
            if (!ended) {
                source.setReading(false);
            }
        }
    }

    /** Cancels the stream: the rest of the body is dropped. */
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
