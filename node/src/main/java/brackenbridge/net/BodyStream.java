package brackenbridge.net;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;

/**
 * A long body on its way from one connection to another, piece by piece, with demand flowing back: the giver rests
 * until there is a taker, and whenever the taker has enough. On the event loop only.
 */
final class BodyStream {
    /** The connection that the body comes from. */
    interface Giver {
        /** Read on, or rest. */
        void read(boolean on);

        /** Nobody takes the body any more. */
        void refused();
    }

    /** The connection that it goes to. */
    interface Taker {
        /** Takes a piece, and its release. */
        void piece(ByteBuf piece);

        /** Some pieces have come; more may be a while. */
        void flush();

        /** The last piece has come, or none will come any more though some is missing. */
        void ended(boolean whole);
    }

    private final Giver giver;
    private final ArrayDeque<ByteBuf> early = new ArrayDeque<>();
    private Taker taker;
    private boolean ended;
    private boolean whole;
    private boolean refused;

    /** The giver rests from now on. */
    BodyStream(Giver giver) {
        this.giver = giver;
        giver.read(false);
    }

    boolean isTaken() {
        return taker != null || refused;
    }

    // ---- For the giver ----

    void piece(ByteBuf piece) {
        if (refused) {
            piece.release();
        } else if (taker == null) {
            early.add(piece);
        } else {
            taker.piece(piece);
        }
    }

    void flush() {
        if (taker != null && !refused) {
            taker.flush();
        }
    }

    void end(boolean isWhole) {
        if (ended) {
            return;
        }
        ended = true;
        whole = isWhole;
        if (taker != null && !refused) {
            taker.ended(whole);
        } else if (taker == null) {
            // It may still be taken whole; of one that broke before anybody took it nothing is of use.
            if (!whole) {
                release();
            }
        }
    }

    // ---- For the taker ----

    void to(Taker to) {
        taker = to;
        while (!early.isEmpty()) {
            taker.piece(early.poll());
        }
        taker.flush();
        if (ended) {
            taker.ended(whole);
        } else {
            giver.read(true);
        }
    }

    void want(boolean on) {
        if (!ended && !refused) {
            giver.read(on);
        }
    }

    /** The taker is gone. */
    void refuse() {
        if (!refused) {
            refused = true;
            release();
            if (!ended) {
                giver.refused();
            }
        }
    }

    private void release() {
        early.forEach(ByteBuf::release);
        early.clear();
    }
}
