package brackenbridge.fleet.agreed;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.fleet.agreed.Agreed.Verdict;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class AgreedNodeTest {
    @TempDir
    Path root;
    private Members members;

    private static byte[] bytes(String s) {
        return s.getBytes(StandardCharsets.UTF_8);
    }

    private Verdict propose(String at, long expected, String content) throws Exception {
        return members.node(at).propose(Agreed.SETTINGS, expected, bytes(content), 5000)
                .get(8, java.util.concurrent.TimeUnit.SECONDS);
    }

    private String awaitLeader() {
        return await().atMost(Duration.ofSeconds(10)).until(() -> members.leader(), l -> !l.isEmpty());
    }

    private void awaitActs(long generation) {
        await().atMost(Duration.ofSeconds(10)).until(() -> members.all().stream().allMatch(n -> n.acting(
                Agreed.SETTINGS).map(a -> a.other() == null && a.one().generation() == generation).orElse(false)));
    }

    @AfterEach
    void nobodyContradicts() {
        members.close();
        assertTrue(members.looked() > 100, "looked " + members.looked());
        assertEquals(java.util.List.of(), members.breaches());
    }

    @Test
    void aProposalFromAMemberThatDoesNotVoteIsInForceAtAllAndOneMadeAgainstAnOlderIsNot() throws Exception {
        members = new Members(4, root, 1);
        awaitLeader();
        assertEquals(Verdict.IN_FORCE, propose("m3", 0, "a"));
        awaitActs(1);
        assertEquals(Verdict.OVERTAKEN, propose("m0", 0, "b"));
        assertEquals(Verdict.IN_FORCE, propose("m0", 1, "b"));
        awaitActs(2);
        assertEquals("b", new String(members.node("m3").known(Agreed.SETTINGS).orElseThrow().content(),
                StandardCharsets.UTF_8));
    }
}
