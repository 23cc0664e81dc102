package brackenbridge.testing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Helps to test parsers: splits messages at random positions, and mutates them at random. */
public final class Bytes {
    private Bytes() {}

    /** Splits the text at random positions. */
    public static List<byte[]> splitRandomly(String text, long seed) {
        Random random = new Random(seed);
        byte[] all = text.getBytes(StandardCharsets.ISO_8859_1);
        List<byte[]> pieces = new ArrayList<>();
        for (int from = 0; from < all.length; ) {
            int to = Math.min(all.length, from + 1 + random.nextInt(random.nextBoolean() ? 3 : 60));
            pieces.add(java.util.Arrays.copyOfRange(all, from, to));
            from = to;
        }
        return pieces;
    }

    /** Returns the text with a few bytes changed, removed or inserted. */
    public static String mutateRandomly(String text, long seed) {
        Random random = new Random(seed);
        StringBuilder s = new StringBuilder(text);
        for (int i = 1 + random.nextInt(6); i > 0 && s.length() > 1; i--) {
            int at = random.nextInt(s.length());
            switch (random.nextInt(3)) {
                case 0 -> s.setCharAt(at, (char) random.nextInt(256));
                case 1 -> s.deleteCharAt(at);
                default -> s.insert(at, s.charAt(random.nextInt(s.length())));
            }
        }
        return s.toString();
    }
}
