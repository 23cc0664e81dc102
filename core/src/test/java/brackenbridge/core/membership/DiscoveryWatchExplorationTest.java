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
 * Explores every history of {@link #HISTORY_LENGTH} discovery events, for an agent and a service and with the shortest
 * and the longest delays, and checks the guarantees of {@link DiscoveryWatch} by an independent model. Faulty variants
 * must be detected.
 */
class DiscoveryWatchExplorationTest {
    private static final int HISTORY_LENGTH = 6;
    /** The time between two events; three steps exceed the silence after which a watch ends. */
    private static final double STEP_MS = 1100;

    private static final double SILENCE_MS = 3000;
    private static final double MAX_POLL_INTERVAL_MS = 10_000;
    /** The time after which a node counts as notified, and the time that a call may take in the service's queue. */
    private static final double NOTIFIED_WITHIN_MS = 6000;

    private static final double MAX_QUEUE_TIME_MS = 2000;

    /** The events at discovery. A list that arrives in parts corresponds to heartbeats followed by a list. */
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

    /** The correct implementation and faulty variants of it. */
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

    /** One history with the model's expectations. */
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
        boolean discoveryMoved;
        /** The time at which the next call has to be open. */
        double callDueMs;
        /** The time before which no call may be opened. */
        double noCallBeforeMs;

        int failedCalls;
        int shortWatches;
        double openedAtMs;
        boolean down;
        boolean callRejected;
        /**
         * Since when discovery has been reachable without sending a message, and how many calls it has rejected since.
         */
        double reachableSinceMs;

        int rejections;
        String violation;

        History(Variant variant, boolean shared, double draw) {
            this.variant = variant;
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
            watch = new DiscoveryWatch(source, variant == Variant.IGNORES_SILENCE ? 1e9 : SILENCE_MS, fixed);
            callDueMs = nowMs + (shared ? 4000 : 0);
            reachableSinceMs = nowMs;
            execute(watch.start(nowMs, currentVersion));
        }

        void fail(String guarantee) {
            violation = violation == null ? guarantee + " at " + nowMs : violation;
        }

        void execute(List<DiscoveryCommand> commands) {
            for (DiscoveryCommand command : commands) {
                if (command instanceof DiscoveryCommand.OpenWatch opening) {
                    if (openCall >= 0) {
                        fail("two calls are open");
                    }
                    if (opening.afterVersion() != currentVersion) {
                        fail("opens a watch after another version than the current one");
                    }
                    if (nowMs < noCallBeforeMs) {
                        fail("opens a call too soon");
                    }
                    openCall = opening.call();
                    openedAtMs = nowMs;
                    lastMessageMs = nowMs;
                    messageReceived = false;
                    callRejected = down && source.shared();
                } else if (command instanceof DiscoveryCommand.EndCall ending && variant != Variant.IGNORES_END_CALL) {
                    if (ending.call() != openCall) {
                        fail("cancels a call that is not open");
                    }
                    openCall = -1;
                    if (ending.silent()) {
                        // The call got no message although discovery was up all the time, so discovery was unreachable.
                        reachableSinceMs =
                                !messageReceived && openedAtMs >= reachableSinceMs ? nowMs : reachableSinceMs;
                        failedCalls = 0;
                        shortWatches = 0;
                        callDueMs = nowMs + (source.shared() ? 250 : 0);
                    }
                } else if (command instanceof DiscoveryCommand.Wake wake) {
                    nextWake = wake;
                }
            }
        }

        /** Discovery has ended the call. */
        void endCall(long call) {
            if (call >= 0 && !down) {
                // The time of the first rejected call in the queue doesn't count. After a further rejection discovery
                // counts as unreachable until now.
                reachableSinceMs = messageReceived || rejections++ > 0 ? nowMs : reachableSinceMs + nowMs - openedAtMs;
            }
            openCall = -1;
            boolean stable = messageReceived && nowMs - openedAtMs >= 1000;
            failedCalls = messageReceived ? 0 : failedCalls + 1;
            shortWatches = stable ? 0 : messageReceived ? shortWatches + 1 : shortWatches;
            int failures = stable ? 1 : messageReceived ? shortWatches : failedCalls;
            double delayMs =
                    source.shared() ? Math.min(400 * Math.pow(2, failures - 1), 1600) : failures > 1 ? 100 : 50;
            callDueMs = nowMs + 1.5 * delayMs;
            noCallBeforeMs = nowMs + delayMs / 2;
            execute(watch.onCallEnded(nowMs, call));
            if (variant == Variant.REOPENS_AT_ONCE) {
                execute(watch.reopen(nowMs, false));
            }
        }

        /** A service that is down rejects each call; an agent keeps calls open without a message. */
        void rejectCalls() {
            while (callRejected && violation == null) {
                callRejected = false;
                endCall(openCall);
            }
        }

        void advance(double ms) {
            double until = nowMs + ms;
            double delayMs = variant == Variant.TIMERS_FIRE_LATE ? 1500 : 0;
            while (nextWake != null && nextWake.atMs() + delayMs <= until) {
                nowMs = Math.max(nowMs, nextWake.atMs() + delayMs);
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
                fail("no call is open");
            }
            if (openCall >= 0 && nowMs > lastMessageMs + SILENCE_MS + 1) {
                fail("a silent call is kept open");
            }
            if (source.shared()
                    && !down
                    && nowMs > reachableSinceMs + NOTIFIED_WITHIN_MS - MAX_QUEUE_TIME_MS
                    && (openCall < 0 || openedAtMs < reachableSinceMs)) {
                fail("discovery was reachable, but no call reached it in time");
            }
        }

        void receiveList(long call, long version, boolean complete) {
            boolean current = call == openCall && openCall >= 0;
            long receivedOn = variant == Variant.ACCEPTS_CLOSED_CALLS ? openCall : call;
            boolean accepted = watch.onEndpointList(nowMs, receivedOn, version, complete)
                    || variant == Variant.ACCEPTS_OLD_VERSIONS && current;
            if (accepted
                    && !(current
                            && (version > currentVersion
                                    || discoveryMoved && complete
                                    || version == currentVersion && !messageReceived))) {
                fail("a superseded list is accepted");
            }
            if (!accepted && current && (version > currentVersion || discoveryMoved && complete)) {
                fail("a newer list is not accepted");
            }
            if (accepted) {
                currentVersion = version;
                discoveryMoved = false;
            }
            if (current) {
                recordMessage();
            }
        }

        void recordMessage() {
            lastMessageMs = nowMs;
            reachableSinceMs = nowMs;
            rejections = 0;
            messageReceived = true;
        }

        void apply(DiscoveryEvent event) {
            long call = openCall;
            if (down && event != DiscoveryEvent.MOVED && event != DiscoveryEvent.OUTAGE_TOGGLED) {
                return;
            }
            switch (event) {
                case HEARTBEAT -> {
                    watch.onHeartbeat(nowMs, call);
                    if (call >= 0) {
                        recordMessage();
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
                        // Established watches end; a call in the queue hangs.
                        endCall(call);
                    }
                }
                case MOVED -> {
                    failedCalls = 0;
                    shortWatches = 0;
                    reachableSinceMs = nowMs;
                    rejections = 0;
                    noCallBeforeMs = nowMs;
                    execute(watch.reopen(nowMs, variant != Variant.IGNORES_MOVE));
                    discoveryMoved = true;
                    if (openCall < 0 || openCall == call) {
                        fail("no call is opened at once to a moved discovery");
                    }
                    rejectCalls();
                }
                case MESSAGE_ON_PREVIOUS_CALL -> {
                    receiveList(call - 1, currentVersion + 5, true);
                    watch.onHeartbeat(nowMs, call - 1);
                    execute(watch.onCallEnded(nowMs, call - 1));
                }
                default -> {
                    // NOTHING: no event.
                }
            }
        }
    }

    /** Returns the first violated guarantee with its history; null if no history violates one. */
    private static String explore(Variant variant) {
        DiscoveryEvent[] all = DiscoveryEvent.values();
        int histories = (int) Math.pow(all.length, HISTORY_LENGTH);
        for (int mode = 0; mode < 4; mode++) {
            for (int i = 0; i < histories; i++) {
                History history = new History(variant, mode % 2 == 1, mode < 2 ? 0 : 0.999_999);
                List<DiscoveryEvent> events = new ArrayList<>();
                history.advance(50);
                for (int rest = i, n = 0; n < HISTORY_LENGTH && history.violation == null; n++, rest /= all.length) {
                    events.add(all[rest % all.length]);
                    history.apply(all[rest % all.length]);
                    history.advance(STEP_MS);
                }
                history.advance(history.violation == null ? 4000 : 0);
                if (history.violation != null) {
                    return (mode % 2 == 1 ? "service: " : "agent: ") + history.violation + " after " + events;
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
    void faultyVariantIsDetected(Variant faulty) {
        assertNotNull(explore(faulty));
    }
}
