package brackenbridge.fleet.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brackenbridge.clock.Clock;
import brackenbridge.fleet.GoldenFiles;
import brackenbridge.fleet.control.ControlMessage.ResumeVersion;
import brackenbridge.fleet.control.MachineReport.NodeBehind;
import brackenbridge.fleet.control.MachineReport.RegionReport;
import brackenbridge.fleet.control.MachineReport.VersionCount;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Checks the encoding of messages between nodes and control machines against the golden files. */
class GoldenFormsTest {
    private static final byte[] CONTENT = {0, 1, 127, -128, -1};
    /** Listed explicitly, so that each constant keeps its golden file when it is renamed. */
    private static final List<SubscriptionRejection> REJECTIONS = List.of(
            SubscriptionRejection.UNREADABLE,
            SubscriptionRejection.FRAME_TOO_LONG,
            SubscriptionRejection.UNKNOWN_PROTOCOL_VERSION,
            SubscriptionRejection.OTHER_FLEET,
            SubscriptionRejection.UNKNOWN_NODE,
            SubscriptionRejection.TOO_MANY_RESOURCES,
            SubscriptionRejection.NO_SUBSCRIPTION,
            SubscriptionRejection.BUSY,
            SubscriptionRejection.FULL,
            SubscriptionRejection.SLOW_READER,
            SubscriptionRejection.SILENT,
            SubscriptionRejection.REPLACED,
            SubscriptionRejection.STOPPING);

    private static final MachineReport REPORT = new MachineReport(
            "c1",
            true,
            List.of(new RegionReport(
                    "eu-1",
                    30,
                    29,
                    List.of(new VersionCount("shares", 3, 29), new VersionCount("shares", 2, 1)),
                    List.of(new NodeBehind("n7", "shares", 2, 3, "floor: is over the ceiling")))));

    private static Map<String, ControlMessage> messages() {
        Map<String, ControlMessage> messages = new LinkedHashMap<>();
        messages.put(
                "subscribe",
                new ControlMessage.Subscribe(
                        "fleet",
                        "n7",
                        "eu-1",
                        1_700_000_000_001L,
                        List.of(new ResumeVersion("settings/tier-1", 9, 8), new ResumeVersion("shares", 0, 0))));
        messages.put("acknowledge", new ControlMessage.Acknowledge("shares", 3, false, "floor: is over the ceiling"));
        messages.put("node-heartbeat", new ControlMessage.NodeHeartbeat(70_000));
        messages.put("welcome", new ControlMessage.Welcome("c1", 1000.5));
        messages.put("update", new ControlMessage.Update(new Resource("shares", 3, CONTENT)));
        messages.put("machine-heartbeat", new ControlMessage.MachineHeartbeat(70_001, true));
        for (int i = 0; i < REJECTIONS.size(); i++) {
            messages.put("refuse-" + i, new ControlMessage.Reject(REJECTIONS.get(i), 250.25));
        }
        return messages;
    }

    @Test
    void messagesMatchTheirGoldenFiles() throws IOException {
        GoldenFiles.assertAllCovered(ControlMessage.class, messages().values());
        assertEquals(SubscriptionRejection.values().length, REJECTIONS.size());
        for (Map.Entry<String, ControlMessage> message : messages().entrySet()) {
            GoldenFiles.check(
                    "control/" + message.getKey(),
                    message.getValue(),
                    ControlFrames::encode,
                    GoldenFormsTest::readFrame);
        }
    }

    private static ControlMessage readFrame(byte[] bytes) throws IOException {
        EmbeddedChannel channel = new EmbeddedChannel(ControlFrames.decoder());
        channel.writeInbound(Unpooled.wrappedBuffer(bytes));
        ByteBuf frame = channel.readInbound();
        try {
            return ControlFrames.decode(frame);
        } finally {
            frame.release();
            channel.finishAndReleaseAll();
        }
    }

    @Test
    void machineReportMatchesItsGoldenFile() throws IOException {
        GoldenFiles.check(
                "control/machine-report", REPORT, GoldenFormsTest::encodeReport, GoldenFormsTest::decodeReport);
    }

    private static byte[] encodeReport(MachineReport report) {
        RecordingLinks recording = new RecordingLinks();
        new ReportExchange(recording, Clock.system()).send(report);
        return recording.sent;
    }

    private static MachineReport decodeReport(byte[] bytes) {
        RecordingLinks recording = new RecordingLinks();
        ReportExchange exchange = new ReportExchange(recording, Clock.system());
        recording.receiver.onMessage("c1", 1, bytes);
        return exchange.latestReports().get(0).report();
    }

    @Test
    void metricNamesMatchTheirGoldenFile() throws IOException {
        SimpleMeterRegistry metrics = new SimpleMeterRegistry();
        ControlServer.Settings settings = new ControlServer.Settings(
                "fleet",
                "c1",
                new InetSocketAddress("127.0.0.1", 0),
                new NodeNames(List.of("n*")),
                ControlLimits.DEFAULTS);
        new ControlServer(settings, Clock.system(), () -> true, metrics).close();
        String names = metrics.getMeters().stream()
                .map(meter -> meter.getId().getName() + " " + meter.getId().getTags() + "\n")
                .sorted()
                .collect(Collectors.joining());
        GoldenFiles.check("control/metrics", names, String::getBytes, String::new);
    }
}
