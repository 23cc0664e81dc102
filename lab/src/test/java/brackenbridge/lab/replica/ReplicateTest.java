package brackenbridge.lab.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.fleet.replica.ReplicationLimits;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class ReplicateTest {
    /** Writes, wants, pieces, ends, saves, forgets, folds. */
    @ParameterizedTest
    @CsvSource({"3, 1, 1, 0, 0, 1, 0", "2, 1, 1, 1, 1, 0, 0", "2, 0, 0, 1, 1, 0, 1"})
    void everyHistoryEndsWithMembersThatAreOne(
            int writes, int wants, int pieces, int ends, int saves, int forgets, int folds) {
        Explorer.Found f = Explorer.explore(
                new ReplicationModel(
                        new Bounds(writes, wants, pieces, ends, saves, forgets, folds), ReplicationMistake.NONE),
                100_000);
        assertNull(f.breach(), f::toString);
        assertTrue(f.whole() && f.states() > 100, f.states() + " moments");
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void eachMistakeIsFound(ReplicationMistake mistake) {
        Explorer.Found f = Explorer.explore(new ReplicationModel(Bounds.of(mistake), mistake), 100_000);
        assertNotNull(f.breach(), mistake + " was not found in " + f.states() + " moments");
    }

    @Test
    void aFleetIsOneSoonAfterAWriteAndOneThatWasAwayIsLevelWithinItsBytes() {
        ReplicationLimits terms = ReplicationLimits.DEFAULT.withBytesPerSecond(200_000);
        SimulatedReplicaFleet f =
                new SimulatedReplicaFleet(new SimulatedReplicaFleet.Plan(40, 5, 2, 0.05, 2000, terms, 3));
        SimulatedReplicaFleet.Outcome o = f.run();
        assertEquals(40, o.level());
        assertTrue(o.all().getMaxValue() < 3000, "slowest " + o.all().getMaxValue());
        assertTrue(o.underChange() <= 200_000, "sent " + o.underChange());
        SimulatedReplicaFleet.Returned r = f.away(3_600_000);
        assertTrue(r.right() && r.levelMs() < 10_000, r::toString);
    }
}
