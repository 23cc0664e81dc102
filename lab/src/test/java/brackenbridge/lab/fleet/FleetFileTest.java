package brackenbridge.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.lab.world.FileFault;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FleetFileTest {
    private static final Path FLEETS = Path.of("fleets");

    private static FleetPlan parse(String more) throws FileFault {
        return FleetFile.parse("f.toml", "name = \"f\"\nworld = \"../experiments/zones.toml\"\n" + more, FLEETS);
    }

    @Test
    void theReadyFleetsAreRightAndTheSameSeedDrawsTheSame() throws FileFault {
        FleetPlan smoke = FleetFile.read(FLEETS.resolve("links-smoke.toml"));
        assertEquals(7, smoke.faults().size());
        assertTrue(smoke.faults().get(0).strikes("n0-0", "s-0-4"), "parted");
        assertFalse(smoke.faults().get(0).strikes("n0-0", "s-0-3"), "of one group");
        assertFalse(smoke.faults().get(0).strikes("n0-2", "s-0-3"), "of none");
        FleetPlan links = FleetFile.read(FLEETS.resolve("links.toml"));
        List<String> names = List.of("n0-0>s-0-0", "n0-1>s-0-0", "clients>n0-0");
        List<Fault> drawn = links.faults(3, names, List.of("n0-0", "n0-1"));
        assertEquals(8, drawn.size());
        assertEquals(drawn, links.faults(3, names, List.of("n0-0", "n0-1")));
        assertTrue(drawn.stream().allMatch(f -> f.atMs() >= 6000 && f.atMs() <= 36_000 && f.forMs() <= 4000));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            kind = "rest"            | f.toml:4:1: fault[0].kind: 'rest' is unknown (did you mean 'reset'?)
            kind = "reset"\\nprocess = "n0-0" | give one of links, process and groups
            kind = "reset"\\nat = 3   | f.toml:
            """)
    void aWrongFileIsOneLineWithItsPlaceAndReason(String line, String reason) {
        FileFault f = assertThrows(
                FileFault.class,
                () -> parse(
                        "[[fault]]\n" + line.replace("\\n", "\n") + "\nlinks = \"*\"\nat = \"1s\"\nfor = \"1s\"\n"));
        assertTrue(f.getMessage().contains(reason), f.getMessage());
    }

    @Test
    void aFleetOfMembersNamesWhatItPromises() throws FileFault {
        MembersPlan smoke = MembersFile.read(FLEETS.resolve("state-smoke.toml"));
        assertEquals(List.of("m0", "m1", "m2", "m3", "m4"), smoke.members());
        assertEquals(20, smoke.links().size());
        assertEquals(5, smoke.promises().size());
        MembersPlan state = MembersFile.read(FLEETS.resolve("state.toml"));
        assertEquals(state.faults(3), state.faults(3));
        assertTrue(MembersFile.is(FLEETS.resolve("state.toml")));
        assertFalse(MembersFile.is(FLEETS.resolve("links.toml")));
        FileFault f = assertThrows(
                FileFault.class,
                () -> MembersFile.parse(
                        "f.toml", "name = \"f\"\n[members]\ncount = 3\n[[promise]]\nkind = \"converge\"\n"));
        assertTrue(
                f.getMessage()
                        .contains(
                                "f.toml:5:1: promise[0].kind: 'converge' is unknown (did you mean " + "'converges'?)"),
                f.getMessage());
        assertTrue(assertThrows(
                        FileFault.class,
                        () -> parse("[[fault]]\nprocess = \"n0-0\"\nkind = \"wipe\"\n" + "at = \"1s\"\nfor = \"1s\"\n"))
                .getMessage()
                .contains("is for members"));
    }

    @Test
    void namesWithStarsMatchWholeNames() {
        Fault f = new Fault(new LinkFault(LinkFault.Kind.RESET, 0, 0), null, "n0-*>s-0-1", List.of(), 0, 1);
        assertTrue(f.strikes("n0-12", "s-0-1"));
        assertFalse(f.strikes("n0-1", "s-0-11"));
        assertFalse(f.strikes("n1-1", "s-0-1"));
    }

    @Test
    void shrinkingKeepsWhatFailsAndNothingElse() {
        List<Integer> whole = IntStream.range(0, 40).boxed().toList();
        List<Integer> least = Shrinking.shrink(whole, l -> l.contains(7) && l.contains(31), 1000);
        assertEquals(List.of(7, 31), least);
        assertTrue(
                Shrinking.shrink(whole, l -> l.contains(7) && l.contains(31), 5).size() < 40, "the trials ran out");
    }
}
