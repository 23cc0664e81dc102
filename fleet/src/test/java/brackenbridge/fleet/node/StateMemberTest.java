package brackenbridge.fleet.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brackenbridge.fleet.agreed.AgreedValues;
import brackenbridge.fleet.peer.Member;
import brackenbridge.fleet.peer.MemberStatus;
import brackenbridge.fleet.peer.MessageStream;
import brackenbridge.fleet.peer.PeerLinks;
import brackenbridge.fleet.replica.RecordSpace;
import brackenbridge.fleet.replica.Replica;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class StateMemberTest {
    private static final String ROLE = "driver";
    private static final AgreedValues.Lease FIRST_LEASE = new AgreedValues.Lease("m0", 1, Double.POSITIVE_INFINITY);
    private static final AgreedValues.Lease LATER_LEASE = new AgreedValues.Lease("m0", 3, Double.POSITIVE_INFINITY);

    // Guards against reporting a lease with the token of an earlier one when a role is acquired again.
    @Test
    void reacquiredRoleIsReportedWithItsNewToken() throws IOException {
        StubAgreement agreement = new StubAgreement();
        PipedOutputStream lines = new PipedOutputStream();
        try (BufferedReader reported =
                        new BufferedReader(new InputStreamReader(new PipedInputStream(lines), StandardCharsets.UTF_8));
                StateMember member = new StateMember(
                        new StubLinks(),
                        new EmptyReplica(),
                        agreement,
                        new PrintStream(lines, true, StandardCharsets.UTF_8))) {
            member.start();
            agreement.lease = FIRST_LEASE;
            agreement.claim.complete(FIRST_LEASE);
            member.execute("hold " + ROLE + " 1000");
            assertEquals(FIRST_LEASE.token(), nextToken(reported));

            agreement.lease = null;
            agreement.claim = new CompletableFuture<>();
            member.execute("hold " + ROLE + " 1000");
            // The lease is valid as soon as the member knows of it, before the future of the request completes.
            agreement.lease = LATER_LEASE;
            assertEquals(LATER_LEASE.token(), nextTokenAfter(FIRST_LEASE, reported));
        }
    }

    private static long nextToken(BufferedReader reported) throws IOException {
        return nextLine(reported, "holds").get("token").asLong();
    }

    /** Skips lines about the earlier lease that were written before the later one. */
    private static long nextTokenAfter(AgreedValues.Lease earlier, BufferedReader reported) throws IOException {
        double laterLeaseMs = System.nanoTime() / 1e6;
        while (true) {
            JsonNode line = nextLine(reported, "holds");
            if (line.get("token").asLong() != earlier.token()
                    || line.get("until").asDouble() > laterLeaseMs) {
                return line.get("token").asLong();
            }
        }
    }

    private static JsonNode nextLine(BufferedReader reported, String what) throws IOException {
        while (true) {
            JsonNode line = new ObjectMapper().readTree(reported.readLine());
            if (line.get("what").asText().equals(what)) {
                return line;
            }
        }
    }

    /** An agreement in which the test controls the held lease and when a request for one completes. */
    private static final class StubAgreement implements AgreedValues {
        private volatile Lease lease;
        private volatile CompletableFuture<Lease> claim = new CompletableFuture<>();

        @Override
        public CompletableFuture<Verdict> propose(String name, long expected, byte[] content, double withinMs) {
            return CompletableFuture.completedFuture(Verdict.UNKNOWN);
        }

        @Override
        public Optional<EffectiveValues> effectiveValues(String name) {
            return Optional.empty();
        }

        @Override
        public Optional<Value> lastKnown(String name) {
            return Optional.empty();
        }

        @Override
        public CompletableFuture<Lease> acquire(String role, double forMs) {
            return claim;
        }

        @Override
        public Optional<Lease> heldLease(String role) {
            return Optional.ofNullable(lease);
        }

        @Override
        public String status() {
            return "";
        }
    }

    /** A member without peers. */
    private static final class StubLinks implements PeerLinks {
        @Override
        public Member self() {
            return new Member("m0", "127.0.0.1:0", "a");
        }

        @Override
        public long incarnation() {
            return 1;
        }

        @Override
        public List<Member> peers() {
            return List.of();
        }

        @Override
        public MemberStatus status(String peer) {
            throw new IllegalArgumentException(peer);
        }

        @Override
        public boolean send(String peer, MessageStream stream, byte[] body) {
            return false;
        }

        @Override
        public void setReceiver(MessageStream stream, Receiver receiver) {}

        @Override
        public void addWatcher(Watcher watcher) {}

        @Override
        public void start() {}

        @Override
        public void close() {}
    }

    /** A replica without records. */
    private static final class EmptyReplica implements Replica {
        @Override
        public void put(RecordSpace space, String key, byte[] value) {}

        @Override
        public void remove(RecordSpace space, String key) {}

        @Override
        public void add(RecordSpace space, String key, long increment) {}

        @Override
        public long sum(RecordSpace space, String key) {
            return 0;
        }

        @Override
        public List<ReadRecord> readAll(RecordSpace space) {
            return List.of();
        }

        @Override
        public SyncState syncState() {
            return new SyncState(true, 0, 0, false);
        }

        @Override
        public void addListener(Listener listener) {}
    }
}
