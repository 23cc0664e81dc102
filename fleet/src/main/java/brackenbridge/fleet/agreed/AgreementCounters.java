package brackenbridge.fleet.agreed;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.atomic.LongAdder;

/** The counters of a member; thread-safe. */
final class AgreementCounters {
    /** Lease requests received. */
    final LongAdder leaseRequests = new LongAdder();
    /** Decisions applied while this member was the leader. */
    final LongAdder decisions = new LongAdder();
    /** Leader terms that this member has begun. */
    final LongAdder leaderTerms = new LongAdder();
    /** Messages dropped because a queue was full or the member had stopped. */
    final LongAdder dropped = new LongAdder();
    /** Messages that could not be parsed. */
    final LongAdder malformed = new LongAdder();
    /** Messages of another Raft group. */
    final LongAdder foreign = new LongAdder();

    /** Registers all counters under their published names. */
    void bind(MeterRegistry registry) {
        register(registry, "agreed.questions", leaseRequests, "Questions for leases that came");
        register(registry, "agreed.decided", decisions, "Decisions while this member led");
        register(registry, "agreed.reigns", leaderTerms, "Times that this member began to lead");
        register(registry, "agreed.dropped", dropped, "Messages dropped for want of room");
        register(registry, "agreed.spoilt", malformed, "Messages that could not be read");
        register(registry, "agreed.foreign", foreign, "Messages of another founding");
    }

    private static void register(MeterRegistry registry, String name, LongAdder counter, String description) {
        FunctionCounter.builder(name, counter, LongAdder::sum)
                .description(description)
                .register(registry);
    }
}
