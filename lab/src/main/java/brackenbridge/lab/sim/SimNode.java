package brackenbridge.lab.sim;

import brackenbridge.core.ClientRequest;
import brackenbridge.core.Effect;
import brackenbridge.core.EndpointList;
import brackenbridge.core.Event;
import brackenbridge.core.Reducer;
import brackenbridge.core.ServerEndpoint;
import brackenbridge.core.TimerKey;
import brackenbridge.core.balancing.BalancerActions;
import brackenbridge.core.balancing.BalancerApi;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.core.balancing.LoadReport;
import brackenbridge.counters.Counters;
import brackenbridge.lab.model.ServerModel;
import brackenbridge.lab.model.ServerModel.Verdict;
import brackenbridge.lab.rules.RuleChecker;
import brackenbridge.lab.rules.RuleChecker.Answer;
import brackenbridge.lab.trouble.Stage;
import brackenbridge.lab.world.World;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import org.apache.commons.rng.UniformRandomProvider;

/** A node in simulated time: the real reducer, with connections to simulated servers instead of sockets. */
final class SimNode implements Stage.Instance {
    /** A connection from this node to a server. */
    static final class Connection {
        final SimNode node;
        final SimServer server;
        final String host;
        final int process;
        boolean closed;
        double idleSinceMs;
        /** What was sent on it last arrives at this time; nothing overtakes it. */
        double lastArrivalMs;

        Out out;

        Connection(SimNode node, SimServer server, String host) {
            this.node = node;
            this.server = server;
            this.host = host;
            this.process = server.process;
        }

        /** Whether the server's process still knows of it. */
        boolean lives() {
            return process == server.process && server.model.alive();
        }
    }

    /** A forward that is out. */
    private static final class Out {
        final long flow;
        final int number;
        final String host;
        final String dial;
        final SimRequest request;
        Connection connection;
        ServerModel.Job job;
        RuleChecker.Attempt attempt;
        boolean over;

        Out(Effect.StartAttempt e) {
            flow = e.requestId();
            number = e.attempt();
            host = e.host();
            dial = e.address();
            request = (SimRequest) e.message();
        }
    }

    private final Simulation world;
    private final EventQueue queue;
    private final UniformRandomProvider random;
    private final RuleChecker ledger;
    private final int tier;
    private final int index;
    private final String name;
    private final BiFunction<BalancerSettings, BalancerActions, BalancerApi> decisions;
    private final Counters counters = new Counters();
    private BalancerSettings settings;
    private final Map<Long, SimRequest> flows = new LinkedHashMap<>();
    private final Map<Long, Out> outs = new HashMap<>();
    private final Map<String, ArrayDeque<Connection>> idle = new HashMap<>();
    /** Flows whose deadline is still to fire. */
    private final Set<Long> deadlines = new HashSet<>();

    private final ArrayDeque<Event> inbox = new ArrayDeque<>();
    private Reducer reducer;
    private Runnable onExit = () -> {};
    private boolean reducing;
    private boolean up;
    private boolean accepts;
    private boolean serves;
    private int life;
    private long events;
    private long flowNumbers;

    SimNode(
            Simulation world,
            int tier,
            int index,
            UniformRandomProvider random,
            BiFunction<BalancerSettings, BalancerActions, BalancerApi> decisions) {
        this.world = world;
        this.queue = world.queue();
        this.ledger = world.ledger();
        this.random = random;
        this.tier = tier;
        this.index = index;
        this.name = "n" + tier + "-" + index;
        this.decisions = decisions;
    }

    /** Starts it, with what discovery lists now. */
    @Override
    public void start() {
        life++;
        world.nodeStarts(this);
        up = true;
        accepts = true;
        serves = true;
        ledger.forget(name);
        settings = world.spec().settings(tier, index, world.nodeSeed(tier, index, life));
        reducer = new Reducer(settings, counters, decisions);
        EndpointList known = world.discovery(tier).whole();
        raise(new Event.Started(known));
    }

    /** Ends it at once, as if it were killed. */
    @Override
    public void kill() {
        world.nodeStops(this, false);
        up = false;
        accepts = false;
        serves = false;
        life++;
        for (Out o : outs.values()) {
            if (!o.over) {
                o.over = true;
                if (o.connection != null) {
                    close(o.connection, o);
                }
            }
        }
        outs.clear();
        idle.values().forEach(pool -> pool.forEach(c -> close(c, null)));
        idle.clear();
        deadlines.clear();
        inbox.clear();
        List<SimRequest> lost = List.copyOf(flows.values());
        flows.clear();
        for (SimRequest r : lost) {
            r.entry.nodeDied(queue.nowMs());
            r.caller.ended(null, true, 0);
        }
    }

