package brackenbridge.fleet.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Pins the names of this package's constants in counters and responses. */
class ExternalNamesTest {
    private static final List<String> REJECTIONS = List.of(
            "unreadable",
            "version",
            "another_fleet",
            "not_the_one",
            "unknown_member",
            "old_life",
            "duplicate",
            "linked",
            "closing");

    @Test
    void rejectionCountersHavePinnedNames() {
        List<String> rejected = Arrays.stream(HandshakeRejection.values())
                .map(HandshakeRejection::rejectedCounter)
                .toList();
        List<String> rejectedByPeer = Arrays.stream(HandshakeRejection.values())
                .map(HandshakeRejection::rejectedByPeerCounter)
                .toList();
        assertEquals(REJECTIONS.stream().map(r -> "refused_" + r).toList(), rejected);
        assertEquals(REJECTIONS.stream().map(r -> "refused_by_" + r).toList(), rejectedByPeer);
    }

    @Test
    void statusesHavePinnedNames() throws JsonProcessingException {
        List<String> texts =
                Arrays.stream(MemberStatus.values()).map(MemberStatus::text).toList();
        List<String> labels =
                Arrays.stream(MemberStatus.values()).map(MemberStatus::label).toList();
        assertEquals(List.of("unknown", "alive", "suspect", "gone"), texts);
        assertEquals(List.of("UNKNOWN", "ALIVE", "SUSPECT", "GONE"), labels);
        assertEquals(
                "[\"UNKNOWN\",\"ALIVE\",\"SUSPECT\",\"GONE\"]",
                new ObjectMapper().writeValueAsString(MemberStatus.values()));
    }
}
