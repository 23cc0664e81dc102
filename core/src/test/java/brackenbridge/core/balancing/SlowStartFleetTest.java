package brackenbridge.core.balancing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.balancing.ColdStartParameters.Fault;
import brackenbridge.core.balancing.ColdStartParameters.Scenario;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards servers that are warming up against overload by all nodes together: no server receives more than the limit in
 * force, N + 2 sqrt(N) + 2 requests per overload window (N + 3 sqrt(N) + 3 for N below 30), for any number of nodes and
 * under additional faults.
 */
class SlowStartFleetTest {
    private static final long SECOND = 1_000_000;

    /**
     * A number of nodes and the size of the servers, with an overload multiple for which N stays on one side of 30.
     *
     * @param demand a factor on the traffic, by which also nodes with little traffic have requests queued
     */
    private record Fleet(int nodes, int workers, double multiple, double demand) {
        ColdStartParameters parameters(Scenario scenario, Fault fault, double load, long seed) {
            return new ColdStartParameters(scenario, fault, nodes, workers, load * demand, multiple, SECOND, seed);
        }
    }

    /** N stays below 30 until the server is warm; each of 1,200 nodes has a share below 0.01. */
    private static final Fleet[] SMALL = {
        new Fleet(1, 2, 1.5, 1), new Fleet(2, 2, 1.5, 1), new Fleet(30, 2, 1.5, 1), new Fleet(1200, 2, 0.55, 20)
    };

    /** N is at least 30. */
    private static final Fleet[] LARGE = {
        new Fleet(1, 20, 1, 1), new Fleet(2, 20, 1, 1), new Fleet(30, 10, 1, 1), new Fleet(1200, 20, 1, 3)
    };

    private static Stream<ColdStartParameters> parametersFor(Fleet[] fleets) {
        return Stream.of(fleets)
                .flatMap(f -> Stream.of(Scenario.values())
                        .flatMap(scenario ->
                                Stream.of(0.9, 1.5).map(load -> f.parameters(scenario, Fault.NONE, load, 1))));
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
    void smallServers(ColdStartParameters parameters) {
        ColdStartResult result = runAndCheckLimit(parameters);
        assertTrue(result.maxAllowed() <= 30, "N: " + result);
        assertTrue(
                parameters.nodes() < 1200 || result.maxAllowed() / parameters.nodes() < 0.01,
                "a node's share: " + result);
    }

    @ParameterizedTest
    @MethodSource
    void largeServers(ColdStartParameters parameters) {
        assertTrue(runAndCheckLimit(parameters).minAllowed() >= 30, "N");
    }

    @ParameterizedTest
    @MethodSource
    void faults(ColdStartParameters parameters) {
        ColdStartResult result = runAndCheckLimit(parameters);
        assertTrue(result.retries() > 0, "no request was retried: " + result);
    }

    private static ColdStartResult runAndCheckLimit(ColdStartParameters parameters) {
        ColdStartResult result = ColdStartSimulation.run(parameters);
        assertTrue(result.worstRatioToLimit() <= 1, "over the limit: " + result);
        assertTrue(result.maxConcurrentAttempts() == 1, "concurrent attempts for a request: " + result);
        assertTrue(result.coldServed() > result.incarnations(), "too few requests served by cold servers: " + result);
        return result;
    }
}