    /** Tells it to stop; the work runs once it has ended. */
    @Override
    public void stop(Runnable ended) {
        world.nodeStops(this, true);
        onExit = ended;
        raise(new Event.StopRequested());
    }

    /** A new configuration names another address for discovery. */
    void discoveryMoved() {
        raise(new Event.Reconfigured(settings, world.discovery(tier).whole(), true));
    }

    int life() {
        return life;
    }

    @Override
    public boolean up() {
        return up;
    }

    /** Whether the front may send clients here. */
    boolean ready() {
        return up && reducer.isReady();
    }

    Counters counters() {
        return counters;
    }

    long events() {
        return events;
    }

    String name() {
        return name;
    }

    private boolean crosses(SimServer s) {
        return s != null && !settings.zone().equals(world.spec().zone(s.index));
    }

    private double delayTo(SimServer s) {
        World.NetSpec net = world.spec().net();
        double mean = crosses(s) ? net.crossMs() : net.serverMs();
        return mean * (1 + net.jitter() * (2 * random.nextDouble() - 1));
    }

    // ---- Clients ----

    /**
     * A request has come: whether it is taken.
     *
     * @param kept on a connection that the client has had for a while
     */
    boolean open(SimRequest request, boolean kept, double timeLeftMs, String tenant, boolean repeat) {
        if (!up || !serves || !kept && !accepts) {
            return false;
        }
        long flow = flowNumbers++;
        request.entry = ledger.taken(
                queue.nowMs(),
                name + "/" + life + "/" + flow,
                request.plan.className(),
                name,
                request.unsafe,
                request.deadlineMs);
        request.flow = flow;
        flows.put(flow, request);
        raise(new Event.RequestReceived(
                flow, new ClientRequest(request.plan.className(), tenant, timeLeftMs, repeat, true, request)));
        return true;
    }

    /** The client of this request has gone away. */
    void gone(SimRequest request) {
        if (flows.remove(request.flow, request)) {
            request.entry.gone(queue.nowMs());
            raise(new Event.ClientDisconnected(request.flow));
        }
    }

    private void answer(long flow, Answer how, double retryAfterMs) {
        SimRequest request = flows.remove(flow);
        if (request == null) {
            return;
        }
        double back = tier == 0 ? world.clientDelay() : 0.05;
        queue.at(queue.nowMs() + back, () -> {
            request.entry.answered(queue.nowMs(), how);
            request.caller.ended(how, true, retryAfterMs);
        });
    }

    // ---- The reducer ----

    void raise(Event event) {
        if (!up) {
            return;
        }
        inbox.add(event);
        if (reducing) {
            return;
        }
        reducing = true;
        int of = life;
        try {
            while (!inbox.isEmpty() && of == life) {
                events++;
                for (Effect effect : reducer.reduce(queue.nowMs(), inbox.poll())) {
                    run(effect);
                }
            }
        } finally {
            reducing = false;
        }
    }

    /** Discovery tells this node something. */
    void told(long call, EndpointList group) {
        group.endpoints().forEach(this::owes);
        raise(new Event.EndpointListReceived(call, group));
    }

    /** From now on this counts as told, whether the node has heard it or not. */
    void owes(ServerEndpoint t) {
        ledger.told(queue.nowMs(), name, t.host(), t.state() == EndpointState.UP);
    }

