package brackenbridge.fleet.control;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.fleet.control.ControlMessage.Acknowledge;
import brackenbridge.fleet.control.ControlMessage.ResumeVersion;
import brackenbridge.fleet.control.DistributionModel.Receiver;
import brackenbridge.fleet.control.DistributionModel.ResourcesReceiver;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Explores every short history of one node and two control machines, with lagging machines, reconnects and late
 * messages; and long random histories of three names and three machines. A version is never replaced by an older one, a
 * heartbeat never overtakes a version that was in force when it was sent, and one more connection brings the node up to
 * date.
 */
class DistributionTest {
    private static final String NAME = "settings/tier-1";
    private static final int DEPTH = 7;
    private static final int ACTIONS = 9;

    private static void apply(DistributionModel model, int action) {
        switch (action) {
            case 0, 1 -> {
                model.decide(0);
                model.learn(action, 0);
            }
            case 2 -> model.learn(0, 0);
            case 3 -> model.learn(1, 0);
            case 4 -> model.connect(0);
            case 5 -> model.connect(1);
            case 6 -> model.deliver();
            case 7 -> model.deliverLate();
            default -> model.heartbeat();
        }
    }

    /** Runs every history of {@link #DEPTH} actions and settles each at its end. */
    private static int explore(Supplier<Receiver> receiver) {
        int histories = 1;
        for (int i = 0; i < DEPTH; i++) {
            histories *= ACTIONS;
        }
        for (int history = 0; history < histories; history++) {
            DistributionModel model = new DistributionModel(List.of(NAME), 2, receiver.get());
            for (int step = 0, rest = history; step < DEPTH; step++, rest /= ACTIONS) {
                apply(model, rest % ACTIONS);
            }
            model.settle(List.of());
        }
        return histories;
    }

    @Test
    void everyShortHistoryKeepsTheNewestVersion() {
        assertTrue(explore(() -> new ResourcesReceiver(List.of(NAME), List.of())) > 4_000_000);
    }

    /** A faulty node that applies every version that it receives. */
    private static final class AcceptAllReceiver implements Receiver {
        private final Function<Resource, ResumeVersion> toResumeVersion;
        private ResumeVersion resumeVersion = new ResumeVersion(NAME, 0, 0);

        AcceptAllReceiver(Function<Resource, ResumeVersion> remembers) {
            this.toResumeVersion = remembers;
        }

        @Override
        public Optional<Acknowledge> offer(Resource resource) {
            resumeVersion = toResumeVersion.apply(resource);
            return Optional.of(new Acknowledge(NAME, resource.version(), true, ""));
        }

        @Override
        public long applied(String name) {
            return resumeVersion.applied();
        }

        @Override
        public List<ResumeVersion> versions() {
            return List.of(resumeVersion);
        }
    }

    @Test
    void modelDetectsANodeThatAppliesALateMessage() {
        assertThrows(
                AssertionError.class,
                () -> explore(() -> new AcceptAllReceiver(
                        resource -> new ResumeVersion(NAME, resource.version(), resource.version()))));
    }

    @Test
    void modelDetectsANodeThatForgetsItsVersions() {
        assertThrows(
                AssertionError.class,
                () -> explore(() -> new AcceptAllReceiver(resource -> new ResumeVersion(NAME, 0, 0))));
    }

    @Property(tries = 400)
    void longRandomHistoriesKeepTheNewestVersions(
            @ForAll @Size(max = 300) List<@IntRange(max = 35) Integer> actions,
            @ForAll @Size(max = 3) List<@IntRange(min = 1, max = 6) Integer> rejected) {
        List<String> names = List.of("a", "b", "c");
        List<Long> rejectedVersions = rejected.stream().map(Integer::longValue).toList();
        DistributionModel model = new DistributionModel(names, 3, new ResourcesReceiver(names, rejectedVersions));
        for (int action : actions) {
            int index = action % 3;
            switch (action / 3) {
                case 0 -> model.decide(index);
                case 1, 2 -> model.learn(index, 0);
                case 3, 4 -> model.learn(index, 1);
                case 5 -> model.learn(index, 2);
                case 6 -> model.connect(index);
                case 7 -> model.deliverLate();
                case 8 -> model.heartbeat();
                default -> model.deliver();
            }
        }
        model.settle(rejectedVersions);
    }
}
