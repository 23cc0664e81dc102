package brackenbridge.lab.policy;

import brackenbridge.core.balancing.BalancerActions;
import brackenbridge.core.balancing.LoadReport;
import brackenbridge.lab.sim.Simulation.Truth;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The choices that the compared policies make, each with its source. */
final class Choosers {
    private Choosers() {}

    /** Any server, all alike. */
    static Chooser random(SplittableRandom random) {
        return (now, peers) -> peers.get(random.nextInt(peers.size()));
    }

    /** One after the other, from a place that is drawn, so that nodes do not walk in step. */
    static Chooser roundRobin(SplittableRandom random) {
        int[] next = {random.nextInt(1 << 20)};
        return (now, peers) -> peers.get(Math.floorMod(next[0]++, peers.size()));
    }

    /** Two drawn at random, the one with fewer requests out: Envoy's least request, which is its default of two. */
    static Chooser leastOfTwo(SplittableRandom random) {
        return (now, peers) -> {
            Peer a = peers.get(random.nextInt(peers.size()));
            Peer b = other(random, peers, a);
            return b.out / b.weight < a.out / a.weight ? b : a;
        };
    }

    private static Peer other(SplittableRandom random, List<Peer> peers, Peer than) {
        if (peers.size() == 1) {
            return than;
        }
        Peer b;
        do {
            b = peers.get(random.nextInt(peers.size()));
        } while (b == than);
        return b;
    }

    /** The fewest requests out by weight, ties in turn: HAProxy's leastconn. */
    static Chooser leastConnections(SplittableRandom random) {
        int[] next = {random.nextInt(1 << 20)};
        return (now, peers) -> {
            int from = Math.floorMod(next[0]++, peers.size());
            Peer best = null;
            for (int i = 0; i < peers.size(); i++) {
                Peer p = peers.get((from + i) % peers.size());
                if (best == null || (p.out + 1) / p.weight < (best.out + 1) / best.weight) {
                    best = p;
                }
            }
            return best;
        };
    }

    /**
     * Two drawn at random, the lower product of response time and requests out, where the response time follows peaks
     * at once and decays over ten seconds: Finagle's and Linkerd's peak EWMA.
     */
    static final class PeakEwma implements Chooser {
        private static final double DECAY_US = 10_000_000;
        private static final double PENALTY = Long.MAX_VALUE >> 16;
        private final SplittableRandom random;

        PeakEwma(SplittableRandom random) {
            this.random = random;
        }

        private static void observe(long now, Peer p, double latency) {
            double w = Math.exp(-Math.max(0, now - p.costAt) / DECAY_US);
            p.cost = latency > p.cost ? latency : p.cost * w + latency * (1 - w);
            p.costAt = now;
        }

        private static double load(long now, Peer p) {
            observe(now, p, 0);
            return p.cost == 0 && p.out != 0 ? PENALTY + p.out : p.cost * (p.out + 1);
        }

        @Override
        public Peer choose(long now, List<Peer> peers) {
            Peer a = peers.get(random.nextInt(peers.size()));
            Peer b = other(random, peers, a);
            return load(now, b) < load(now, a) ? b : a;
        }

        @Override
        public void ended(long now, Peer peer, long latency, boolean served) {
            observe(now, peer, latency);
        }
    }

    /**
     * Prequal's hot-cold lexicographic rule over a pool of probe answers: Wydrowski et al., Load is not what you should
     * balance, NSDI 2024. Its constants are those of the paper: 3 probes a request, a pool of 16, an age of 1 s at
     * most, a quantile of 2^-0.25, one removal a request, the worst and the oldest by turns. The paper's formula for
     * how often an answer is used again has no value where servers are fewer than one and a half pools; there the
     * pool holds half as many as there are servers.
     */
    static final class Prequal implements Chooser {
        private static final int PROBES = 3;
        private static final int POOL = 16;
        private static final long AGE_US = 1_000_000;
        private static final double HOT = Math.pow(2, -0.25);
        private static final double DELTA = 1;
        private static final int REMEMBERED = 128;

