package brackenbridge.fleet.control;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.fleet.control.ControlMessage.Acknowledge;
import brackenbridge.fleet.control.ControlMessage.MachineHeartbeat;
import brackenbridge.fleet.control.ControlMessage.NodeHeartbeat;
import brackenbridge.fleet.control.ControlMessage.Reject;
import brackenbridge.fleet.control.ControlMessage.ResumeVersion;
import brackenbridge.fleet.control.ControlMessage.Subscribe;
import brackenbridge.fleet.control.ControlMessage.Update;
import brackenbridge.fleet.control.ControlMessage.Welcome;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Messages survive encoding; malformed input causes a {@link ProtocolException} with a reason. */
class ControlCodecTest {
    private static final List<ControlMessage> MESSAGES = List.of(
            new Subscribe("fleet", "n1", "north", 7, List.of(new ResumeVersion("settings/tier-1", 4, 3))),
            new Acknowledge("settings/tier-1", 5, false, "no settings.classes"),
            new NodeHeartbeat(12),
            new Welcome("c1", 750),
            new MachineHeartbeat(13, true),
            new Reject(SubscriptionRejection.BUSY, 1250));

    @Test
    void everyMessageSurvivesEncoding() throws ProtocolException {
        for (ControlMessage message : MESSAGES) {
            assertEquals(message, ControlCodec.decode(ControlCodec.encode(message)));
        }
        byte[] content = new byte[Resource.MAX_CONTENT_BYTES];
        Arrays.fill(content, (byte) 7);
        byte[] longest =
                ControlCodec.encode(new Update(new Resource("x".repeat(Resource.MAX_NAME_LENGTH), 9, content)));
        assertTrue(longest.length <= ControlCodec.MAX_MESSAGE_BYTES, longest.length + " bytes");
        Update decoded = (Update) ControlCodec.decode(longest);
        assertArrayEquals(content, decoded.resource().content());
    }

    @Test
    void heartbeatsAreShort() {
        assertTrue(ControlFrames.encode(new MachineHeartbeat(1_000_000, true)).length <= 16);
        assertTrue(ControlFrames.encode(new NodeHeartbeat(1_000_000)).length <= 16);
    }

    private static SubscriptionRejection rejectionOf(byte[] bytes) {
        return assertThrows(ProtocolException.class, () -> ControlCodec.decode(bytes))
                .rejection();
    }

    @Test
    void unknownVersionsAndKindsAndTruncatedMessagesAreRejectedWithAReason() {
        byte[] encoded = ControlCodec.encode(MESSAGES.get(0));
        byte[] otherVersion = encoded.clone();
        otherVersion[0] = 2;
        assertEquals(SubscriptionRejection.UNKNOWN_PROTOCOL_VERSION, rejectionOf(otherVersion));
        byte[] otherKind = encoded.clone();
        otherKind[1] = 99;
        assertEquals(SubscriptionRejection.UNREADABLE, rejectionOf(otherKind));
        assertEquals(SubscriptionRejection.UNREADABLE, rejectionOf(new byte[] {1}));
        assertEquals(SubscriptionRejection.UNREADABLE, rejectionOf(Arrays.copyOf(encoded, encoded.length - 3)));
        assertEquals(SubscriptionRejection.UNREADABLE, rejectionOf(Arrays.copyOf(encoded, encoded.length + 3)));
    }

    @Test
    void valuesOutOfBoundsAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> new Resource("a", 0, new byte[0]));
        assertThrows(IllegalArgumentException.class, () -> new Resource("", 1, new byte[0]));
        assertThrows(
                IllegalArgumentException.class, () -> new Resource("a", 1, new byte[Resource.MAX_CONTENT_BYTES + 1]));
        assertThrows(IllegalArgumentException.class, () -> new ResumeVersion("a", 1, 2));
    }

    @Property(tries = 2000)
    void randomBytesAreReadOrCauseAProtocolException(@ForAll @Size(max = 200) byte[] bytes) {
        byte[] headed = bytes.clone();
        if (headed.length > 1) {
            headed[0] = ControlCodec.VERSION;
            headed[1] = (byte) (headed[1] & 7);
        }
        for (byte[] candidate : List.of(bytes, headed)) {
            try {
                ControlCodec.decode(candidate);
            } catch (ProtocolException e) {
                assertTrue(e.getMessage() != null);
            }
        }
    }

    @Property(tries = 1000)
    void corruptedMessagesAreReadOrRejected(@ForAll int messageIndex, @ForAll int byteIndex, @ForAll byte value) {
        byte[] bytes = ControlCodec.encode(MESSAGES.get(Math.floorMod(messageIndex, MESSAGES.size())));
        bytes[Math.floorMod(byteIndex, bytes.length)] = value;
        try {
            ControlCodec.decode(bytes);
        } catch (ProtocolException e) {
            assertTrue(e.rejection() == SubscriptionRejection.UNREADABLE
                    || e.rejection() == SubscriptionRejection.UNKNOWN_PROTOCOL_VERSION);
        }
    }
}
