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
        Replica.Level level = replica.level();
        List<ReplicaNode.Status> all = replica.status();
        if (json) {
            Map<String, Object> out = new LinkedHashMap<>();
            out.put("level", level);
            out.put("members", all);
            out.put("figures", replica.figures());
            return new AdminHttpServer.Reply(true, toJson(out));
        }
        StringBuilder s = new StringBuilder(String.format(
                Locale.ROOT,
                "level %s, behind %d, differing %d, out of decision %s%n%-16s %16s %10s %10s %9s %-8s %s%n",
                level.level(),
                level.behind(),
                level.differing(),
                level.outOfDecision(),
                "member",
                "life",
                "wrote",
                "have",
                "heard ms",
                "standing",
                "put aside"));
        for (ReplicaNode.Status m : all) {
            s.append(String.format(
                    Locale.ROOT,
                    "%-16s %16d %10d %10d %9.0f %-8s %s%n",
                    m.member(),
                    m.life(),
                    m.wrote(),
                    m.have(),
                    m.heardMs(),
                    m.standing().label(),
                    m.aside() == null ? "" : m.aside()));
        }
        return new AdminHttpServer.Reply(true, s.toString());
    }

    private AdminHttpServer.Reply diff(boolean json) {
        List<Difference> found = replica.diff();
        if (json) {
            return new AdminHttpServer.Reply(true, toJson(found));
        }
        StringBuilder s = new StringBuilder(found.size() + " differences found\n");
        for (Difference d : found) {
            s.append(d).append('\n');
        }
        return new AdminHttpServer.Reply(true, s.toString());
    }

    private static String toJson(Object o) {
        try {
            return JSON.writeValueAsString(o);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