        private static final class Answer {
            final Peer peer;
            final long at;
            double inHand;
            final double latency;
            double uses;

            Answer(Peer peer, long at, double inHand, double latency, double uses) {
                this.peer = peer;
                this.at = at;
                this.inHand = inHand;
                this.latency = latency;
                this.uses = uses;
            }
        }

        private final SplittableRandom random;
        private final BalancerActions actions;
        private final List<Answer> pool = new ArrayList<>();
        private final double[] recent = new double[REMEMBERED];
        private int seen;
        private boolean worstNext;

        Prequal(SplittableRandom random, BalancerActions actions) {
            this.random = random;
            this.actions = actions;
        }

        private double hotFrom() {
            int n = Math.min(seen, REMEMBERED);
            if (n == 0) {
                return Double.POSITIVE_INFINITY;
            }
            double[] sorted = java.util.Arrays.copyOf(recent, n);
            java.util.Arrays.sort(sorted);
            return sorted[Math.min(n - 1, (int) (HOT * n))];
        }

        @Override
        public Peer choose(long now, List<Peer> peers) {
            pool.removeIf(a -> now - a.at > AGE_US || !peers.contains(a.peer));
            Peer chosen;
            if (pool.size() < 2) {
                chosen = peers.get(random.nextInt(peers.size()));
            } else {
                double hot = hotFrom();
                Answer best = null;
                for (Answer a : pool) {
                    if (best == null || better(a, best, hot)) {
                        best = a;
                    }
                }
                best.inHand++;
                if (--best.uses <= 0) {
                    pool.remove(best);
                }
                chosen = best.peer;
                removeOne(hot);
            }
            for (int i = 0; i < PROBES; i++) {
                actions.startHealthCheck(peers.get(random.nextInt(peers.size())).id);
            }
            return chosen;
        }

        private static boolean better(Answer a, Answer than, double hot) {
            boolean aHot = a.inHand > hot;
            boolean bHot = than.inHand > hot;
            if (aHot != bHot) {
                return bHot;
            }
            return aHot ? a.inHand < than.inHand : a.latency < than.latency;
        }

        private void removeOne(double hot) {
            if (pool.isEmpty()) {
                return;
            }
            Answer worst = pool.get(0);
            if (worstNext) {
                for (Answer a : pool) {
                    if (better(worst, a, hot)) {
                        worst = a;
                    }
                }
            }
            worstNext = !worstNext;
            pool.remove(worst);
        }

        void probed(long now, Peer peer, int servers, LoadReport report) {
            if (report == null || Double.isNaN(report.inFlight())) {
                return;
            }
            recent[seen++ % REMEMBERED] = report.inFlight();
            int room = Math.min(POOL, Math.max(2, servers / 2));
            double reuse =
                    Math.max(1, (1 + DELTA) / Math.max(0.5, (1 - room / (double) Math.max(1, servers)) * PROBES - 1));
            pool.add(new Answer(
                    peer,
                    now,
                    report.inFlight(),
                    Double.isNaN(report.meanServiceTimeMs()) ? 0 : report.meanServiceTimeMs(),
                    reuse));
            while (pool.size() > room) {
                pool.remove(0);
            }
        }
    }

    /** The server where one more request would take least, by what is true now; nothing real can know that. */
    static Chooser oracle(Truth truth, SplittableRandom random) {
        return (now, peers) -> {
            int from = random.nextInt(peers.size());
            Peer best = null;
            double least = Double.POSITIVE_INFINITY;
            for (int i = 0; i < peers.size(); i++) {
                Peer p = peers.get((from + i) % peers.size());
                double stretch = truth.stretch(p.id);
                if (best == null || stretch < least) {
                    best = p;
                    least = stretch;
                }
            }
            return best;
        };
    }
}
