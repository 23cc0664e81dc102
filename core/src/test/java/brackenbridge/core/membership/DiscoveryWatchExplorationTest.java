package brackenbridge.core.membership;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Plays every history of so many events at discovery, for an agent and a service and with the shortest and the longest
 * pauses, and holds each against what the node promises, by a count of its own.
 */
class DiscoveryWatchExplorationTest {
    private static final int HISTORY_LENGTH = 6;
    /** Between two events; three of them are more than the silence that ends a watch. */
    private static final double STEP_MS = 1100;

    private static final double SILENCE_MS = 3000;
    private static final double MAX_POLL_INTERVAL_MS = 10_000;
    /** When a change counts as told, and how long discovery may take to answer a call. */
    private static final double NOTIFIED_WITHIN_MS = 6000;

    private static final double MAX_QUEUE_TIME_MS = 2000;

    /** What may happen at discovery, in its words; a list that comes in pieces is beats and then its word. */
    private enum DiscoveryEvent {
        NOTHING,
        HEARTBEAT,
        NEWER_VERSION,
        OLDER_VERSION,
        CALL_ENDED,
        MOVED,
        MESSAGE_ON_PREVIOUS_CALL,
        OUTAGE_TOGGLED
    }

    /** The machine as it is, and with a mistake. */
    private enum Variant {
        CORRECT,
        IGNORES_SILENCE,
        TIMERS_FIRE_LATE,
        IGNORES_END_CALL,
        ACCEPTS_CLOSED_CALLS,
        ACCEPTS_OLD_VERSIONS,
        REOPENS_AT_ONCE,
        IGNORES_MOVE
    }

    /** One history. */
    private static final class History {
        final Variant variant;
        final DiscoveryWatch watch;
        final DiscoverySource source;
        double nowMs = 1000;
        DiscoveryCommand.Wake nextWake;
        long openCall = -1;
        double lastMessageMs;
        boolean messageReceived;
        long currentVersion = 41;
        boolean moved;
        /** When the next call has to be out. */
        double callDueMs;
        /** And before which it must not be. */
        double noCallBeforeMs;

        int failures;
        double openedAtMs;
        boolean down;
        boolean rejected;
        /** Since when discovery could be reached and has said nothing, and the calls it has refused since. */
        double reachableSinceMs;

        int rejections;
        String violation;

        History(Variant machine, boolean shared, double draw) {
            this.variant = machine;
            source = new DiscoverySource(shared, MAX_POLL_INTERVAL_MS);
            RandomGenerator fixed = new RandomGenerator() {
                @Override
                public long nextLong() {
                    return 0;
                }

                @Override
                public double nextDouble() {
                    return draw;
                }
            };
            watch = new DiscoveryWatch(source, machine == Variant.IGNORES_SILENCE ? 1e9 : SILENCE_MS, fixed);
            callDueMs = nowMs + (shared ? 4000 : 0);
            reachableSinceMs = nowMs;
            execute(watch.start(nowMs, currentVersion));
        }

        void fail(String what) {
            violation = violation == null ? what + " at " + nowMs : violation;
        }

        void execute(List<DiscoveryCommand> steps) {
            for (DiscoveryCommand step : steps) {
                if (step instanceof DiscoveryCommand.OpenWatch opening) {
                    if (openCall >= 0) {
                        fail("two calls are open");
                    }
                    if (opening.afterVersion() != currentVersion) {
                        fail("asks after another version than it holds");
                    }
                    if (nowMs < noCallBeforeMs) {
                        fail("calls again too soon");
                    }
                    openCall = opening.call();
                    openedAtMs = nowMs;
                    lastMessageMs = nowMs;
                    messageReceived = false;
                    rejected = down && source.shared();
                } else if (step instanceof DiscoveryCommand.EndCall ending && variant != Variant.IGNORES_END_CALL) {
                    if (ending.call() != openCall) {
                        fail("ends a call that is not open");
                    }
                    openCall = -1;
                    if (ending.silent()) {
                        // Never answered though it was up all the time: it could not be reached.
                        reachableSinceMs =
                                !messageReceived && openedAtMs >= reachableSinceMs ? nowMs : reachableSinceMs;
                        failures = 0;
                        callDueMs = nowMs + (source.shared() ? 250 : 0);
                    }
                } else if (step instanceof DiscoveryCommand.Wake wake) {
                    nextWake = wake;
                }
            }
        }

        /** The call has ended, by discovery's doing. */
        void endCall(long call) {
            if (call >= 0 && !down) {
                // What waits in the line does not count; who is refused once more could not reach discovery.
                reachableSinceMs = messageReceived || rejections++ > 0 ? nowMs : reachableSinceMs + nowMs - openedAtMs;
            }
            openCall = -1;
            failures = messageReceived && nowMs - openedAtMs >= 1000 ? 1 : failures + 1;
            double pause = source.shared() ? Math.min(400 * Math.pow(2, failures - 1), 1600) : failures > 1 ? 100 : 50;
            callDueMs = nowMs + 1.5 * pause;
            noCallBeforeMs = nowMs + pause / 2;
            execute(watch.onCallEnded(nowMs, call));
            if (variant == Variant.REOPENS_AT_ONCE) {
                execute(watch.reopen(nowMs, false));
            }
        }

