package brackenbridge.fleet.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Who is alive. After SWIM (Das, Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style process group
 * membership protocol", DSN 2002: others are asked before a member is suspected, suspicion comes before death, a
 * greater
 * incarnation refutes) and Lifeguard (Dadgar, Phillips and Currey, "Lifeguard: local health awareness for more accurate
 * failure detection", 2018: a member that is itself slow suspects others later, a suspicion that others confirm times
 * out sooner, the suspected member is told first).
 *
 * <p>Two things differ from the papers. The evidence is <i>when a member was last surely alive</i>, by this member's
 * clock and never too late: a message says which message of ours its sender has heard and how long ago, so that it is
 * no older than the two together. Messages that stood in a full connection for ten seconds prove nothing about now.
 * Such evidence is handed on with its age, so a member that anybody hears is alive for all. And time during which this
 * process itself was paused is taken from every silence.
 *
 * <p>This class composes the parts: {@link MemberTable}, {@link LocalHealth}, {@link Suspicion},
 * {@link SelfRefutation},
 * {@link IndirectProber}, {@link GossipSender} and {@link GossipReceiver}. Not thread-safe. Times are milliseconds of
 * one clock that never goes back.
 */
public final class FailureDetector {
    /** Silence in heartbeat intervals after which others are asked. */
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

    /** A message that is to be sent. */
    record OutgoingMessage(String to, SwimMessage message) {}

    /** Two processes live under one name; it may be this member's own. */
    record Conflict(String name, long incarnation, long instance, long otherIncarnation, long otherInstance) {}

    /** A detector for this member in this life. */
    FailureDetector(String me, long incarnation, long instance, PeerLimits limits, long seed) {
        this.limits = limits;
        Random random = new Random(seed);
        members = new MemberTable(me, random);
        localHealth = new LocalHealth(limits.heartbeatMs(), members);
        suspicion = new Suspicion(limits, members, localHealth);
        refutation = new SelfRefutation(me, incarnation, instance, members);
        prober = new IndirectProber(limits, members, localHealth);
        gossipSender = new GossipSender(limits.heartbeatMs(), members, refutation, random);
        gossipReceiver = new GossipReceiver(me, limits, members, suspicion, refutation);
    }

    /** This member has taken another life; its connections, which told the earlier one, are to be closed. */
    void beginIncarnation(long nextIncarnation) {
        refutation.beginIncarnation(nextIncarnation);
    }

    /**
     * The greatest life, at least its own, by which peers know an ended process of this member: taken before the
     * time of day went back, or kept on a disk that was lost. {@link Long#MIN_VALUE} if there is none.
     */
    long endedIncarnation() {
        return refutation.endedIncarnation();
    }

    /** Replaces the other members; those no longer among them are reported dead and forgotten. */
    void update(Collection<String> names) {
        members.update(names);
    }

    /**
     * A connection with this peer was established.
     *
     * @param openedAtMs when its handshake began
     * @return the messages that are to be sent
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

    /** The connection with this peer has ended. */
    void onDisconnected(String name) {
        MemberState member = members.get(name);
        if (member != null) {
            member.onDisconnected();
        }
    }

    /**
     * To be called each heartbeat interval.
     *
     * @return the messages that are to be sent
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
     * A message has come over the connection with this peer.
     *
     * @return the messages that are to be sent at once
     */
    List<OutgoingMessage> onMessage(
            double now, String from, long remoteIncarnation, long remoteInstance, SwimMessage message) {
        MemberState sender = members.get(from);
        if (sender == null) {
            return List.of();
        }
        // A pause of this process may be seen here before the next tick.
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
            // The later life gave no sign since the earlier one connected: it has ended, and its successor, which
            // began under an earlier time of day, has not heard of it yet.
            return List.of(gossipSender.newMessage(
                    now, sender, SwimMessage.PROBE_REPLY, List.of(), List.of(sender.toEntry(now))));
        }
        if (remoteIncarnation == sender.incarnation || sentMs > sender.incarnationLearnedMs) {
            // Sent after another process of this name was heard of: both live.
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

    /** The sender was probed on behalf of these members, and has spoken. */
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

    /** The messages that tell all connected peers that this member ends. */
    List<OutgoingMessage> leaveMessages(double now) {
        List<OutgoingMessage> out = new ArrayList<>();
        for (MemberState member : members.all()) {
            if (member.connected) {
                out.add(gossipSender.newMessage(now, member, SwimMessage.LEAVING, List.of()));
            }
        }
        return out;
    }

    /** This member itself did not read for so long what this peer sent: that is no silence of the peer. */
    void discountSilence(double now, String name, double ms) {
        MemberState member = members.get(name);
        if (member != null) {
            member.discountSilence(ms, now);
        }
    }

    /** Another process of this name was found; both are told in the messages that follow. */
    void onConflict(double now, String name, long otherIncarnation, long otherInstance) {
        MemberState member = members.get(name);
        if (member != null && member.known) {
            members.recordConflict(now, member, otherIncarnation, otherInstance);
        }
    }

    /** What has changed since the last call. */
    List<Change> drainChanges() {
        return members.drainChanges();
    }

    /** Conflicts that were found since the last call, each once. */
    List<Conflict> drainConflicts() {
        return members.drainConflicts();
    }

    MemberStatus status(String name) {
        MemberState member = members.get(name);
        return member == null ? MemberStatus.UNKNOWN : member.status;
    }

    /** The latest life heard of; {@link Long#MIN_VALUE} if none. */
    long incarnationOf(String name) {
        MemberState member = members.get(name);
        return member == null || !member.known ? Long.MIN_VALUE : member.incarnation;
    }

    /** The process of that life; 0 if none. */
    long instanceOf(String name) {
        MemberState member = members.get(name);
        return member == null ? 0 : member.instance;
    }

    /** When this peer was last surely alive, by its own word over its connection. */
    double lastDirectMs(String name) {
        MemberState member = members.get(name);
        return member == null ? MemberState.NEVER : member.lastDirectMs;
    }

    /** For how long the peer had not heard what it was sent, by its last message: it may not hear us. */
    double unacknowledgedForMs(String name) {
        MemberState member = members.get(name);
        return member == null || !member.connected ? 0 : member.unacknowledgedForMs;
    }

    /** Lifeguard's local health score; 0 is healthy. */
    int localHealthScore() {
        return localHealth.score();
    }

    long suspicions() {
        return suspicion.suspicions();
    }

    /** Suspicions that ended with the peer alive in the same life. */
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

    /** How many peers have this status. */
    int count(MemberStatus status) {
        return members.count(status);
    }

    /** How many peers are heard but do not hear this member. */
    int countOneWay() {
        return members.countOneWay(limits.suspectAfterMs());
    }
}
