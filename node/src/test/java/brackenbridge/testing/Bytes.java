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
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        List<byte[]> pieces = new ArrayList<>();
        for (int from = 0; from < bytes.length; ) {
            int to = Math.min(bytes.length, from + 1 + random.nextInt(random.nextBoolean() ? 3 : 60));
            pieces.add(java.util.Arrays.copyOfRange(bytes, from, to));
            from = to;
        }
        return pieces;
    }

    /** Returns the text with a few bytes changed, removed or inserted. */
    public static String mutateRandomly(String text, long seed) {
        Random random = new Random(seed);
        StringBuilder mutated = new StringBuilder(text);
        for (int i = 1 + random.nextInt(6); i > 0 && mutated.length() > 1; i--) {
            int position = random.nextInt(mutated.length());
            switch (random.nextInt(3)) {
                case 0 -> mutated.setCharAt(position, (char) random.nextInt(256));
                case 1 -> mutated.deleteCharAt(position);
                default -> mutated.insert(position, mutated.charAt(random.nextInt(mutated.length())));
            }
        }
        return mutated.toString();
    }
}
