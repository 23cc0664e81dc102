package brackenbridge.core.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests when a request may be retried and how the budget limits retries. */
class RetryBudgetTest {
    private static final int MAX_ATTEMPTS = 3;
    private static final long ARRIVAL = 1_000;
    private static final long TIME_BUDGET = 500;
    /** The retries in a full budget, and the first attempts that add one retry to it. */
    private static final int FULL_BUDGET = 10;

    private static final int FIRST_ATTEMPTS_PER_RETRY = 10;

    private final RetryBudget budget = new RetryBudget();

    private static QueuedRequest request(Idempotence idempotence) {
        RequestClass rules =
                new RequestClass("read", TIME_BUDGET, TIME_BUDGET, idempotence, DeduplicationScope.ALL, 0, false, 1, 0);
        return new QueuedRequest(
                new BalancerRequest(1, "read", null, -1, TIME_BUDGET, -1, false),
                RequestClassState.of(rules, null),
                MAX_ATTEMPTS,
                ARRIVAL,
                TIME_BUDGET,
                TIME_BUDGET);
    }

    private static QueuedRequest request() {
        return request(Idempotence.IDEMPOTENT);
    }

    private int spendAll() {
        int spent = 0;
        while (budget.trySpend(ARRIVAL, request(), AttemptOutcome.ERROR)) {
            spent++;
        }
        return spent;
    }

    @Test
    void fullBudgetCoversTenRetries() {
        assertEquals(FULL_BUDGET, spendAll());
    }

    @Test
    void tenFirstAttemptsEarnOneRetryAndNoMoreThanFitTheBudget() {
        spendAll();
        // One more than ten, since ten times 0.1 is less than one by rounding.
        for (int i = 0; i < FIRST_ATTEMPTS_PER_RETRY + 1; i++) {
            budget.onFirstAttempt();
        }
        assertEquals(1, spendAll());
        for (int i = 0; i < 100 * FIRST_ATTEMPTS_PER_RETRY; i++) {
            budget.onFirstAttempt();
        }
        assertEquals(FULL_BUDGET, spendAll());
    }

    @Test
    void retryAfterALocalFailureCostsNothing() {
        spendAll();
        assertTrue(budget.trySpend(ARRIVAL, request(), AttemptOutcome.FAILED_LOCALLY));
        assertFalse(budget.trySpend(ARRIVAL, request(), AttemptOutcome.ERROR));
    }

    @ParameterizedTest
    @EnumSource(names = {"NEVER_STARTED", "CANCELLED"})
    void outcomeOfTheClientsOrTheNodesMakingIsNotRetried(AttemptOutcome outcome) {
        assertFalse(budget.trySpend(ARRIVAL, request(), outcome));
        assertEquals(FULL_BUDGET, spendAll());
    }

    @Test
    void requestWhoseTimeIsOverIsNotRetried() {
        assertTrue(budget.trySpend(ARRIVAL + TIME_BUDGET - 1, request(), AttemptOutcome.ERROR));
        assertFalse(budget.trySpend(ARRIVAL + TIME_BUDGET, request(), AttemptOutcome.ERROR));
    }

    @Test
    void requestWithoutAttemptsLeftIsNotRetried() {
        QueuedRequest request = request();
        Attempt attempt = new Attempt(null, ARRIVAL);
        request.attempts.addAll(List.of(attempt, attempt));
        assertTrue(budget.trySpend(ARRIVAL, request, AttemptOutcome.ERROR));
        request.attempts.add(attempt);
        assertFalse(budget.trySpend(ARRIVAL, request, AttemptOutcome.ERROR));
    }

    @Test
    void nonIdempotentRequestIsRetriedOnlyIfItNeverRan() {
        QueuedRequest request = request(Idempotence.NOT_IDEMPOTENT);
        assertTrue(budget.trySpend(ARRIVAL, request, AttemptOutcome.CONNECT_FAILED));
        request.mayHaveRun = true;
        assertFalse(budget.trySpend(ARRIVAL, request, AttemptOutcome.RESET));
    }
}
