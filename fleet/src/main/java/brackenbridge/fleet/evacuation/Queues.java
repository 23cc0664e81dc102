package brackenbridge.fleet.evacuation;

/**
 * Published approximations of waiting in multi-server queues. Times are in any single unit.
 *
 * <p>Erlang C by the recursion of Erlang B (stable: Cooper, Introduction to Queueing Theory, 1981); the wait of G/G/c
 * by Allen and Cunneen (Allen, Probability, Statistics and Queueing Theory, 1990), which extends Kingman's bound (1961)
 * to c servers, and by Sakasegawa (An approximation formula L_q = a rho^b / (1 - rho), 1977); Whitt, Approximations for
 * the GI/G/m queue, 1993, compares them.
 */
final class Queues {
    private Queues() {}

    /** The probability of waiting in M/M/c with this offered load (arrival rate times mean service time). */
    static double erlangC(int c, double offeredLoad) {
        if (offeredLoad <= 0) {
            return 0;
        }
        if (offeredLoad >= c) {
            return 1;
        }
        double blocking = 1;
        for (int k = 1; k <= c; k++) {
            blocking = offeredLoad * blocking / (k + offeredLoad * blocking);
        }
        return blocking / (1 - offeredLoad / c * (1 - blocking));
    }

    /** The mean wait by Allen and Cunneen; infinite from utilisation 1 on. Scv: squared coefficient of variation. */
    static double allenCunneen(int c, double arrivalRate, double serviceTime, double arrivalScv, double serviceScv) {
        double offeredLoad = arrivalRate * serviceTime;
        if (offeredLoad >= c) {
            return Double.POSITIVE_INFINITY;
        }
        return erlangC(c, offeredLoad) * serviceTime / (c - offeredLoad) * (arrivalScv + serviceScv) / 2;
    }

    /** The mean queue length of M/M/c by Sakasegawa at utilisation rho; c need not be an integer. */
    static double sakasegawaQueueLength(double c, double rho) {
        return rho >= 1 ? Double.POSITIVE_INFINITY : Math.pow(rho, Math.sqrt(2 * (c + 1))) / (1 - rho);
    }

    /**
     * The probability that a wait exceeds the threshold. The wait of those that have to wait is taken as exponential,
     * which is exact in M/M/c.
     */
    static double waitExceedsProbability(
            int c, double arrivalRate, double serviceTime, double serviceScv, double threshold) {
        double offeredLoad = arrivalRate * serviceTime;
        double wait = allenCunneen(c, arrivalRate, serviceTime, 1, serviceScv);
        if (!Double.isFinite(wait)) {
            return 1;
        }
        double waitProbability = erlangC(c, offeredLoad);
        return waitProbability <= 0
                ? 0
                : waitProbability * Math.exp(-threshold * waitProbability / Math.max(1e-12, wait));
    }
}
