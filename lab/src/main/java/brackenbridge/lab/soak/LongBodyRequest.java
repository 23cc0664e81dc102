package brackenbridge.lab.soak;

import brackenbridge.lab.live.LongTransfer;
import brackenbridge.lab.live.LongTransfer.AnswerFraming;
import brackenbridge.lab.world.World;
import java.util.Arrays;
import java.util.HexFormat;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A request with a long body or a long answer, drawn at random.
 *
 * @param request its text
 * @param plan what its server does
 * @param waitMs how long its client waits
 * @param clientBytesPerSecond at what rate its client reads the answer; 0 for as fast as it can
 */
record LongBodyRequest(SoakRequest request, LongTransfer.Plan plan, double waitMs, int clientBytesPerSecond) {
    /** What is slow about a request. */
    enum SlowPart {
        /** Nothing: the server reads and writes as fast as it can. */
        NOTHING,
        /** The server stops reading the request. */
        SERVER_STOPS_READING,
        /** The server reads the request over several times the client's wait. */
        SERVER_READS,
        /** The server writes the answer slowly, and its first byte in time. */
        SERVER_WRITES,
        /** The client reads the answer slowly. */
        CLIENT_READS
    }

    private static final int LEAST_QUICK_BODY_BYTES = 70_000;
    private static final int LEAST_SLOW_BODY_BYTES = 1_500_000;
    private static final int MOST_BODY_BYTES = 5_000_000;
    private static final int LEAST_STOP_BYTES = 2_000;
    private static final int MOST_STOP_BYTES = 60_000;
    /** A slow server takes so many times the client's wait to read a body. */
    private static final int LEAST_WAITS = 2;

    private static final int MOST_WAITS = 4;
    private static final int LEAST_ANSWER_BYTES = 70_000;
    private static final int MOST_ANSWER_BYTES = 300_000;
    private static final int LEAST_WRITTEN_PER_SECOND = 60_000;
    private static final int MOST_WRITTEN_PER_SECOND = 150_000;
    /** More than the buffers on the way hold. */
    private static final int LEAST_SLOWLY_READ_BYTES = 700_000;

    private static final int MOST_SLOWLY_READ_BYTES = 1_500_000;
    private static final int LEAST_READ_PER_SECOND = 300_000;
    private static final int MOST_READ_PER_SECOND = 500_000;
    private static final double MS_PER_S = 1000;

    /** Draws one. */
    static LongBodyRequest draw(World world, UniformRandomProvider random) {
        SlowPart part = SlowPart.values()[random.nextInt(SlowPart.values().length)];
        boolean upload = part.ordinal() <= SlowPart.SERVER_READS.ordinal();
        World.ClassSpec spec = world.classes().stream()
                .filter(each -> each.unsafe() == upload)
                .skip(upload ? 0 : random.nextInt(3))
                .findFirst()
                .orElseThrow();
        int least = part == SlowPart.NOTHING ? LEAST_QUICK_BODY_BYTES : LEAST_SLOW_BODY_BYTES;
        byte[] body = new byte[upload ? random.nextInt(least, MOST_BODY_BYTES) : 0];
        Arrays.fill(body, (byte) 'b');
        SoakRequest request =
                new SoakRequest(HexFormat.of().toHexDigits(random.nextLong()), spec, body, random.nextBoolean());
        boolean slowReader = part == SlowPart.CLIENT_READS;
        return new LongBodyRequest(
                request,
                plan(part, body.length, spec.deadlineMs(), random),
                spec.deadlineMs(),
                slowReader ? random.nextInt(LEAST_READ_PER_SECOND, MOST_READ_PER_SECOND) : 0);
    }

    private static LongTransfer.Plan plan(SlowPart part, int bodyBytes, double waitMs, UniformRandomProvider random) {
        AnswerFraming framing = AnswerFraming.values()[random.nextInt(AnswerFraming.values().length)];
        return switch (part) {
            case NOTHING -> new LongTransfer.Plan(0, 0, 0, framing, 0);
            case SERVER_STOPS_READING ->
                new LongTransfer.Plan(0, random.nextInt(LEAST_STOP_BYTES, MOST_STOP_BYTES), 0, framing, 0);
            case SERVER_READS -> {
                double readMs = waitMs * random.nextInt(LEAST_WAITS, MOST_WAITS + 1);
                yield new LongTransfer.Plan((int) (bodyBytes * MS_PER_S / readMs), 0, 0, framing, 0);
            }
            case SERVER_WRITES ->
                new LongTransfer.Plan(
                        0,
                        0,
                        random.nextInt(LEAST_ANSWER_BYTES, MOST_ANSWER_BYTES),
                        framing,
                        random.nextInt(LEAST_WRITTEN_PER_SECOND, MOST_WRITTEN_PER_SECOND));
            case CLIENT_READS ->
                new LongTransfer.Plan(
                        0, 0, random.nextInt(LEAST_SLOWLY_READ_BYTES, MOST_SLOWLY_READ_BYTES), framing, 0);
        };
    }

    /** The request and its plan in a few words, for the log. */
    String text() {
        return request.id() + " " + request.className() + ", wait " + (long) waitMs + " ms, client reads "
                + clientBytesPerSecond + " bytes a second, server: " + plan;
    }
}
