package brackenbridge.fleet.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Detects failed members. Follows SWIM (Das, Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style
 * process group membership protocol", DSN 2002): a silent member is probed through others before it is suspected, it is
 * suspected before it is declared dead, and it refutes a suspicion by a greater incarnation number, here called the
 * refutation number. Follows Lifeguard (Dadgar, Phillips and Currey, "Lifeguard: local health awareness for more
 * accurate failure detection", 2018): a member that is itself slow suspects others later, the timeout of a suspicion
 * shrinks as others confirm it, and the suspected member is notified first.
 *
 * <p>Two things differ from the papers. First, the evidence is a lower bound of the time at which a member was last
 * alive, by this member's clock: a message acknowledges one of our messages and states the delay since its sender
 * received it, so it was sent no earlier than our send time plus that delay. A message that spent ten seconds in a full
 * socket buffer therefore does not prove that its sender is alive now. Evidence is gossiped with its age, so a member
 * that any other hears is alive for all. Second, time during which this process itself was paused is subtracted from
 * every silence.
 *
 * <p>A member's incarnation is the process that runs under its name: it grows with each start.
 *
 * <p>This class composes {@link MemberTable}, {@link LocalHealth}, {@link Suspicion}, {@link SelfRefutation},
 * {@link IndirectProber}, {@link GossipSender} and {@link GossipReceiver}. Not thread-safe. Times are milliseconds of
 * one monotonic clock.
 */
public final class FailureDetector {
    /** Silence, in heartbeat intervals, after which other members are asked to probe. */
    static final double PROBE_AFTER_INTERVALS = 3;

    private final PeerLimits limits;
    private final MemberTable members;
    private final LocalHealth localHealth;
    private final Suspicion suspicion;
    private final SelfRefutation refutation;
    private final IndirectProber prober;
    private final GossipSender gossipSender;
    private final GossipReceiver gossipReceiver;

    /** A peer's status has changed. */
    record Change(String peer, MemberStatus status, long incarnation) {}

    /** A message to be sent. */
    record OutgoingMessage(String to, SwimMessage message) {}

    /** Two processes run under one name, which may be this member's own. */
    record Conflict(String name, long incarnation, long instance, long otherIncarnation, long otherInstance) {}

    /** Creates a detector for this member in this incarnation. */
    FailureDetector(String self, long incarnation, long instance, PeerLimits limits, long seed) {
        this.limits = limits;
        Random random = new Random(seed);
        members = new MemberTable(self, random);
        localHealth = new LocalHealth(limits.heartbeatMs(), members);
        suspicion = new Suspicion(limits, members, localHealth);
        refutation = new SelfRefutation(self, incarnation, instance, members);
        prober = new IndirectProber(limits, members, localHealth);
        gossipSender = new GossipSender(limits.heartbeatMs(), members, refutation, random);
        gossipReceiver = new GossipReceiver(self, limits, members, suspicion, refutation);
    }

    /**
     * This member takes another incarnation. The caller closes its connections, whose handshakes announced the earlier
     * one.
     */
    void beginIncarnation(long nextIncarnation) {
        refutation.beginIncarnation(nextIncarnation);
    }

    /**
     * The greatest incarnation, not less than the present one, by which peers know an ended process of this member. It
     * was taken before the time of day stepped back, or recorded on a disk that was lost. {@link Long#MIN_VALUE} if
     * there is none.
     */
    long endedIncarnation() {
        return refutation.endedIncarnation();
    }

    /** Replaces the set of other members; those no longer in it are reported dead and forgotten. */
    void update(Collection<String> names) {
        members.update(names);
    }

    /**
     * A connection to this peer was established.
     *
     * @param openedAtMs when its handshake began
     * @return the messages to send
     */
    List<OutgoingMessage> onConnected(
            double now, double openedAtMs, String name, long remoteIncarnation, long remoteInstance) {
        MemberState member = members.get(name);
        refutation.onStarted(now);
        if (member == null) {
            return List.of();
        }
        member.onConnected(now, openedAtMs, remoteInstance);
        if (!member.known || remoteIncarnation > member.incarnation) {
            suspicion.beginIncarnation(now, member, remoteIncarnation, remoteInstance, MemberStatus.ALIVE);
        } else if (remoteIncarnation < member.incarnation || remoteInstance != member.instance) {
            members.recordConflict(now, member, remoteIncarnation, remoteInstance);
            return List.of();
        }
        member.recordDirectContact(openedAtMs);
        suspicion.evaluate(now, member);
        return List.of(gossipSender.newMessage(now, member, 0, List.of()));
    }

    /** The connection to this peer was closed. */
    void onDisconnected(String name) {
        MemberState member = members.get(name);
        if (member != null) {
            member.onDisconnected();
        }
    }

    /**
     * Advances the detector. Called once per heartbeat interval.
     *
     * @return the messages to send
     */
    List<OutgoingMessage> tick(double now) {
        refutation.onStarted(now);
        localHealth.onTick(now);
        List<MemberState> silent = new ArrayList<>();
        for (MemberState member : members.all()) {
            suspicion.evaluate(now, member);
            if (prober.needsProbe(now, member)) {
                silent.add(member);
            }
        }
        Map<String, List<String>> probeRequests = prober.chooseHelpers(silent);
        List<OutgoingMessage> out = new ArrayList<>();
        for (MemberState member : members.all()) {
            if (member.connected) {
                List<String> targets = probeRequests.getOrDefault(member.name, List.of());
                out.add(gossipSender.newMessage(now, member, targets.isEmpty() ? 0 : SwimMessage.REPLY_NOW, targets));
            }
        }
        return out;
    }

    /**
     * Processes a message received on the connection to this peer.
     *
     * @return the messages to send at once
     */
    List<OutgoingMessage> onMessage(
            double now, String from, long remoteIncarnation, long remoteInstance, SwimMessage message) {
        MemberState sender = members.get(from);
        if (sender == null) {
            return List.of();
        }
        // A pause of this process may be detected here before the next tick.
        localHealth.onActivity(now);
        double sentMs = sender.sendTimeLowerBound(now, message);
        if (sender.known && (remoteIncarnation != sender.incarnation || remoteInstance != sender.instance)) {
            return onOtherProcess(now, sender, remoteIncarnation, remoteInstance, sentMs);
        }
        sender.recordDirectContact(sentMs);
        sender.onSequence(now, message.sequence(), sentMs);
        sender.raiseRefutationNumber(now, message.refutationNumber());
        if (message.has(SwimMessage.LEAVING)) {
            suspicion.markLeft(now, sender);
        }
        if (message.has(SwimMessage.PROBE_REPLY)) {
            localHealth.onProbeAnswered();
        }
        List<SwimMessage.Entry> replies = new ArrayList<>();
        for (SwimMessage.Entry entry : message.entries()) {
            gossipReceiver.apply(now, sender, sentMs, entry, replies);
        }
        suspicion.evaluate(now, sender);
        List<OutgoingMessage> out = new ArrayList<>();
        onProbeRequests(now, sender, message, replies, out);
        if (!replies.isEmpty() || message.has(SwimMessage.REPLY_NOW)) {
            int flags = message.probeRequests().isEmpty() ? 0 : SwimMessage.PROBE_REPLY;
            out.add(gossipSender.newMessage(now, sender, flags, List.of(), replies));
        }
        answerProbeRequesters(now, sender, out);
        return out;
    }

    private List<OutgoingMessage> onOtherProcess(
            double now, MemberState sender, long remoteIncarnation, long remoteInstance, double sentMs) {
        if (remoteIncarnation < sender.incarnation && sender.lastAliveMs < sender.connectedAtMs) {
            // Nothing was heard of the later incarnation since the earlier one connected: it has ended. Its successor
            // started under an earlier time of day and has to be notified of it.
            return List.of(gossipSender.newMessage(
                    now, sender, SwimMessage.PROBE_REPLY, List.of(), List.of(sender.toEntry(now))));
        }
        if (remoteIncarnation == sender.incarnation || sentMs > sender.incarnationLearnedMs) {
            // Sent after another process of this name was heard of: both are running.
            members.recordConflict(now, sender, remoteIncarnation, remoteInstance);
        }
        return List.of();
    }

    private void onProbeRequests(
            double now,
            MemberState sender,
            SwimMessage message,
            List<SwimMessage.Entry> replies,
            List<OutgoingMessage> out) {
        for (String name : message.probeRequests()) {
            MemberState target = members.get(name);
            if (target != null && target != sender && target.known) {
                replies.add(target.toEntry(now));
                if (prober.onRequest(now, target, sender.name)) {
                    out.add(gossipSender.newMessage(now, target, SwimMessage.REPLY_NOW, List.of()));
                }
            }
        }
    }

    /** Replies to the members on whose behalf the sender was probed. */
    private void answerProbeRequesters(double now, MemberState sender, List<OutgoingMessage> out) {
        for (String requester : sender.probeRequesters) {
            MemberState member = members.get(requester);
            if (member != null && member.connected) {
                out.add(gossipSender.newMessage(
                        now, member, SwimMessage.PROBE_REPLY, List.of(), List.of(sender.toEntry(now))));
            }
        }
        sender.probeRequesters.clear();
    }

    /** Messages that notify all connected peers that this member shuts down. */
    List<OutgoingMessage> leaveMessages(double now) {
        List<OutgoingMessage> out = new ArrayList<>();
        for (MemberState member : members.all()) {
            if (member.connected) {
                out.add(gossipSender.newMessage(now, member, SwimMessage.LEAVING, List.of()));
            }
        }
        return out;
    }

    /** Subtracts time from a peer's silence during which this member did not read what the peer sent. */
    void discountSilence(double now, String name, double ms) {
        MemberState member = members.get(name);
        if (member != null) {
            member.discountSilence(ms, now);
        }
    }

    /** Records another process of this name; subsequent messages notify both of them. */
    void onConflict(double now, String name, long otherIncarnation, long otherInstance) {
        MemberState member = members.get(name);
        if (member != null && member.known) {
            members.recordConflict(now, member, otherIncarnation, otherInstance);
        }
    }

    /** Returns the status changes since the last call. */
    List<Change> drainChanges() {
        return members.drainChanges();
    }

    /** Returns the conflicts detected since the last call, each once. */
    List<Conflict> drainConflicts() {
        return members.drainConflicts();
    }

    MemberStatus status(String name) {
        MemberState member = members.get(name);
        return member == null ? MemberStatus.UNKNOWN : member.status;
    }

    /** The latest known incarnation; {@link Long#MIN_VALUE} if none. */
    long incarnationOf(String name) {
        MemberState member = members.get(name);
        return member == null || !member.known ? Long.MIN_VALUE : member.incarnation;
    }

    /** The instance number of that incarnation's process; 0 if none. */
    long instanceOf(String name) {
        MemberState member = members.get(name);
        return member == null ? 0 : member.instance;
    }

    /** The latest time at which this peer is known to have been alive, by its own messages. */
    double lastDirectMs(String name) {
        MemberState member = members.get(name);
        return member == null ? MemberState.NEVER : member.lastDirectMs;
    }

    /**
     * For how long the peer had not acknowledged a message of this member when it sent its last one. If it is long, the
     * peer does not receive what this member sends.
     */
    double unacknowledgedForMs(String name) {
        MemberState member = members.get(name);
        return member == null || !member.connected ? 0 : member.unacknowledgedForMs;
    }

    /** Lifeguard's local health score; 0 means healthy. */
    int localHealthScore() {
        return localHealth.score();
    }

    long suspicions() {
        return suspicion.suspicions();
    }

    /** Suspicions that ended with the peer alive in the same incarnation. */
    long falseSuspicions() {
        return suspicion.falseSuspicions();
    }

    /** Suspicions of this member itself that it refuted. */
    long refutations() {
        return refutation.refutations();
    }

    /** How often this process was paused for longer than two heartbeat intervals. */
    long pauses() {
        return localHealth.pauses();
    }

    long deaths() {
        return suspicion.deaths();
    }

    /** The number of peers with this status. */
    int count(MemberStatus status) {
        return members.count(status);
    }

    /** The number of peers that this member receives from but that do not receive from it. */
    int countOneWay() {
        return members.countOneWay(limits.suspectAfterMs());
    }
}