    private void run(Effect effect) {
        if (effect instanceof Effect.SetTimer e) {
            timer(e);
        } else if (effect instanceof Effect.CancelTimer e) {
            if (e.key() instanceof TimerKey.RequestDeadline d) {
                deadlines.remove(d.requestId());
            }
        } else if (effect instanceof Effect.StartAttempt e) {
            forward(e);
        } else if (effect instanceof Effect.SendResponse e) {
            raise(new Event.ResponseFinished(e.requestId(), Event.ResponseEnd.COMPLETE));
            answer(e.requestId(), Answer.SERVED, 0);
        } else if (effect instanceof Effect.SendLocalReply e) {
            raise(new Event.ResponseFinished(e.requestId(), Event.ResponseEnd.COMPLETE));
            answer(
                    e.requestId(),
                    e.reply() == Effect.LocalReply.REJECTED ? Answer.REFUSED : Answer.FAILED,
                    e.retryAfterMs());
        } else if (effect instanceof Effect.CancelAttempt e) {
            cancel(e.requestId(), e.attempt());
        } else if (effect instanceof Effect.WatchDiscovery e) {
            world.discovery(tier).watch(this, e.call(), e.afterVersion());
        } else if (effect instanceof Effect.CancelDiscoveryCall e) {
            world.discovery(tier).endCall(this, e.call());
        } else if (effect instanceof Effect.StartHealthCheck e) {
            probe(e);
        } else if (effect instanceof Effect.CloseIdleConnections e) {
            ArrayDeque<Connection> pool = idle.remove(key(e.host(), e.address()));
            if (pool != null) {
                pool.forEach(c -> close(c, null));
            }
        } else if (effect instanceof Effect.StopAccepting || effect instanceof Effect.LeaveNewConnectionsToSuccessor) {
            accepts = false;
        } else if (effect instanceof Effect.CloseIdleClients) {
            serves = false;
        } else if (effect instanceof Effect.ReportFault e) {
            throw new IllegalStateException("fault in a decision of " + name, e.cause());
        } else if (effect instanceof Effect.Exit) {
            int of = life;
            queue.at(queue.nowMs() + 1, () -> {
                if (of == life) {
                    kill();
                    onExit.run();
                }
            });
        }
    }

    private void timer(Effect.SetTimer e) {
        int of = life;
        if (e.key() instanceof TimerKey.RequestDeadline d) {
            deadlines.add(d.requestId());
        }
        queue.at(e.atMs(), () -> {
            if (of != life || e.key() instanceof TimerKey.RequestDeadline d && !deadlines.remove(d.requestId())) {
                return;
            }
            raise(new Event.TimerFired(e.key()));
        });
    }

    // ---- Forwards ----

    private static String key(String host, String dial) {
        return host + '@' + dial;
    }

    private void forward(Effect.StartAttempt e) {
        Out out = new Out(e);
        outs.put(e.requestId(), out);
        ArrayDeque<Connection> pool = idle.get(key(e.host(), e.address()));
        double now = queue.nowMs();
        while (pool != null && !pool.isEmpty()) {
            Connection c = pool.pollLast();
            double closes = c.server.model.profile().connections().idleCloseMs();
            if (closes > 0 && now - c.idleSinceMs > closes + world.spec().net().serverMs()
                    || now - c.idleSinceMs >= world.spec().limits().idleCloseMs()) {
                // The server has closed it, and the node has seen that, or was about to close it itself.
                close(c, null);
                continue;
            }
            write(out, c);
            return;
        }
        connect(out);
    }

    private void connect(Out out) {
        SimServer server = world.at(out.dial);
        double delay = delayTo(server);
        int of = life;
        double limit = queue.nowMs() + world.spec().limits().connectTimeoutMs();
        Runnable refused = () -> broken(out, of);
        queue.at(queue.nowMs() + delay, () -> {
            if (out.over || of != life) {
                return;
            }
            if (server == null || server.cutOff) {
                queue.at(limit, refused);
                return;
            }
            if (!server.model.alive()) {
                queue.at(queue.nowMs() + delay, refused);
                return;
            }
            Connection c = new Connection(this, server, out.host);
            boolean[] answered = {false};
            server.model.connect(taken -> {
                answered[0] = true;
                double trips = 2 * delay * Math.max(0, world.spec().net().handshakeTrips() - 0.5);
                queue.at(queue.nowMs() + trips, () -> {
                    if (!taken) {
                        broken(out, of);
                    } else if (out.over || of != life) {
                        if (c.lives()) {
                            server.model.disconnect();
                        }
                    } else {
                        server.connections.add(c);
                        write(out, c);
                    }
                });
            });
            // Guards against a handshake that never ends, at a server that hangs.
            queue.at(limit, () -> {
                if (out.connection == null) {
                    broken(out, of);
                }
            });
        });
    }

    private void write(Out out, Connection c) {
        out.connection = c;
        c.out = out;
        double now = queue.nowMs();
        boolean stale = now - c.idleSinceMs
                        > Math.min(
                                c.server.staleMs,
                                c.server.model.profile().connections().idleCloseMs() > 0
                                        ? c.server.model.profile().connections().idleCloseMs()
                                        : Double.POSITIVE_INFINITY)
                && c.idleSinceMs > 0;
        ledger.sent(now, name, out.host, out.request.entry);
        raise(new Event.AttemptWritten(out.flow, out.number));
        c.lastArrivalMs = Math.max(now + delayTo(c.server), c.lastArrivalMs);
        queue.at(c.lastArrivalMs, () -> arrive(out, c, stale));
    }

