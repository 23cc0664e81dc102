package brackenbridge.fleet.peer;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The message type of the failure detector: a heartbeat with gossip and requests for indirect probes (SWIM, section
 * 3.1).
 *
 * @param flags combination of {@link #REPLY_NOW}, {@link #PROBE_REPLY} and {@link #LEAVING}
 * @param sequence sequence number of the sender's messages to this receiver
 * @param ackSequence greatest sequence number that the sender received on this connection; 0 stands for the handshake
 * @param ackDelayMs time since that message was received, by the sender's clock
 * @param refutationNumber the sender's refutation number (SWIM's incarnation number); grows with each refutation
 * @param entries the gossip about members
 * @param probeRequests the members that the receiver is asked to probe
 */
record SwimMessage(
        int flags,
        int sequence,
        int ackSequence,
        double ackDelayMs,
        int refutationNumber,
        List<Entry> entries,
        List<String> probeRequests) {
    /** Requests an immediate reply. */
    static final int REPLY_NOW = 1;
    /** The message replies to a probe request. */
    static final int PROBE_REPLY = 2;
    /** The sender is shutting down. */
    static final int LEAVING = 4;

    static final int MAX_ENTRIES = 64;
    static final int MAX_PROBE_REQUESTS = 32;
    private static final MemberStatus[] STATUSES = MemberStatus.values();

    /**
     * A gossip entry: the sender's view of a member.
     *
     * @param name the member's name
     * @param incarnation its incarnation
     * @param instance the instance number of its process
     * @param refutationNumber the greatest known refutation number of this incarnation
     * @param status its status
     * @param left whether it announced its shutdown
     * @param ageMs time since it was last known to be alive; negative if unknown
     */
    record Entry(
            String name,
            long incarnation,
            long instance,
            int refutationNumber,
            MemberStatus status,
            boolean left,
            double ageMs) {}

    boolean has(int flag) {
        return (flags & flag) != 0;
    }

    byte[] encode() {
        int maxBytes = 24
                + entries.size() * (27 + PeerLimits.MAX_NAME_BYTES)
                + probeRequests.size() * (1 + PeerLimits.MAX_NAME_BYTES);
        ByteBuffer out = ByteBuffer.allocate(maxBytes);
        out.put((byte) flags)
                .putInt(sequence)
                .putInt(ackSequence)
                .putFloat((float) ackDelayMs)
                .putInt(refutationNumber);
        out.put((byte) entries.size()).put((byte) probeRequests.size());
        for (Entry entry : entries) {
            WireFormat.writeText(out, entry.name());
            out.putLong(entry.incarnation()).putLong(entry.instance()).putInt(entry.refutationNumber());
            out.put((byte) (entry.status().ordinal() | (entry.left() ? 16 : 0)))
                    .putFloat((float) Math.max(-1, entry.ageMs()));
        }
        for (String target : probeRequests) {
            WireFormat.writeText(out, target);
        }
        return Arrays.copyOf(out.array(), out.position());
    }

    static SwimMessage decode(byte[] bytes) throws WireException {
        return WireFormat.readAll(bytes, SwimMessage::decodeFields);
    }

    private static SwimMessage decodeFields(ByteBuffer in) throws WireException {
        int flags = in.get() & 0xff;
        int sequence = in.getInt();
        int ackSequence = in.getInt();
        double ackDelayMs = WireFormat.readDurationMs(in);
        int refutationNumber = in.getInt();
        int entries = in.get() & 0xff;
        int targetCount = in.get() & 0xff;
        if (sequence < 0
                || ackSequence < 0
                || refutationNumber < 0
                || entries > MAX_ENTRIES
                || targetCount > MAX_PROBE_REQUESTS) {
            throw new WireException("SWIM message field out of range");
        }
        List<Entry> decodedEntries = new ArrayList<>(entries);
        for (int i = 0; i < entries; i++) {
            decodedEntries.add(decodeEntry(in));
        }
        List<String> targets = new ArrayList<>(targetCount);
        for (int i = 0; i < targetCount; i++) {
            targets.add(WireFormat.readName(in));
        }
        return new SwimMessage(flags, sequence, ackSequence, ackDelayMs, refutationNumber, decodedEntries, targets);
    }

    private static Entry decodeEntry(ByteBuffer in) throws WireException {
        String name = WireFormat.readName(in);
        long incarnation = in.getLong();
        long instance = in.getLong();
        int refutationNumber = in.getInt();
        int status = in.get() & 0xff;
        float age = in.getFloat();
        if ((status & 15) >= STATUSES.length || status > 31 || refutationNumber < 0 || Float.isNaN(age)) {
            throw new WireException("SWIM entry field out of range");
        }
        return new Entry(name, incarnation, instance, refutationNumber, STATUSES[status & 15], status > 15, age);
    }
}
