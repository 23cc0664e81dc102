package brackenbridge.fleet.agreed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.generation.Terms;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Hundreds of names, and contents that have no room in one answer: a lease for all names needs all of them told. */
class ManyNamesTest {
    private static final Terms TERMS = new Terms(1600, 0.01);

    private static State.Result decide(State state, String name, byte[] content, long number) {
        State.Result staged = state.apply(new Op.Stage(name, 0, content, "m1", 1, number));
        long version = state.named(name).map(named -> named.word().version()).orElse(0L);
        state.apply(new Op.Activate(name, version, state.reign()));
        return staged;
    }

    private static State reigning() {
        State state = new State();
        state.apply(new Op.Reign("m1", 1, 1));
        return state;
    }

    @Test
    void anAnswerWithoutRoomForAllNamesLendsNoLeaseForAllOfThem() {
        State state = reigning();
        for (int i = 0; i < 4; i++) {
            decide(state, "name-" + i, new byte[State.MAX_CONTENT], i + 1);
        }
        Lead lead = new Lead(TERMS, state, 0);
        Part part = Part.start(7).asks(100);
        Note.Answer first = lead.asked(100, "m2", part.question(), "f");
        assertFalse(first.whole());
        part = part.told(first, (name, content) -> true);
        assertFalse(part.leaseUntilMs() > 100, "names are missing still");
        Note.Answer next = first;
        for (int asked = 0; !next.whole() && asked < 4; asked++) {
            part = part.asks(200 + asked);
            next = lead.asked(200 + asked, "m2", part.question(), "f");
            part = part.told(next, (name, content) -> true);
        }
        assertTrue(next.whole());
        assertEquals(4, part.names().size());
        assertTrue(part.leaseUntilMs() > 1700);
    }

    @Test
    void namesAndBytesAreBounded() {
        State state = reigning();
        for (int i = 0; i < State.MAX_NAMES; i++) {
            assertEquals(State.Result.STAGED, decide(state, "name-" + i, new byte[8], i + 1));
        }
        assertEquals(State.Result.FULL, decide(state, "one too many", new byte[8], 99_999));
        State large = reigning();
        long most = State.MAX_BYTES / State.MAX_CONTENT;
        for (int i = 0; i < most; i++) {
            assertEquals(State.Result.STAGED, decide(large, "name-" + i, new byte[State.MAX_CONTENT], i + 1));
        }
        assertEquals(State.Result.FULL, decide(large, "another", new byte[8], 99_999));
        State copy = new State();
        copy.restore(large.image());
        assertEquals(State.Result.FULL, decide(copy, "another", new byte[8], 99_999), "a copy knows its bytes as well");
        assertEquals(List.of(), copy.named("another").stream().toList());
    }
}
