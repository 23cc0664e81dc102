package brackenbridge.net.upstream;

import brackenbridge.clock.Clock;
import brackenbridge.counters.Counters;
import brackenbridge.log.Log;
import brackenbridge.net.channel.DescriptorBudget;
import brackenbridge.net.channel.EventSink;
import brackenbridge.net.channel.StreamBudget;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;

/**
 * The parts of the node that connections to servers use.
 *
 * @param bootstrap the options of every outgoing connection
 * @param loop the node's event loop
 * @param clock the node's monotonic clock
 * @param events receives the outcomes of attempts
 * @param descriptors the budget that each connection is counted in
 * @param uploads the limit on bytes of streamed requests that servers have not read
 * @param counters the node's counters
 * @param log the node's log
 */
public record UpstreamContext(
        Bootstrap bootstrap,
        EventLoop loop,
        Clock clock,
        EventSink events,
        DescriptorBudget descriptors,
        StreamBudget uploads,
        Counters counters,
        Log log) {}
