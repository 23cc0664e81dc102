package brackenbridge.lab.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class IntervalTest {

    @Test
    void widthIsStudents() {
        // By hand: the standard error of 1, 2, 3 is 1/sqrt(3); t at 0.975 with two degrees of freedom is 4.302653.
        Interval i = Interval.of(List.of(1.0, 2.0, 3.0));
        assertEquals(2, i.mean(), 1e-12);
        assertEquals(4.302653 / Math.sqrt(3), i.half(), 1e-5);
        assertFalse(i.beyondNoise());
        assertTrue(Interval.of(List.of(1.0, 1.1, 0.9)).beyondNoise());
        assertFalse(Interval.of(List.of(5.0)).beyondNoise(), "one figure says nothing of noise");
        assertEquals("2.00 ± 2.48", i.text(2));
    }
}
