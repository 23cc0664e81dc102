package brackenbridge.fleet.agreed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brackenbridge.fleet.agreed.VoterAdmission.LocalVoter;
import brackenbridge.fleet.agreed.VoterAdmission.Step;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The steps of a starting voter, by its disk and by the responses of the other members. */
class VoterAdmissionTest {
    private static final List<String> VOTERS = List.of("a", "b", "c");
    private static final List<String> BOOTSTRAP_VOTERS = List.of("a@1", "b@1", "c@1");
    private static final AgreementMessage.HelloResponse EMPTY = response(List.of(), "", List.of(), 0, "", 0, 0);

    private static AgreementMessage.HelloResponse response(
            List<String> bootstrapVoters,
            String followedGroup,
            List<String> members,
            long membersLogIndex,
            String lastSeenDiskId,
            long lastSeenStartCount,
            long lastSeenIncarnation) {
        return new AgreementMessage.HelloResponse(
                "1",
                bootstrapVoters,
                followedGroup,
                members,
                membersLogIndex,
                lastSeenDiskId,
                lastSeenStartCount,
                lastSeenIncarnation);
    }

    private static LocalVoter voterWithEmptyDisk(String name, String disk) {
        return new LocalVoter(new VoterEndpoint(name, disk), 1, 9, List.of(), false, 0);
    }

    private static Step nextStep(LocalVoter self, Map<String, AgreementMessage.HelloResponse> responses) {
        return VoterAdmission.nextStep(self, VOTERS, responses);
    }

    @Test
    void onlyFirstVoterBootstrapsAndOnlyIfAllRespondAndNoneKnowsAGroup() {
        assertEquals(Step.WAIT, nextStep(voterWithEmptyDisk("a", "1"), Map.of("b", EMPTY)));
        assertEquals(Step.WAIT, nextStep(voterWithEmptyDisk("a", "1"), Map.of("b", EMPTY, "not a voter", EMPTY)));
        assertEquals(Step.BOOTSTRAP, nextStep(voterWithEmptyDisk("a", "1"), Map.of("b", EMPTY, "c", EMPTY)));
        assertEquals(Step.WAIT, nextStep(voterWithEmptyDisk("b", "1"), Map.of("a", EMPTY, "c", EMPTY)));
        assertEquals(
                Step.SPLIT,
                nextStep(
                        voterWithEmptyDisk("a", "1"),
                        Map.of("b", EMPTY, "c", EMPTY, "d", response(List.of(), "other", List.of(), 0, "", 0, 0))));
    }

    @Test
    void emptyDiskStartsOnlyAsBootstrapVoterElseJoins() {
        AgreementMessage.HelloResponse response = response(BOOTSTRAP_VOTERS, "", List.of(), 0, "", 0, 0);
        assertEquals(Step.START, nextStep(voterWithEmptyDisk("b", "1"), Map.of("a", response)));
        // A copy made before the bootstrap, of a disk that has been started again since.
        assertEquals(
                Step.PUT_ASIDE,
                nextStep(
                        voterWithEmptyDisk("b", "1"),
                        Map.of("a", response(BOOTSTRAP_VOTERS, "", List.of(), 0, "1", 2, 8))));
        assertEquals(Step.JOIN, nextStep(voterWithEmptyDisk("b", "2"), Map.of("a", response)));
        assertEquals(Step.JOIN, nextStep(voterWithEmptyDisk("a", "2"), Map.of("b", response, "c", EMPTY)));
        assertEquals(
                Step.SPLIT,
                nextStep(
                        voterWithEmptyDisk("b", "2"),
                        Map.of("a", response, "c", response(List.of("x@1"), "", List.of(), 0, "", 0, 0))));
    }

    @Test
    void usedDiskStartsAfterMajorityRespondsUnlessOldCopiedOrReplaced() {
        LocalVoter self = new LocalVoter(new VoterEndpoint("b", "1"), 5, 9, BOOTSTRAP_VOTERS, false, 0);
        assertEquals(Step.WAIT, nextStep(self, Map.of()));
        assertEquals(
                Step.START,
                nextStep(self, Map.of("a", response(BOOTSTRAP_VOTERS, "", BOOTSTRAP_VOTERS, 0, "1", 4, 8))));
        assertEquals(
                Step.START,
                nextStep(self, Map.of("a", response(BOOTSTRAP_VOTERS, "", BOOTSTRAP_VOTERS, 0, "1", 5, 9))));
        assertEquals(
                Step.PUT_ASIDE,
                nextStep(self, Map.of("a", response(BOOTSTRAP_VOTERS, "", BOOTSTRAP_VOTERS, 0, "1", 6, 9))));
        assertEquals(
                Step.PUT_ASIDE,
                nextStep(self, Map.of("a", response(BOOTSTRAP_VOTERS, "", BOOTSTRAP_VOTERS, 0, "1", 5, 8))));
        List<String> without = List.of("a@1", "c@1", "b@2");
        assertEquals(
                Step.PUT_ASIDE, nextStep(self, Map.of("a", response(BOOTSTRAP_VOTERS, "", without, 7, "2", 1, 8))));
        // A list of voters from before this voter joined is no evidence that it was replaced.
        LocalVoter replacement = new LocalVoter(new VoterEndpoint("b", "2"), 5, 9, BOOTSTRAP_VOTERS, false, 8);
        assertEquals(
                Step.START,
                nextStep(replacement, Map.of("a", response(BOOTSTRAP_VOTERS, "", BOOTSTRAP_VOTERS, 0, "2", 4, 8))));
        LocalVoter joining = new LocalVoter(new VoterEndpoint("b", "3"), 5, 9, BOOTSTRAP_VOTERS, true, 0);
        assertEquals(Step.JOIN, nextStep(joining, Map.of("a", response(BOOTSTRAP_VOTERS, "", without, 7, "", 0, 0))));
    }
}
