package brackenbridge.fleet.node;

import brackenbridge.fleet.replica.AntiEntropy.Difference;
import brackenbridge.fleet.replica.Replica;
import brackenbridge.fleet.replica.ReplicaNode;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Handles {@code state status}, the replication status of each member, and {@code state diff}, the differences. */
final class StateAdminHandler implements AdminHttpServer.CommandHandler {
    private static final ObjectMapper JSON = new ObjectMapper();
    private final ReplicaNode replica;

    StateAdminHandler(ReplicaNode replica) {
        this.replica = replica;
    }

    @Override
    public AdminHttpServer.Reply handle(List<String> words, byte[] body, boolean json) {
        return switch (words.isEmpty() ? "" : words.get(0)) {
            case "status" -> status(json);
            case "diff" -> diff(json);
            default -> throw new IllegalArgumentException("state status | diff");
        };
    }

    private AdminHttpServer.Reply status(boolean json) {
        Replica.SyncState syncState = replica.syncState();
        List<ReplicaNode.Status> members = replica.status();
        if (json) {
            Map<String, Object> out = new LinkedHashMap<>();
            out.put("level", syncState);
            out.put("members", members);
            out.put("figures", replica.statistics());
            return new AdminHttpServer.Reply(true, toJson(out));
        }
        StringBuilder table = new StringBuilder(String.format(
                Locale.ROOT,
                "level %s, behind %d, differing %d, out of decision %s%n%-16s %16s %10s %10s %9s %-8s %s%n",
                syncState.caughtUp(),
                syncState.missingWrites(),
                syncState.differingLogs(),
                syncState.excludedFromDecisions(),
                "member",
                "life",
                "wrote",
                "have",
                "heard ms",
                "standing",
                "put aside"));
        for (ReplicaNode.Status member : members) {
            table.append(String.format(
                    Locale.ROOT,
                    "%-16s %16d %10d %10d %9.0f %-8s %s%n",
                    member.member(),
                    member.incarnation(),
                    member.announcedSequence(),
                    member.appliedSequence(),
                    member.heartbeatAgeMs(),
                    member.status().label(),
                    member.quarantineReason() == null ? "" : member.quarantineReason()));
        }
        return new AdminHttpServer.Reply(true, table.toString());
    }

    private AdminHttpServer.Reply diff(boolean json) {
        List<Difference> differences = replica.recentDifferences();
        if (json) {
            return new AdminHttpServer.Reply(true, toJson(differences));
        }
        StringBuilder list = new StringBuilder(differences.size() + " differences found\n");
        for (Difference difference : differences) {
            list.append(difference).append('\n');
        }
        return new AdminHttpServer.Reply(true, list.toString());
    }

    private static String toJson(Object o) {
        try {
            return JSON.writeValueAsString(o);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