        /** While a service is down it refuses each call; an agent keeps it and says nothing. */
        void rejectCalls() {
            while (rejected && violation == null) {
                rejected = false;
                endCall(openCall);
            }
        }

        void advance(double ms) {
            double until = nowMs + ms;
            double late = variant == Variant.TIMERS_FIRE_LATE ? 1500 : 0;
            while (nextWake != null && nextWake.atMs() + late <= until) {
                nowMs = Math.max(nowMs, nextWake.atMs() + late);
                DiscoveryCommand.Wake due = nextWake;
                nextWake = null;
                execute(watch.onTimer(nowMs, due.timer()));
                rejectCalls();
                checkGuarantees();
            }
            nowMs = until;
            checkGuarantees();
        }

        void checkGuarantees() {
            if (openCall < 0 && nowMs > callDueMs + 1) {
                fail("no call is out");
            }
            if (openCall >= 0 && nowMs > lastMessageMs + SILENCE_MS + 1) {
                fail("a silent call is kept");
            }
            if (source.shared()
                    && !down
                    && nowMs > reachableSinceMs + NOTIFIED_WITHIN_MS - MAX_QUEUE_TIME_MS
                    && (openCall < 0 || openedAtMs < reachableSinceMs)) {
                fail("discovery could be reached and was not");
            }
        }

        void receiveList(long call, long version, boolean whole) {
            boolean counts = call == openCall && openCall >= 0;
            long on = variant == Variant.ACCEPTS_CLOSED_CALLS ? openCall : call;
            boolean holds = watch.onEndpointList(nowMs, on, version, whole)
                    || variant == Variant.ACCEPTS_OLD_VERSIONS && counts;
            if (holds
                    && !(counts
                            && (version > currentVersion
                                    || moved && whole
                                    || version == currentVersion && !messageReceived))) {
                fail("an overtaken word holds");
            }
            if (!holds && counts && (version > currentVersion || moved && whole)) {
                fail("news is lost");
            }
            if (holds) {
                currentVersion = version;
                moved = false;
            }
            if (counts) {
                lastMessageMs();
            }
        }

        void lastMessageMs() {
            lastMessageMs = nowMs;
            reachableSinceMs = nowMs;
            rejections = 0;
            messageReceived = true;
        }

        void apply(DiscoveryEvent what) {
            long call = openCall;
            if (down && what != DiscoveryEvent.MOVED && what != DiscoveryEvent.OUTAGE_TOGGLED) {
                return;
            }
            switch (what) {
                case HEARTBEAT -> {
                    watch.onHeartbeat(nowMs, call);
                    if (call >= 0) {
                        lastMessageMs();
                    }
                }
                case NEWER_VERSION -> receiveList(call, currentVersion + 1, false);
                case OLDER_VERSION -> receiveList(call, currentVersion - 1, true);
                case CALL_ENDED -> {
                    if (call >= 0) {
                        endCall(call);
                    }
                }
                case OUTAGE_TOGGLED -> {
                    down = !down;
                    reachableSinceMs = nowMs;
                    rejections = 0;
                    if (down && source.shared() && call >= 0 && messageReceived) {
                        // Its watches end; a call that waits in its line hangs.
                        endCall(call);
                    }
                }
                case MOVED -> {
                    failures = 0;
                    reachableSinceMs = nowMs;
                    rejections = 0;
                    noCallBeforeMs = nowMs;
                    execute(watch.reopen(nowMs, variant != Variant.IGNORES_MOVE));
                    moved = true;
                    if (openCall < 0 || openCall == call) {
                        fail("a moved discovery is not asked at once");
                    }
                    rejectCalls();
                }
                case MESSAGE_ON_PREVIOUS_CALL -> {
                    receiveList(call - 1, currentVersion + 5, true);
                    watch.onHeartbeat(nowMs, call - 1);
                    execute(watch.onCallEnded(nowMs, call - 1));
                }
                default -> {
                    // Nothing else matters here.
                }
            }
        }
    }

    /** The first promise that some history breaks, with that history; null if none does. */
    private static String explore(Variant machine) {
        DiscoveryEvent[] all = DiscoveryEvent.values();
        int histories = (int) Math.pow(all.length, HISTORY_LENGTH);
        for (int kind = 0; kind < 4; kind++) {
            for (int i = 0; i < histories; i++) {
                History history = new History(machine, kind % 2 == 1, kind < 2 ? 0 : 0.999_999);
                List<DiscoveryEvent> story = new ArrayList<>();
                history.advance(50);
                for (int rest = i, n = 0; n < HISTORY_LENGTH && history.violation == null; n++, rest /= all.length) {
                    story.add(all[rest % all.length]);
                    history.apply(all[rest % all.length]);
                    history.advance(STEP_MS);
                }
                history.advance(history.violation == null ? 4000 : 0);
                if (history.violation != null) {
                    return (kind % 2 == 1 ? "service: " : "agent: ") + history.violation + " after " + story;
                }
            }
        }
        return null;
    }

    @Test
    void noHistoryViolatesAGuarantee() {
        assertNull(explore(Variant.CORRECT));
    }

    @ParameterizedTest
    @EnumSource(value = Variant.class, mode = EnumSource.Mode.EXCLUDE, names = "CORRECT")
    void faultyVariantIsDetected(Variant mistaken) {
        assertNotNull(explore(mistaken));
    }
}