    private void arrive(Out out, Connection c, boolean stale) {
        SimServer server = c.server;
        if (server.cutOff) {
            return;
        }
        int of = life;
        if (stale || !c.lives()) {
            queue.at(queue.nowMs() + delayTo(server), () -> {
                server.connections.remove(c);
                broken(out, of);
            });
            return;
        }
        SimRequest request = out.request;
        RuleChecker.Attempt attempt = request.entry.arrived(queue.nowMs(), server.host, !out.over);
        world.board().sent(crosses(server));
        out.attempt = attempt;
        out.job = server.model.begin(
                request.plan.className(),
                request.plan.parts(),
                request.deadlineMs,
                (number, done) -> world.call(server, request, number, done),
                verdict -> replied(out, c, verdict));
        if (out.over) {
            server.model.cancel(out.job);
        }
    }

    private void replied(Out out, Connection c, Verdict verdict) {
        double now = queue.nowMs();
        if (verdict == Verdict.TURNED_AWAY) {
            out.attempt.turnedAway(now);
        } else {
            out.attempt.ended(now, verdict.name());
        }
        if (c.server.cutOff || out.over) {
            return;
        }
        LoadReport report = world.spec().limits().reportsInAnswers() ? c.server.model.report() : null;
        int of = life;
        int process = c.process;
        c.lastArrivalMs = Math.max(now + delayTo(c.server), c.lastArrivalMs);
        queue.at(c.lastArrivalMs, () -> {
            if (out.over || of != life || process != c.server.process) {
                return;
            }
            if (verdict == Verdict.SPOILT || verdict == Verdict.RESET) {
                close(c, null);
                broken(out, of);
                return;
            }
            end(out);
            c.out = null;
            c.idleSinceMs = queue.nowMs();
            idle.computeIfAbsent(key(out.host, out.dial), k -> new ArrayDeque<>())
                    .add(c);
            raise(new Event.ResponseReceived(
                    out.flow,
                    out.number,
                    switch (verdict) {
                        case SERVED -> Event.ResponseKind.SERVED;
                        case ERROR -> Event.ResponseKind.ERROR;
                        default -> Event.ResponseKind.SERVER_FULL;
                    },
                    out.request,
                    report));
        });
    }

    private void end(Out out) {
        out.over = true;
        outs.remove(out.flow, out);
    }

    /** The connection could not be had, or it broke. */
    private void broken(Out out, int of) {
        if (out.over || of != life) {
            return;
        }
        end(out);
        if (out.attempt != null) {
            out.attempt.givenUp(queue.nowMs());
        }
        raise(new Event.AttemptConnectionLost(out.flow, out.number));
    }

    /** A connection broke from the server's side. */
    void reset(Connection c) {
        if (c.closed || !up) {
            return;
        }
        c.closed = true;
        ArrayDeque<Connection> pool = idle.get(key(c.host, c.server.dial));
        if (pool != null) {
            pool.remove(c);
        }
        if (c.out != null) {
            broken(c.out, life);
        }
    }

    private void cancel(long flow, int number) {
        Out out = outs.get(flow);
        if (out == null || out.number != number) {
            return;
        }
        end(out);
        if (out.attempt != null) {
            out.attempt.givenUp(queue.nowMs());
        }
        if (out.connection != null) {
            close(out.connection, out);
        }
    }

    /** Closes a connection from this side; the server learns of it after whatever was sent before. */
    private void close(Connection c, Out out) {
        if (c.closed) {
            return;
        }
        c.closed = true;
        double at = Math.max(queue.nowMs() + delayTo(c.server), c.lastArrivalMs);
        queue.at(at, () -> {
            c.server.connections.remove(c);
            if (c.lives() && !c.server.cutOff) {
                c.server.model.disconnect();
                if (out != null && out.job != null) {
                    c.server.model.cancel(out.job);
                }
            }
        });
    }

    private void probe(Effect.StartHealthCheck e) {
        SimServer server = world.at(e.address());
        int of = life;
        double delay = delayTo(server);
        queue.at(queue.nowMs() + delay, () -> {
            if (server == null || server.cutOff) {
                return;
            }
            boolean lives = server.model.alive();
            server.model.probe(passed -> {
                LoadReport report =
                        lives && passed && !world.spec().limits().reportFields().isEmpty()
                                ? server.model.report()
                                : null;
                queue.at(queue.nowMs() + delay, () -> {
                    if (of == life && !server.cutOff) {
                        raise(new Event.HealthCheckEnded(e.healthCheckId(), lives, passed, report));
                    }
                });
            });
        });
    }
}
