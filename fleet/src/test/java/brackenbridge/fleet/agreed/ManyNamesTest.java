package brackenbridge.fleet.agreed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.generation.LeaseTerms;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Many names, whose contents exceed the size of one response. The lease for all names must be extended only by a
 * response that includes all of them. Also checks the limits on names and contents.
 */
class ManyNamesTest {
    private static final LeaseTerms TERMS = new LeaseTerms(1600, 0.01);

    private static AgreedState.Result decide(AgreedState state, String name, byte[] content, long requestNumber) {
        AgreedState.Result staged = state.apply(new LogCommand.Stage(name, 0, content, "m1", 1, requestNumber));
        long version = state.find(name).map(named -> named.decided().version()).orElse(0L);
        state.apply(new LogCommand.Activate(name, version, state.leaderTerm()));
        return staged;
    }

    private static AgreedState stateWithLeaderTerm() {
        AgreedState state = new AgreedState();
        state.apply(new LogCommand.BeginTerm("m1", 1, 1));
        return state;
    }

    @Test
    void incompleteResponseDoesNotExtendLease() {
        AgreedState state = stateWithLeaderTerm();
        for (int i = 0; i < 4; i++) {
            decide(state, "name-" + i, new byte[AgreedState.MAX_CONTENT_BYTES], i + 1);
        }
        LeaderLeases leases = new LeaderLeases(TERMS, state, 0);
        LeaseView view = LeaseView.start(7).startRequest(100);
        AgreementMessage.RenewalResponse first = leases.renew(100, "m2", view.renewalRequest(), "f");
        assertFalse(first.complete());
        view = view.onRenewalResponse(first, (name, content) -> true);
        assertFalse(view.leaseUntilMs() > 100, "some names are still missing");
        AgreementMessage.RenewalResponse response = first;
        for (int attempt = 0; !response.complete() && attempt < 4; attempt++) {
            view = view.startRequest(200 + attempt);
            response = leases.renew(200 + attempt, "m2", view.renewalRequest(), "f");
            view = view.onRenewalResponse(response, (name, content) -> true);
        }
        assertTrue(response.complete());
        assertEquals(4, view.names().size());
        assertTrue(view.leaseUntilMs() > 1700);
    }

    @Test
    void nameCountAndTotalBytesAreBounded() {
        AgreedState state = stateWithLeaderTerm();
        for (int i = 0; i < AgreedState.MAX_NAMES; i++) {
            assertEquals(AgreedState.Result.STAGED, decide(state, "name-" + i, new byte[8], i + 1));
        }
        assertEquals(AgreedState.Result.FULL, decide(state, "one too many", new byte[8], 99_999));
        AgreedState fullState = stateWithLeaderTerm();
        long maxContents = AgreedState.MAX_TOTAL_BYTES / AgreedState.MAX_CONTENT_BYTES;
        for (int i = 0; i < maxContents; i++) {
            assertEquals(
                    AgreedState.Result.STAGED,
                    decide(fullState, "name-" + i, new byte[AgreedState.MAX_CONTENT_BYTES], i + 1));
        }
        assertEquals(AgreedState.Result.FULL, decide(fullState, "another", new byte[8], 99_999));
        AgreedState restoredState = new AgreedState();
        restoredState.restore(fullState.snapshot());
        assertEquals(
                AgreedState.Result.FULL,
                decide(restoredState, "another", new byte[8], 99_999),
                "restored state counts its content bytes");
        assertEquals(List.of(), restoredState.find("another").stream().toList());
    }
}
