package brackenbridge.lab.experiment;

import brackenbridge.lab.model.ServerModel;
import brackenbridge.lab.model.ServerProfile;
import brackenbridge.lab.random.Distribution;
import brackenbridge.lab.random.Streams;
import brackenbridge.lab.sim.EventQueue;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** Holds the server's model against what queueing theory says of it. */
public final class Theory {
    private Theory() {}

    /**
     * A mean wait, measured and expected.
     *
     * @param name the queue in Kendall's notation
     * @param load the part of its capacity that is asked for
     * @param expectedMs the wait by the formula
     * @param measuredMs the wait in the model
     */
    public record Row(String name, double load, double expectedMs, double measuredMs) {
        /** The difference over what is expected. */
        public double relativeError() {
            return measuredMs / expectedMs - 1;
        }
    }

    /**
     * The part of servers that hold so many requests at least.
     *
     * @param expected by the fixed point
     * @param measured in the model
     */
    public record Tail(double[] expected, double[] measured) {
        /** The largest difference between the two over the first places, as an absolute part. */
        public double worstError(int places) {
            double worst = 0;
            for (int i = 0; i <= places; i++) {
                worst = Math.max(worst, Math.abs(measured[i] - expected[i]));
            }
            return worst;
        }

        @Override
        public String toString() {
            return "expected " + Arrays.toString(expected) + ", measured " + Arrays.toString(measured);
        }
    }

    /** The probability that an arrival waits in M/M/c: Erlang's C formula, for an offered load in erlangs. */
    public static double erlangC(int servers, double offered) {
        double inverseB = 1;
        for (int i = 1; i <= servers; i++) {
            inverseB = 1 + inverseB * i / offered;
        }
        double b = 1 / inverseB;
        double load = offered / servers;
        return b / (1 - load + load * b);
    }

    /** The expected wait for a core: Erlang C for exponential work, Pollaczek and Khinchine's for one core. */
    public static double expectedWait(int cores, Distribution work, double load) {
        if (cores == 1) {
            double rate = load / work.mean();
            return rate * work.secondMoment() / (2 * (1 - load));
        }
        return erlangC(cores, load * cores) * work.mean() / (cores * (1 - load));
    }

    /**
     * Plays arrivals at one server whose requests have a core each, and measures their mean wait. The first tenth does
     * not count.
     */
    public static Row wait(String name, int cores, Distribution work, double load, int requests, long seed) {
        EventQueue queue = new EventQueue(0);
        Streams streams = new Streams(seed);
        ContinuousSampler gaps = ZigguratSampler.Exponential.of(streams.take(), work.mean() / (cores * load));
        ContinuousSampler works = work.sampler(streams.take());
        ServerModel server = new ServerModel(ServerProfile.plain(cores, 1, Integer.MAX_VALUE), queue, streams.take());
        double[] sum = {0};
        long[] counted = {0};
        Runnable[] arrive = new Runnable[1];
        int[] sent = {0};
        arrive[0] = () -> {
            int number = sent[0]++;
            double at = queue.nowMs();
            double amount = works.sample();
            server.begin("call", new double[] {amount}, Double.POSITIVE_INFINITY, null, verdict -> {
                if (number >= requests / 10) {
                    // What it took beyond its own work on a core of speed 1 is what it waited.
                    sum[0] += queue.nowMs() - at - amount;
                    counted[0]++;
                }
            });
            if (sent[0] < requests) {
                queue.at(queue.nowMs() + gaps.sample(), arrive[0]);
            }
        };
        queue.at(0, arrive[0]);
        queue.runUntil(Double.MAX_VALUE);
        return new Row(name, load, expectedWait(cores, work, load), sum[0] / counted[0]);
    }

    /**
     * Plays arrivals at many servers, each going to the shorter of two drawn at random, and measures how many hold so
     * many requests at least, beside the fixed point load^(2^i - 1): Mitzenmacher, The Power of Two Choices in
     * Randomized Load Balancing, IEEE TPDS 2001.
     */
    public static Tail twoChoices(int servers, double load, int requests, long seed) {
        EventQueue queue = new EventQueue(0);
        Streams streams = new Streams(seed);
        double mean = 10;
        ContinuousSampler gaps = ZigguratSampler.Exponential.of(streams.take(), mean / (servers * load));
        ContinuousSampler works = Distribution.exponential(mean).sampler(streams.take());
        UniformRandomProvider choice = streams.take();
        UniformRandomProvider unused = streams.take();
        List<ServerModel> all = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            all.add(new ServerModel(ServerProfile.plain(1, 1, Integer.MAX_VALUE), queue, unused));
        }
        double[] measured = new double[12];
        long[] samples = {0};
        int[] sent = {0};
        Runnable[] arrive = new Runnable[1];
        arrive[0] = () -> {
            ServerModel a = all.get(choice.nextInt(servers));
            ServerModel b = all.get(choice.nextInt(servers));
            (b.load() < a.load() ? b : a)
                    .begin("call", new double[] {works.sample()}, Double.POSITIVE_INFINITY, null, verdict -> {});
            if (++sent[0] < requests) {
                queue.at(queue.nowMs() + gaps.sample(), arrive[0]);
            }
            if (sent[0] > requests / 4 && sent[0] % servers == 0) {
                samples[0]++;
                for (ServerModel s : all) {
                    for (int i = 0; i < measured.length && i <= s.load(); i++) {
                        measured[i]++;
                    }
                }
            }
        };
        queue.at(0, arrive[0]);
        queue.runUntil(Double.MAX_VALUE);
        double[] expected = new double[measured.length];
        for (int i = 0; i < measured.length; i++) {
            measured[i] /= samples[0] * (double) servers;
            expected[i] = Math.pow(load, Math.pow(2, i) - 1);
        }
        return new Tail(expected, measured);
    }
}
