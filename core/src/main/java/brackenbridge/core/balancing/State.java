package brackenbridge.core.balancing;

import brackenbridge.core.balancing.BalancerApi.Endpoint;
import brackenbridge.core.balancing.BalancerApi.Request;
import brackenbridge.core.balancing.BalancerApi.RequestClass;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** What an instance of {@link Balancer} keeps in mind: plain data, no decisions. */
final class State {
    private State() {}

    /** A class of request and what was seen of it. */
    static final class Kind {
        final RequestClass is;
        int level;
        int overShareLevel;
        /** Mean response time of its answers, 0 before the first. */
        double mean;
        /** Their mean distance from it. */
        double spread;
        /** The least that the mean was of late. */
        double base;

        long answers;
        /** The part of errors among the outcomes at all servers of late. */
        double errors;

        private Kind(RequestClass is) {
            this.is = is;
        }

        /** The class by these rules; what was seen of it under others stays, and the old kind if they are equal. */
        static Kind of(RequestClass is, Kind before) {
            if (before != null && before.is.equals(is)) {
                return before;
            }
            Kind kind = new Kind(is);
            if (before != null) {
                kind.mean = before.mean;
                kind.spread = before.spread;
                kind.base = before.base;
                kind.answers = before.answers;
                kind.errors = before.errors;
            }
            return kind;
        }
    }

    /** What a server did to a class of late. */
    static final class Standing {
        /** Errors since its last answer. */
        int fails;
        /** Until when the class goes elsewhere for them. */
        long avoidedUntil;
    }

    /** A token bucket. */
    static final class Bucket {
        double rate;
        double size;
        double tokens;
        private long filledAt = Long.MIN_VALUE;

        /** A token, if there is one by now. */
        boolean take(long now) {
            if (filledAt != Long.MIN_VALUE) {
                tokens = Math.min(size, tokens + (now - filledAt) * rate / 1e6);
            }
            filledAt = now;
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        }

        void fill(double ratePerSecond) {
            rate = ratePerSecond;
            size = Math.max(1, ratePerSecond);
            tokens = filledAt == Long.MIN_VALUE ? size : Math.min(size, tokens);
        }
    }

    /** One attempt of a call. */
    static final class Attempt {
        final Server server;
        final long sentAt;
        /** It counts among the calls in flight: its request has gone out whole. */
        boolean counted;

        boolean ended;
        /** What the server's budget holds for it until its request has been written; 0 from then on. */
        double held;

        Attempt(Server server, long sentAt) {
            this.server = server;
            this.sentAt = sentAt;
        }
    }

    /** A request from its arrival to the end of its last attempt. */
    static final class Call {
        final long id;
        final Kind kind;
        final long arrival;
        final long deadline;
        /** The paper's tau. */
        final long tau;
        /** Priority: 0 is the most urgent. */
        int level;
        /** When it is given up if it still waits. */
        long dropAt;
        /** The server it waits at; null while there is none. */
        Server bound;

        boolean held;
        boolean done;
        /** Its last byte has not come: it holds no server and is not among the open calls yet. */
        boolean coming;
        /** Some attempt may have run, the first sent at ranSince to ranAt. */
        boolean mayHaveRun;

        long ranSince;
        Server ranAt;
        int outNow;
        /** As many attempts as were allowed when it came. */
        final int maxAttempts;

        final ArrayList<Attempt> attempts = new ArrayList<>(1);

        Call(Request r, Kind kind, int maxAttempts, long now, long tau, long left) {
            this.maxAttempts = maxAttempts;
            this.id = r.id();
            this.kind = kind;
            this.arrival = now;
            this.tau = tau;
            this.deadline = now + left;
        }

        boolean tried(Server s) {
            for (Attempt a : attempts) {
                if (a.server == s) {
                    return true;
                }
            }
            return false;
        }
    }

    /** An endpoint that some list has named. */
    static final class Server {
        final long id;
        /** How many were listed before it. */
        final long number;
        /** Its place on the ring of its zone, from 0 to 1; the same at every instance. */
        final double place;

        Endpoint is;
        /** When it last started, but no later than it was told: a start in the future would leave it cold for good. */
        long coldSince;
        /** The calls bound to it, by level. */
        ArrayDeque<Call>[] queues;
        /** How many they are. */
        int queued;

        int inFlight;
        /** Among the endpoints that this instance uses. */
        boolean inReach;
        /** In reach and in order: takes its turns. */
        boolean inRotation;

        boolean isIdle;
        /** When its next turn comes, in the rotation's own time. */
        double pass;
        /** Its response times over those usual for the class. */
        double pace = 1;
        /** The paper's measured time; 0 before the first response. */
        double latest;

        int strikes;
        /** What it was sent of late, and what it may be sent while it warms up. */
        final SlowStartBudget budget = new SlowStartBudget();
        /** The part of errors among its outcomes, the newest weighted most. */
        double errors;

        private final Map<Kind, Standing> standings = new HashMap<>();
        /** Taken out by its failures, until backAt. */
        boolean out;

        long backAt;

        Server(Endpoint is, long number, int levels, long now) {
            this.id = is.id();
            this.number = number;
            this.is = is;
            this.coldSince = Math.min(is.startedAt(), now);
            this.place = scramble(id) * 0x1p-53;
            this.queues = queues(levels);
        }

        Standing standing(Kind kind) {
            return standings.computeIfAbsent(kind, k -> new Standing());
        }

        /** Lays its queues anew by the levels that its calls have now, and forgets classes that are no more. */
        void relay(int levels, Collection<Kind> kinds) {
            ArrayDeque<Call>[] before = queues;
            queues = queues(levels);
            for (ArrayDeque<Call> q : before) {
                q.forEach(c -> queues[c.level].add(c));
            }
            standings.keySet().retainAll(kinds);
        }

        @SuppressWarnings({"unchecked", "rawtypes"})
        private static ArrayDeque<Call>[] queues(int levels) {
            ArrayDeque<Call>[] made = new ArrayDeque[levels];
            for (int i = 0; i < levels; i++) {
                made[i] = new ArrayDeque<>(2);
            }
            return made;
        }

        /** The finishing steps of SplitMix64, cut to 53 bits. */
        private static long scramble(long id) {
            long z = id + 0x9e3779b97f4a7c15L;
            z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
            z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
            return (z ^ (z >>> 31)) >>> 11;
        }
    }
}
