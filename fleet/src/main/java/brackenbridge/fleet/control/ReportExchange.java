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
 * Exchanges reports between control machines: each sends its own to all others at a fixed rate and keeps the latest of
 * each. A lost report is superseded by the next one.
 */
public final class ReportExchange {
    private static final Logger LOG = LoggerFactory.getLogger(ReportExchange.class);
    /** Maximum length of a report in bytes. */
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
     * @param ageMs time since it was received, in milliseconds
     */
    public record AgedReport(MachineReport report, double ageMs) {}

    private record Received(MachineReport report, double atMs) {}

    private final PeerLinks links;
    private final Clock clock;
    private final Map<String, Received> latest = new ConcurrentHashMap<>();

    /** Creates an exchange over these links, which must not be started yet. */
    public ReportExchange(PeerLinks links, Clock clock) {
        this.links = links;
        this.clock = clock;
        links.setReceiver(MessageStream.CONTROL, (peer, incarnation, body) -> onReport(peer, body));
    }

    private void onReport(String peer, byte[] body) {
        try {
            MachineReport report = body.length > MAX_BYTES ? null : MAPPER.readValue(body, MachineReport.class);
            if (report == null || !report.machine().equals(peer)) {
                throw new IOException("report of " + body.length + " bytes is empty, too long or names another sender");
            }
            latest.put(peer, new Received(report, clock.nowMs()));
        } catch (IOException | RuntimeException e) {
            LOG.warn("malformed report from {}: {}", peer, e.getMessage());
        }
    }

    /** Sends this machine's report to all others. */
    public void send(MachineReport ownReport) {
        latest.put(ownReport.machine(), new Received(ownReport, clock.nowMs()));
        byte[] body;
        try {
            body = MAPPER.writeValueAsBytes(ownReport);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        for (Member peer : links.peers()) {
            links.send(peer.name(), MessageStream.CONTROL, body);
        }
    }

    /** The latest report of each machine, including this one. */
    public List<AgedReport> latestReports() {
        double now = clock.nowMs();
        List<AgedReport> reports = new ArrayList<>();
        latest.values().forEach(received -> reports.add(new AgedReport(received.report(), now - received.atMs())));
        reports.sort(java.util.Comparator.comparing(dated -> dated.report().machine()));
        return reports;
    }
}
