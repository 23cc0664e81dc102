package brackenbridge.fleet.control;

import brackenbridge.clock.Clock;
import brackenbridge.fleet.peer.Member;
import brackenbridge.fleet.peer.MessageStream;
import brackenbridge.fleet.peer.PeerLinks;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports of the control machines to each other: each sends its own to all others at a fixed rate and keeps the last of
 * each. A report that is lost is made up for by the next.
 */
public final class ReportExchange {
    private static final Logger LOG = LoggerFactory.getLogger(ReportExchange.class);
    /** Longest report; bytes. */
    private static final int MAX_BYTES = 512 * 1024;

    private static final ObjectMapper MAPPER = CBORMapper.builder(CBORFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(10)
                            .maxDocumentLength(MAX_BYTES)
                            .maxStringLength(1024)
                            .build())
                    .build())
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .build();

    /**
     * A report with its age.
     *
     * @param report the report
     * @param ageMs how long ago it came, in milliseconds
     */
    public record AgedReport(MachineReport report, double ageMs) {}

    private record Received(MachineReport report, double atMs) {}

    private final PeerLinks links;
    private final Clock clock;
    private final Map<String, Received> latest = new ConcurrentHashMap<>();

    /** Exchanges over these links, which are not started yet. */
    public ReportExchange(PeerLinks links, Clock clock) {
        this.links = links;
        this.clock = clock;
        links.setReceiver(MessageStream.CONTROL, (peer, life, body) -> onReport(peer, body));
    }

    private void onReport(String peer, byte[] body) {
        try {
            MachineReport report = body.length > MAX_BYTES ? null : MAPPER.readValue(body, MachineReport.class);
            if (report == null || !report.machine().equals(peer)) {
                throw new IOException("not a report of " + peer + ", " + body.length + " bytes");
            }
            latest.put(peer, new Received(report, clock.nowMs()));
        } catch (IOException | RuntimeException e) {
            LOG.warn("{} sends what is no report: {}", peer, e.getMessage());
        }
    }

    /** Sends this machine's report to all others. */
    public void send(MachineReport own) {
        latest.put(own.machine(), new Received(own, clock.nowMs()));
        byte[] body;
        try {
            body = MAPPER.writeValueAsBytes(own);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        for (Member peer : links.peers()) {
            links.send(peer.name(), MessageStream.CONTROL, body);
        }
    }

    /** The last report of each machine, this one's too. */
    public List<AgedReport> latestReports() {
        double now = clock.nowMs();
        List<AgedReport> all = new ArrayList<>();
        latest.values().forEach(last -> all.add(new AgedReport(last.report(), now - last.atMs())));
        all.sort(java.util.Comparator.comparing(dated -> dated.report().machine()));
        return all;
    }
}
