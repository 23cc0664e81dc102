package brackenbridge.lab.fleet;

/**
 * What is wrong with a link. <i>There</i> is from the process that connects to the one that listens, <i>back</i> the
 * other way.
 *
 * @param kind what
 * @param amount how much; its meaning goes by the kind
 * @param jitterMs a delay varies by so much at random, in milliseconds
 */
public record LinkFault(Kind kind, double amount, double jitterMs) {
    /** Kinds; each says what its amount means, and the amount where none is given. */
    public enum Kind {
        /** New connections are refused; those that are open stay. */
        REFUSE(0),
        /** All connections are reset, new ones as soon as they are made. */
        RESET(0),
        /** Nothing comes through and nothing is refused; what is open then is reset once that is over. */
        BLACK_HOLE(0),
        /** The same for what goes there; what comes back still does. */
        NO_WAY_THERE(0),
        /** The same for what comes back. */
        NO_WAY_BACK(0),
        /** The far side has lost its connections, and the near side is not told; reset once that is over. */
        HALF_OPEN(0),
        /** All is later; amount: milliseconds each way. */
        DELAY(50),
        /** What comes back is later; amount: milliseconds. */
        SLOW_ANSWERS(200),
        /** Less comes through; amount: bytes a second each way. */
        NARROW(10_000),
        /** Each connection is reset after so much has come back; amount: bytes. */
        CUT(300);

        private final double usual;

        Kind(double usual) {
            this.usual = usual;
        }

        /** The amount where none is given. */
        public double usual() {
            return usual;
        }

        boolean silences(boolean there) {
            return this == BLACK_HOLE || this == (there ? NO_WAY_THERE : NO_WAY_BACK);
        }

        /** Whether what was open meanwhile is reset at its end. */
        boolean endsInResets() {
            return this == BLACK_HOLE || this == NO_WAY_THERE || this == NO_WAY_BACK || this == HALF_OPEN;
        }
    }
}
