package brackenbridge.fleet.peer;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The one message of the failure detector: a heartbeat with gossip, and requests for indirect probes (SWIM,
 * section 3.1).
 *
 * @param flags of {@link #REPLY_NOW}, {@link #ANSWER} and {@link #FAREWELL}
 * @param sequence numbers the sender's messages to this receiver
 * @param echo greatest sequence the sender has heard from the receiver on this link; 0 is the handshake
 * @param heldMs how long ago that was, by the sender's clock
 * @param incarnation the sender's: greater after each refutation
 * @param entries the gossip: what the sender holds of members
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
    /** The receiver is to answer at once. */
    static final int REPLY_NOW = 1;
    /** It answers a request for a probe. */
    static final int PROBE_REPLY = 2;
    /** The sender shuts down. */
    static final int LEAVING = 4;

    static final int MAX_ENTRIES = 64;
    static final int MAX_PROBE_REQUESTS = 32;
    private static final MemberStatus[] STATUSES = MemberStatus.values();

    /**
     * What a member holds of another.
     *
     * @param name whose
     * @param incarnation its life
     * @param instance its process
     * @param incarnation the greatest known of this life
     * @param status as the sender holds it
     * @param left whether it has said farewell
     * @param ageMs how long ago it was surely alive; negative if that is not known
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
        int most = 24
                + entries.size() * (27 + PeerLimits.MAX_NAME_BYTES)
                + probeRequests.size() * (1 + PeerLimits.MAX_NAME_BYTES);
        ByteBuffer out = ByteBuffer.allocate(most);
        out.put((byte) flags)
                .putInt(sequence)
                .putInt(ackSequence)
                .putFloat((float) ackDelayMs)
                .putInt(refutationNumber);
        out.put((byte) entries.size()).put((byte) probeRequests.size());
        for (Entry e : entries) {
            WireFormat.text(out, e.name());
            out.putLong(e.incarnation()).putLong(e.instance()).putInt(e.refutationNumber());
            out.put((byte) (e.status().ordinal() | (e.left() ? 16 : 0))).putFloat((float) Math.max(-1, e.ageMs()));
        }
        for (String target : probeRequests) {
            WireFormat.text(out, target);
        }
        return Arrays.copyOf(out.array(), out.position());
    }

    static SwimMessage decode(byte[] bytes) throws WireException {
        return WireFormat.readAll(bytes, SwimMessage::decodeFields);
    }

    private static SwimMessage decodeFields(ByteBuffer in) throws WireException {
        int flags = in.get() & 0xff;
        int sequence = in.getInt();
        int echo = in.getInt();
        double held = WireFormat.readDurationMs(in);
        int refutationNumber = in.getInt();
        int entries = in.get() & 0xff;
        int requests = in.get() & 0xff;
        if (sequence < 0
                || echo < 0
                || refutationNumber < 0
                || entries > MAX_ENTRIES
                || requests > MAX_PROBE_REQUESTS) {
            throw new WireException("a beat beyond its bounds");
        }
        List<Entry> known = new ArrayList<>(entries);
        for (int i = 0; i < entries; i++) {
            known.add(decodeEntry(in));
        }
        List<String> wanted = new ArrayList<>(requests);
        for (int i = 0; i < requests; i++) {
            wanted.add(WireFormat.readName(in));
        }
        return new SwimMessage(flags, sequence, echo, held, refutationNumber, known, wanted);
    }

    private static Entry decodeEntry(ByteBuffer in) throws WireException {
        String name = WireFormat.readName(in);
        long incarnation = in.getLong();
        long instance = in.getLong();
        int refutationNumber = in.getInt();
        int status = in.get() & 0xff;
        float age = in.getFloat();
        if ((status & 15) >= STATUSES.length || status > 31 || refutationNumber < 0 || Float.isNaN(age)) {
            throw new WireException("an entry beyond its bounds");
        }
        return new Entry(name, incarnation, instance, refutationNumber, STATUSES[status & 15], status > 15, age);
    }
}
