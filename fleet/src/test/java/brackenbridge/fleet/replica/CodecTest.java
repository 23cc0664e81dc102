package brackenbridge.fleet.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class CodecTest {
    private static final Arbitrary<Long> COUNT = Arbitraries.longs().between(0, Long.MAX_VALUE);
    private static final Arbitrary<String> NAME =
            Arbitraries.strings().withCharRange(' ', '\ud7ff').ofMinLength(1).ofMaxLength(128);

    @Provide
    Arbitrary<Message> messages() {
        Arbitrary<Message.Mark> mark = Combinators.combine(NAME, COUNT, Arbitraries.longs(), COUNT, COUNT, COUNT, COUNT)
                .as((n, l, x, b, s, h, a) -> new Message.Mark(n, l, x, b, s, h, a, h % 2 == 0));
        Arbitrary<Message.Have> have = Combinators.combine(NAME, COUNT, COUNT).as(Message.Have::new);
        Arbitrary<Message.Want> want =
                Combinators.combine(NAME, COUNT, COUNT, COUNT, COUNT).as(Message.Want::new);
        Arbitrary<Message.Digest> digest =
                Combinators.combine(NAME, COUNT, COUNT, Arbitraries.longs()).as(Message.Digest::new);
        return Arbitraries.oneOf(
                Combinators.combine(mark.list().ofMaxSize(20), have.list().ofMaxSize(5))
                        .as((m, h) -> new Message.Marks(m.isEmpty(), true, m, h)),
                want.list().ofMaxSize(20).map(Message.Wants::new),
                digest.list().ofMaxSize(20).map(Message.Digests::new),
                Combinators.combine(
                                NAME, COUNT, COUNT, Arbitraries.longs().list().ofSize(Item.RANGES))
                        .as(Message.Ranges::new),
                Combinators.combine(NAME, entries(9)).as((n, e) -> new Message.Chunk(n, 9, 9, 0, 100, 0, 0, e)),
                Combinators.combine(NAME, entries(9)).as((n, e) -> new Message.Copies(n, 9, 100, 3, 0, true, true, e)));
    }

    private static Arbitrary<List<Entry>> entries(long life) {
        Arbitrary<byte[]> value =
                Arbitraries.bytes().array(byte[].class).ofMaxSize(40).injectNull(0.2);
        return Combinators.combine(
                        Arbitraries.of(Space.values()),
                        Arbitraries.strings().withCharRange(' ', '\ud7ff').ofMaxLength(40),
                        value,
                        COUNT)
                .as((s, k, v, c) -> new Object[] {s, k, v, c})
                .list()
                .ofMaxSize(20)
                .map(list -> {
                    Entry[] all = new Entry[list.size()];
                    for (int i = 0; i < all.length; i++) {
                        Object[] o = list.get(i);
                        Space s = (Space) o[0];
                        boolean own = s.kind() == Space.Kind.OWN;
                        all[i] = Entry.of(
                                "o",
                                s,
                                (String) o[1],
                                new Version(life, i + 1),
                                own ? (byte[]) o[2] : null,
                                own ? 0 : (Long) o[3],
                                own ? 0 : life - 1);
                    }
                    return Arrays.asList(all);
                });
    }

    @Property(tries = 300, seed = "11")
    void whatIsWrittenIsRead(@ForAll("messages") Message m) throws IOException {
        Message read = Codec.read(Codec.write(m));
        // Values are arrays, which records do not compare by content; their checksums do.
        assertEquals(m.toString(), read.toString());
        if (read instanceof Message.Chunk c) {
            assertTrue(c.entries().stream().allMatch(e -> e.intact("o")));
        }
    }

    /** Bytes changed, cut or added in any place: another message of the same bounds, or refused; nothing else. */
    @Property(tries = 3000, seed = "12")
    void bytesFromOutsideAreReadWithinBoundsOrRefused(
            @ForAll("messages") Message m, @ForAll long where, @ForAll byte with, @ForAll byte[] tail)
            throws IOException {
        byte[] b = Codec.write(m);
        b[(int) Long.remainderUnsigned(where, b.length)] ^= with;
        byte[] all = Arrays.copyOf(
                b,
                where % 3 == 0
                        ? (int) Long.remainderUnsigned(where >> 8, b.length) + 1
                        : b.length + (where % 3 == 1 ? tail.length : 0));
        if (all.length > b.length) {
            System.arraycopy(tail, 0, all, b.length, tail.length);
        }
        try {
            Message read = Codec.read(all);
            assertEquals(read.toString(), Codec.read(Codec.write(read)).toString());
        } catch (IOException refused) {
            assertTrue(refused.getMessage() != null);
        }
    }

    @Property(tries = 3000, seed = "13")
    void anyBytesAtAllAreRefusedOrAMessage(@ForAll byte[] bytes) {
        try {
            Codec.read(bytes);
        } catch (IOException refused) {
            assertTrue(refused.getMessage() != null);
        }
    }

    @Property(tries = 1)
    void longAndDeepOnesAreRefused() {
        byte[] deep = new byte[1000];
        Arrays.fill(deep, (byte) 0x81);
        deep[0] = 0;
        assertThrows(IOException.class, () -> Codec.read(deep));
        assertThrows(IOException.class, () -> Codec.read(new byte[Codec.MOST_BYTES + 1]));
        // A text whose length is said to be two thousand million bytes.
        assertThrows(
                IOException.class,
                () -> Codec.read(
                        new byte[] {1, (byte) 0x81, (byte) 0x81, (byte) 0x85, 0x7a, 0x7f, 0x7f, 0x7f, 0x7f, 1}));
    }
}
