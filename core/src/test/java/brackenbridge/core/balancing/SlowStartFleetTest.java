package brackenbridge.core.balancing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.balancing.ColdStartParameters.Fault;
import brackenbridge.core.balancing.ColdStartParameters.Scenario;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Over all nodes together no server that warms up gets more than the limit in force, N + 2 sqrt(N) + 2 requests in
 * the settings' time (N + 3 sqrt(N) + 3 for N below 30), however many nodes there are and whatever else happens.
 */
class SlowStartFleetTest {
    private static final long SECOND = 1_000_000;

    /**
     * A number of nodes with servers of a size, and the multiple that puts N to one side of 30.
     *
     * @param demand so many times the usual traffic, so that also nodes with little of it have requests waiting
     */
    private record Fleet(int nodes, int workers, double multiple, double demand) {
        ColdStartParameters parameters(Scenario day, Fault trouble, double load, long seed) {
            return new ColdStartParameters(day, trouble, nodes, workers, load * demand, multiple, SECOND, seed);
        }
    }

    /** N below 30 until the server is warm; 1,200 nodes have a share below 0.01 each. */
    private static final Fleet[] SMALL = {
        new Fleet(1, 2, 1.5, 1), new Fleet(2, 2, 1.5, 1), new Fleet(30, 2, 1.5, 1), new Fleet(1200, 2, 0.55, 20)
    };

    /** N from 30 on. */
    private static final Fleet[] LARGE = {
        new Fleet(1, 20, 1, 1), new Fleet(2, 20, 1, 1), new Fleet(30, 10, 1, 1), new Fleet(1200, 20, 1, 3)
    };

    private static Stream<ColdStartParameters> parametersFor(Fleet[] fleets) {
        return Stream.of(fleets)
                .flatMap(f -> Stream.of(Scenario.values())
                        .flatMap(day -> Stream.of(0.9, 1.5).map(load -> f.parameters(day, Fault.NONE, load, 1))));
    }

    static Stream<ColdStartParameters> smallServers() {
        return parametersFor(SMALL);
    }

    static Stream<ColdStartParameters> largeServers() {
        return parametersFor(LARGE);
    }

    static Stream<ColdStartParameters> faults() {
        Fleet[] fleets = {new Fleet(1, 20, 1, 1), new Fleet(30, 2, 1.5, 1), new Fleet(30, 10, 1, 1)};
        return Stream.of(Fault.values())
                .filter(t -> t != Fault.NONE)
                .flatMap(t -> Stream.of(fleets)
                        .flatMap(f -> Stream.of(1L, 2L).map(seed -> f.parameters(Scenario.BURST, t, 0.9, seed))));
    }

    @ParameterizedTest
    @MethodSource
    void smallServers(ColdStartParameters plan) {
        ColdStartResult seen = runAndCheckLimit(plan);
        assertTrue(seen.maxAllowed() <= 30, "N: " + seen);
        assertTrue(plan.nodes() < 1200 || seen.maxAllowed() / plan.nodes() < 0.01, "a node's share: " + seen);
    }

    @ParameterizedTest
    @MethodSource
    void largeServers(ColdStartParameters plan) {
        assertTrue(runAndCheckLimit(plan).minAllowed() >= 30, "N");
    }

    @ParameterizedTest
    @MethodSource
    void faults(ColdStartParameters plan) {
        ColdStartResult seen = runAndCheckLimit(plan);
        assertTrue(seen.retries() > 0, "no request was tried again: " + seen);
    }

    private static ColdStartResult runAndCheckLimit(ColdStartParameters plan) {
        ColdStartResult seen = ColdStartSimulation.run(plan);
        assertTrue(seen.worstRatioToLimit() <= 1, "over the limit: " + seen);
        assertTrue(seen.maxConcurrentAttempts() == 1, "attempts at once: " + seen);
        assertTrue(seen.coldServed() > seen.incarnations(), "starved: " + seen);
        return seen;
    }
}
