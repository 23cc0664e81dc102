package brackenbridge.fleet.control;

import brackenbridge.fleet.control.ControlMessage.Acknowledge;
import brackenbridge.fleet.control.ControlMessage.Subscribe;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * A model of a node, of control machines that learn decided versions at different times, and of connections with
 * messages in flight. It runs the production classes without sockets. Each step checks the invariants.
 */
final class DistributionModel {
    /** Receives versions at the node: the production class, or one with a deliberate fault. */
    interface Receiver {
        Optional<Acknowledge> offer(Resource resource);

        long applied(String name);

        List<ControlMessage.ResumeVersion> versions();
    }

    /** The production class; rejects the versions listed by the test. */
    static final class ResourcesReceiver implements Receiver {
        private final SubscribedResources resources;
        private final List<Long> rejectedVersions;

        ResourcesReceiver(List<String> names, List<Long> rejectedVersions) {
            resources = new SubscribedResources(names);
            this.rejectedVersions = rejectedVersions;
        }

        @Override
        public Optional<Acknowledge> offer(Resource resource) {
            return resources.offer(
                    resource,
                    offered ->
                            rejectedVersions.contains(offered.version()) ? Optional.of("refused") : Optional.empty());
        }

        @Override
        public long applied(String name) {
            return resources.applied(name);
        }

        @Override
        public List<ControlMessage.ResumeVersion> versions() {
            return resources.versions();
        }
    }

    /** A heartbeat in flight, with the versions that the machine had when it sent it. */
    private record SentHeartbeat(long[] versions) {}

    private final class Connection {
        private final int machine;
        private final Subscription subscription;
        private final Deque<Object> inFlight = new ArrayDeque<>();

        Connection(int machine) {
            this.machine = machine;
            subscription = new Subscription(
                    new Subscribe("fleet", "node", "region", ++connectionNumber, receiver.versions()),
                    tables.get(machine));
        }

        void sendPending() {
            Optional<Resource> next = subscription.next(tables.get(machine));
            while (next.isPresent()) {
                inFlight.add(next.get());
                next = subscription.next(tables.get(machine));
            }
        }
    }

    private final List<String> names;
    private final List<ResourceTable> tables = new ArrayList<>();
    private final long[] decided;
    private final Receiver receiver;
    private final List<Connection> abandonedConnections = new ArrayList<>();
    private Connection current;
    private long connectionNumber;

    DistributionModel(List<String> names, int machines, Receiver receiver) {
        this.names = names;
        this.receiver = receiver;
        decided = new long[names.size()];
        for (int i = 0; i < machines; i++) {
            tables.add(new ResourceTable());
        }
    }

    /** The majority decides on the next version of a name. */
    void decide(int name) {
        decided[name]++;
    }

    /** A machine learns the newest version of a name and sends it if the node is connected to it. */
    void learn(int machine, int name) {
        if (decided[name] == 0) {
            return;
        }
        tables.get(machine).offer(new Resource(names.get(name), decided[name], new byte[0]));
        if (current != null && current.machine == machine) {
            current.subscription.onResourceChanged(names.get(name), tables.get(machine));
            current.sendPending();
        }
    }

    /** The node connects to a machine; messages in flight on the previous connection may still arrive late. */
    void connect(int machine) {
        if (current != null) {
            abandonedConnections.add(current);
        }
        current = new Connection(machine);
        current.sendPending();
    }

    /** The machine sends a heartbeat after all pending versions. */
    void heartbeat() {
        if (current != null) {
            current.sendPending();
            long[] versions = new long[names.size()];
            for (int i = 0; i < versions.length; i++) {
                versions[i] = tables.get(current.machine).version(names.get(i));
            }
            current.inFlight.add(new SentHeartbeat(versions));
        }
    }

    /** The next message of the connection arrives. */
    void deliver() {
        if (current == null || current.inFlight.isEmpty()) {
            return;
        }
        Object message = current.inFlight.poll();
        if (message instanceof SentHeartbeat heartbeat) {
            for (int i = 0; i < heartbeat.versions().length; i++) {
                long received = receiver.versions().get(i).received();
                require(
                        received >= heartbeat.versions()[i],
                        "a heartbeat arrived before version " + heartbeat.versions()[i]
                                + " that was in force when it was sent; received " + received);
            }
        } else {
            receive((Resource) message).ifPresent(current.subscription::onAcknowledge);
        }
    }

    /** A message of an abandoned connection arrives late; its acknowledgement is lost. */
    void deliverLate() {
        for (Connection connection : abandonedConnections) {
            Object message = connection.inFlight.poll();
            if (message instanceof Resource resource) {
                receive(resource);
                return;
            }
        }
    }

    private Optional<Acknowledge> receive(Resource resource) {
        int name = names.indexOf(resource.name());
        long before = receiver.applied(resource.name());
        Optional<Acknowledge> acknowledge = receiver.offer(resource);
        long after = receiver.applied(resource.name());
        require(after >= before, resource.name() + " went back from " + before + " to " + after);
        require(after <= decided[name], resource.name() + " applies " + after + ", decided " + decided[name]);
        return acknowledge;
    }

    /** All machines learn all versions, the node reconnects and receives everything: it must apply the newest ones. */
    void settle(List<Long> rejectedVersions) {
        for (int name = 0; name < names.size(); name++) {
            for (int machine = 0; machine < tables.size(); machine++) {
                learn(machine, name);
            }
        }
        connect(0);
        heartbeat();
        while (!current.inFlight.isEmpty()) {
            deliver();
        }
        for (int name = 0; name < names.size(); name++) {
            long applied = receiver.applied(names.get(name));
            boolean newestRejected = rejectedVersions.contains(decided[name]);
            require(
                    newestRejected || applied == decided[name],
                    names.get(name) + " stays at " + applied + ", decided " + decided[name]);
            require(
                    newestRejected || current.subscription.applied(names.get(name)) == applied,
                    "the machine records " + current.subscription.applied(names.get(name)) + ", the node applies "
                            + applied);
        }
        require(!current.subscription.hasPending(), "a resource is still pending");
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(message);
        }
    }
}
