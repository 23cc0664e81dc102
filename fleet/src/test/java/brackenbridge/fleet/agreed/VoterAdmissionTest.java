package brackenbridge.fleet.agreed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brackenbridge.fleet.agreed.VoterAdmission.Self;
import brackenbridge.fleet.agreed.VoterAdmission.Step;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class VoterAdmissionTest {
    private static final List<String> VOTERS = List.of("a", "b", "c");
    private static final List<String> FOUNDING = List.of("a@1", "b@1", "c@1");
    private static final AgreementMessage.Facts EMPTY = facts(List.of(), "", List.of(), 0, "", 0, 0);

    private static AgreementMessage.Facts facts(
            List<String> founding,
            String follows,
            List<String> members,
            long since,
            String seenDisk,
            long seenStarts,
            long seenLife) {
        return new AgreementMessage.Facts("1", founding, follows, members, since, seenDisk, seenStarts, seenLife);
    }

    private static Self empty(String name, String disk) {
        return new Self(new VoterEndpoint(name, disk), 1, 9, List.of(), false, 0);
    }

    private static Step step(Self self, Map<String, AgreementMessage.Facts> answers) {
        return VoterAdmission.step(self, VOTERS, answers);
    }

    @Test
    void theFirstVoterAloneFoundsAndOnlyWhenAllAreThereAndNobodyKnowsOfAFounding() {
        assertEquals(Step.WAIT, step(empty("a", "1"), Map.of("b", EMPTY)));
        assertEquals(Step.WAIT, step(empty("a", "1"), Map.of("b", EMPTY, "not a voter", EMPTY)));
        assertEquals(Step.BOOTSTRAP, step(empty("a", "1"), Map.of("b", EMPTY, "c", EMPTY)));
        assertEquals(Step.WAIT, step(empty("b", "1"), Map.of("a", EMPTY, "c", EMPTY)));
        assertEquals(
                Step.SPLIT,
                step(
                        empty("a", "1"),
                        Map.of("b", EMPTY, "c", EMPTY, "d", facts(List.of(), "other", List.of(), 0, "", 0, 0))));
    }

    @Test
    void anEmptyDiskTakesPartAsItselfOnlyIfItIsTheOneThatWasFoundedWith() {
        AgreementMessage.Facts founded = facts(FOUNDING, "", List.of(), 0, "", 0, 0);
        assertEquals(Step.START, step(empty("b", "1"), Map.of("a", founded)));
        // A copy from before the founding, of a disk that has been started since.
        assertEquals(Step.PUT_ASIDE, step(empty("b", "1"), Map.of("a", facts(FOUNDING, "", List.of(), 0, "1", 2, 8))));
        assertEquals(Step.JOIN, step(empty("b", "2"), Map.of("a", founded)));
        assertEquals(Step.JOIN, step(empty("a", "2"), Map.of("b", founded, "c", EMPTY)));
        assertEquals(
                Step.SPLIT,
                step(empty("b", "2"), Map.of("a", founded, "c", facts(List.of("x@1"), "", List.of(), 0, "", 0, 0))));
    }

    @Test
    void aDiskStartsWithAMajoritysWordUnlessItIsOldCopiedOrReplaced() {
        Self self = new Self(new VoterEndpoint("b", "1"), 5, 9, FOUNDING, false, 0);
        assertEquals(Step.WAIT, step(self, Map.of()));
        assertEquals(Step.START, step(self, Map.of("a", facts(FOUNDING, "", FOUNDING, 0, "1", 4, 8))));
        assertEquals(Step.START, step(self, Map.of("a", facts(FOUNDING, "", FOUNDING, 0, "1", 5, 9))));
        assertEquals(Step.PUT_ASIDE, step(self, Map.of("a", facts(FOUNDING, "", FOUNDING, 0, "1", 6, 9))));
        assertEquals(Step.PUT_ASIDE, step(self, Map.of("a", facts(FOUNDING, "", FOUNDING, 0, "1", 5, 8))));
        List<String> without = List.of("a@1", "c@1", "b@2");
        assertEquals(Step.PUT_ASIDE, step(self, Map.of("a", facts(FOUNDING, "", without, 7, "2", 1, 8))));
        // Members of before it joined say nothing against it.
        Self later = new Self(new VoterEndpoint("b", "2"), 5, 9, FOUNDING, false, 8);
        assertEquals(Step.START, step(later, Map.of("a", facts(FOUNDING, "", FOUNDING, 0, "2", 4, 8))));
        Self joining = new Self(new VoterEndpoint("b", "3"), 5, 9, FOUNDING, true, 0);
        assertEquals(Step.JOIN, step(joining, Map.of("a", facts(FOUNDING, "", without, 7, "", 0, 0))));
    }
}
