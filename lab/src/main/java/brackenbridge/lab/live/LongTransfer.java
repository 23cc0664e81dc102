package brackenbridge.lab.live;

import java.util.Arrays;

/**
 * A request with a long body or a long answer: how its server treats it, and what has become of the answer. Client and
 * server share it, on one event loop.
 */
public final class LongTransfer {
    /** How the body of an answer is framed. */
    public enum AnswerFraming {
        /** By its length. */
        LENGTH,
        /** In chunks. */
        CHUNKED,
        /** By the end of its connection. */
        TO_END
    }

    /**
     * What the server does.
     *
     * @param readBytesPerSecond at what rate it reads the request; 0 for as fast as it can
     * @param readStopsAfterBytes after how many bytes it reads no more; 0 for never
     * @param answerBytes the length of the answer; 0 for the usual short one
     * @param answerFraming how the answer is framed
     * @param answerBytesPerSecond at what rate it writes the answer; 0 for as fast as it can
     */
    public record Plan(
            int readBytesPerSecond,
            int readStopsAfterBytes,
            int answerBytes,
            AnswerFraming answerFraming,
            int answerBytesPerSecond) {
        /** Whether the answer is a long one. */
        public boolean hasLongAnswer() {
            return answerBytes > 0;
        }
    }

    private final Plan plan;
    private double answerBegunMs = Double.POSITIVE_INFINITY;
    private boolean brokenByServer;

    /** A transfer that has not begun. */
    public LongTransfer(Plan plan) {
        this.plan = plan;
    }

    /** What the server does. */
    public Plan plan() {
        return plan;
    }

    /** When the server began the answer; infinite before. */
    public double answerBegunMs() {
        return answerBegunMs;
    }

    /** Whether the server itself broke a connection of this request. */
    public boolean isBrokenByServer() {
        return brokenByServer;
    }

    void beginAnswer(double nowMs) {
        answerBegunMs = nowMs;
    }

    void breakByServer() {
        brokenByServer = true;
    }

    /** The answer's body: the usual one, with a filler up to the planned length. */
    byte[] answerBody(byte[] usual) {
        byte[] body = Arrays.copyOf(usual, Math.max(usual.length, plan.answerBytes()));
        Arrays.fill(body, usual.length, body.length, (byte) '.');
        return body;
    }
}
