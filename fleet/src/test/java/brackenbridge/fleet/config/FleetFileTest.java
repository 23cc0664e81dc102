package brackenbridge.fleet.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.fleet.control.ControlLimits;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The complete file is validated, and each fault is reported with its position. */
class FleetFileTest {
    @Test
    void exampleFileContainsTheDefaults() throws FleetFileException {
        FleetFile example = FleetFile.read(Path.of("../deploy/fleet.toml"));
        FleetFile bare = FleetFile.parse("bare", """
                fleet = "example"
                directory = "fleet-data"
                [[member]]
                name = "n0"
                address = "127.0.0.1:9700"
                zone = "a"
                page = "127.0.0.1:9800"
                [[member]]
                name = "n1"
                address = "127.0.0.1:9701"
                zone = "b"
                [[member]]
                name = "n2"
                address = "127.0.0.1:9702"
                zone = "c"
                """);
        assertEquals(bare, example);
        assertEquals("c", example.member("n2").zone());
    }

    @Test
    void allFaultsAreReportedWithTheirPositions() {
        List<String> faults = assertThrows(FleetFileException.class, () -> FleetFile.parse("f", """
                fleet = "a b"
                [[member]]
                name = "n0"
                address = "127.0.0.1"
                [[member]]
                name = "n0"
                address = "127.0.0.1:1"
                [links]
                beat = "1s"
                suspect = "1500ms"
                gone = "3 weeks"
                [agreed]
                voters = 2
                [replica]
                catchup = "1MiB"
                """))
                .faults();
        assertEquals(7, faults.size(), faults.toString());
        assertTrue(faults.get(0).startsWith("f:1:1: fleet: "), faults.get(0));
        assertTrue(faults.get(1).startsWith("f:4:1: member[0].address: "), faults.get(1));
        assertTrue(faults.get(2).startsWith("f:6:1: member[1].name: 'n0' is another"), faults.get(2));
        assertTrue(faults.get(3).startsWith("f:10:1: links.suspect: is less than four beats"), faults.get(3));
        assertTrue(faults.get(4).startsWith("f:11:1: links.gone: '3 weeks'"), faults.get(4));
        assertTrue(faults.get(5).startsWith("f:13:1: agreed.voters: 2 is even"), faults.get(5));
        assertEquals("f:15:1: replica.catchup: is unknown; did you mean 'catch_up'?", faults.get(6));
    }

    @Test
    void syntaxErrorIsReportedWithItsPosition() {
        List<String> faults = assertThrows(FleetFileException.class, () -> FleetFile.parse("f", "fleet = \n"))
                .faults();
        assertTrue(faults.get(0).startsWith("f:1:9: syntax: "), faults.toString());
    }

    @Test
    void controlExampleFileContainsTheDefaults() throws FleetFileException {
        FleetFile example = FleetFile.read(Path.of("../deploy/control.toml"));
        assertEquals(ControlLimits.DEFAULTS, example.control().limits());
        assertEquals(List.of("*"), example.control().nodes());
        assertEquals("south", example.control().machine("c2").region());
        assertEquals(3, example.control().machines().size());
        assertEquals(Map.of("c1", "127.0.0.1:9700"), example.listenAddresses());
    }

    @Test
    void controlMachinesAndLimitsAreValidated() {
        String fleet = "fleet = \"f\"\n[[member]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n[control]\n";
        String machine = "[[control.machine]]\nname = \"%s\"\nregion = \"r\"\naddress = \"127.0.0.1:2\"\n";
        String a = String.format(machine, "a");
        assertFault("control.machine: nobody serves", fleet);
        assertFault("'b' is no member", fleet + String.format(machine, "b"));
        assertFault("is used already", fleet + a + a);
        assertFault("control.silence: ", fleet + "heartbeat = \"1s\"\nsilence = \"2s\"\n" + a);
        assertFault("control.nodes[0]: does not have the form", fleet + "nodes = [\"a b\"]\n" + a);
        assertFault("control.node: is unknown; did you mean 'nodes'?", fleet + "node = [\"a\"]\n" + a);
    }

    private static void assertFault(String expected, String text) {
        List<String> faults = assertThrows(FleetFileException.class, () -> FleetFile.parse("f", text))
                .faults();
        assertTrue(faults.stream().anyMatch(fault -> fault.contains(expected)), faults.toString());
    }
}
