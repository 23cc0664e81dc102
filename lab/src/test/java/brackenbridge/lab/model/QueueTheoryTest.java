package brackenbridge.lab.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.lab.experiment.Theory;
import brackenbridge.lab.random.Distribution;
import org.junit.jupiter.api.Test;

/** The model against queueing theory, at a load that a short run can settle; the measurements have the others. */
class QueueTheoryTest {

    @Test
    void oneServerWaitsAsMM1Says() {
        Theory.Row row = Theory.wait("M/M/1", 1, Distribution.exponential(10), 0.5, 400_000, 7);
        assertEquals(10.0, row.expectedMs(), 1e-9);
        assertTrue(Math.abs(row.relativeError()) < 0.03, row.toString());
    }

    @Test
    void eightServersWaitAsErlangSays() {
        Theory.Row row = Theory.wait("M/M/8", 8, Distribution.exponential(10), 0.8, 400_000, 7);
        assertTrue(Math.abs(row.relativeError()) < 0.03, row.toString());
    }

    @Test
    void unevenWorkWaitsAsPollaczekAndKhinchineSay() {
        Theory.Row row =
                Theory.wait("M/G/1", 1, new Distribution(Distribution.Shape.LOGNORMAL, 10, 1.5), 0.5, 400_000, 7);
        assertEquals(10 * (1 + 1.5 * 1.5) / 2, row.expectedMs(), 1e-9);
        assertTrue(Math.abs(row.relativeError()) < 0.03, row.toString());
    }

    @Test
    void erlangCIsTheKnownFigure() {
        // By hand: one server waits with the probability of its load; two at one erlang with a third.
        assertEquals(0.5, Theory.erlangC(1, 0.5), 1e-12);
        assertEquals(1 / 3.0, Theory.erlangC(2, 1), 1e-12);
    }

    @Test
    void twoChoicesLeaveTheTailOfTheFixedPoint() {
        Theory.Tail tail = Theory.twoChoices(500, 0.9, 300_000, 3);
        assertTrue(tail.worstError(3) < 0.04, tail.toString());
    }
}
