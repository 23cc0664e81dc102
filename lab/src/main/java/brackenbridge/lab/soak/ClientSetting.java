package brackenbridge.lab.soak;

import brackenbridge.clock.Clock;
import brackenbridge.lab.live.Registry;
import brackenbridge.lab.model.Scheduler;
import brackenbridge.lab.rules.RuleChecker;
import brackenbridge.lab.world.World;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;

/**
 * What the clients of a play share.
 *
 * @param node the node's name for the rules
 * @param address where it listens
 * @param crowded whether idle clients fill the node's descriptors, so that it may shut new connections unread
 */
record ClientSetting(
        String node,
        InetSocketAddress address,
        World world,
        boolean crowded,
        EventLoop loop,
        Clock clock,
        Scheduler scheduler,
        RuleChecker rules,
        Registry registry,
        SoakNode processes,
        ClientTally tally,
        InjectedFaults faults,
        SoakLog log) {}
