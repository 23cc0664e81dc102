package brackenbridge.fleet.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** SWIM's indirect probe (section 3.1, ping-req): other members probe a silent member before it is suspected. */
final class IndirectProber {
    private final PeerLimits limits;
    private final MemberTable members;
    private final LocalHealth localHealth;

    IndirectProber(PeerLimits limits, MemberTable members, LocalHealth localHealth) {
        this.limits = limits;
        this.members = members;
        this.localHealth = localHealth;
    }

    /** Whether other members should probe this member now; resets its preferred helper if not needed any more. */
    boolean needsProbe(double now, MemberState member) {
        boolean watched = member.known && !member.left && member.status != MemberStatus.DEAD;
        double directSilenceMs = now - member.lastDirectMs - member.discountedMs;
        if (watched && directSilenceMs > FailureDetector.PROBE_AFTER_INTERVALS * limits.heartbeatMs()) {
            return true;
        }
        if (!watched || member.lastAliveMs == member.lastDirectMs) {
            member.preferredHelper = null;
        }
        return false;
    }

    /** Chooses helpers; returns the silent members that each is asked to probe, by the helper's name. */
    Map<String, List<String>> chooseHelpers(List<MemberState> silent) {
        Map<String, List<String>> requests = new HashMap<>();
        for (MemberState target : silent) {
            chooseHelpers(target, requests);
        }
        if (!requests.isEmpty()) {
            localHealth.onProbesSent();
        }
        return requests;
    }

    private void chooseHelpers(MemberState target, Map<String, List<String>> requests) {
        List<MemberState> order = members.all();
        int missing = limits.probeHelpers();
        if (target.preferredHelper != null && addRequest(requests, members.get(target.preferredHelper), target.name)) {
            missing--;
        }
        for (int i = 0; i < order.size() && missing > 0; i++) {
            MemberState helper = order.get(target.nextHelperIndex++ % order.size());
            if (target.nextHelperIndex == Integer.MAX_VALUE) {
                target.nextHelperIndex = 0;
            }
            if (helper != target
                    && !helper.name.equals(target.preferredHelper)
                    && addRequest(requests, helper, target.name)) {
                missing--;
            }
        }
    }

    private static boolean addRequest(Map<String, List<String>> requests, MemberState helper, String target) {
        if (helper == null || !helper.connected || helper.status != MemberStatus.ALIVE) {
            return false;
        }
        List<String> targets = requests.computeIfAbsent(helper.name, k -> new ArrayList<>());
        return targets.size() < SwimMessage.MAX_PROBE_REQUESTS && targets.add(target);
    }

    /**
     * Processes a peer's request to probe this member.
     *
     * @return whether to send the member a probe now on the peer's behalf
     */
    boolean onRequest(double now, MemberState target, String requester) {
        if (!target.connected || now - target.lastDirectMs <= limits.heartbeatMs()) {
            return false;
        }
        boolean first = target.probeRequesters.isEmpty();
        target.probeRequesters.add(requester);
        return first;
    }
}
