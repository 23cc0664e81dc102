package brackenbridge.lab.soak;

import brackenbridge.core.ServerEndpoint;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.lab.live.StandInFaults;
import brackenbridge.lab.rules.RuleChecker.Answer;
import java.util.EnumSet;
import java.util.Set;

/** The faults that a play does wrong on purpose, each at its first opportunity; for the play's event loop. */
final class InjectedFaults implements StandInFaults {
    private static final long RAISED_BY_MS = 1000;

    private final EnumSet<SoakFault> pending = EnumSet.noneOf(SoakFault.class);
    private final EnumSet<SoakFault> chosen = EnumSet.noneOf(SoakFault.class);

    InjectedFaults(Set<SoakFault> faults) {
        pending.addAll(faults);
        chosen.addAll(faults);
    }

    /** Whether it is among those of the play. */
    boolean has(SoakFault fault) {
        return chosen.contains(fault);
    }

    /** Whether it is to be done now; true once. */
    boolean take(SoakFault fault) {
        return pending.remove(fault);
    }

    /** What an answer counts as: one that was served to a request that must not be repeated counts once as refused. */
    Answer answer(Answer answer, boolean unsafe) {
        boolean refused = answer == Answer.SERVED && unsafe && take(SoakFault.REFUSED_AFTER_RUN);
        return refused ? Answer.REFUSED : answer;
    }

    @Override
    public boolean repeatsRequest(boolean unsafe) {
        return unsafe && take(SoakFault.REPEATED_REQUEST);
    }

    @Override
    public String answeredId(String id) {
        return take(SoakFault.FOREIGN_BODY) ? "another" : id;
    }

    @Override
    public long timeRead(long toldMs) {
        return take(SoakFault.TIME_RAISED) ? toldMs + RAISED_BY_MS : toldMs;
    }

    @Override
    public boolean withholds(ServerEndpoint change) {
        return change.state() == EndpointState.DRAINING && take(SoakFault.UNHEARD_DRAIN);
    }
}
