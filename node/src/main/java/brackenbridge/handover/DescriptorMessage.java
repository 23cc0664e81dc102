package brackenbridge.handover;

/** A message between two processes of a node about the descriptors that they share, as a line of the protocol. */
public sealed interface DescriptorMessage {
    /** The successor takes part in the exchange of descriptors; the first of its messages. */
    record Join() implements DescriptorMessage {
        @Override
        public String toLine() {
            return JOIN_LINE;
        }
    }

    /**
     * The sender has given up descriptors for the recipient.
     *
     * @param count how many, at least 1
     */
    record Grant(int count) implements DescriptorMessage {
        @Override
        public String toLine() {
            return GRANT_PREFIX + count;
        }
    }

    /** The sender lacks descriptors. */
    record Request() implements DescriptorMessage {
        @Override
        public String toLine() {
            return REQUEST_LINE;
        }
    }

    /** The line of {@link Join}. */
    String JOIN_LINE = "descriptors join";
    /** The start of the line of {@link Grant}. */
    String GRANT_PREFIX = "descriptors grant ";
    /** The line of {@link Request}. */
    String REQUEST_LINE = "descriptors request";
    /** The most digits of a count. */
    int MAX_COUNT_DIGITS = 9;

    /** Formats the message as one line, without its end. */
    String toLine();

    /** Parses a line; returns null if it is no message of this kind. */
    static DescriptorMessage parse(String line) {
        if (line.equals(JOIN_LINE)) {
            return new Join();
        }
        if (line.equals(REQUEST_LINE)) {
            return new Request();
        }
        if (!line.startsWith(GRANT_PREFIX)) {
            return null;
        }
        String count = line.substring(GRANT_PREFIX.length());
        boolean valid = count.matches("[1-9][0-9]*") && count.length() <= MAX_COUNT_DIGITS;
        return valid ? new Grant(Integer.parseInt(count)) : null;
    }
}
