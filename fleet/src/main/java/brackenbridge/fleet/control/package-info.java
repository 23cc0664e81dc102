/**
 * Distributes agreed values from a few control machines to many nodes.
 *
 * <p>A control machine keeps the values agreed by a majority ({@link brackenbridge.fleet.agreed}) and serves
 * subscriptions ({@link brackenbridge.fleet.control.ControlServer}). A node keeps one connection to one control machine
 * ({@link brackenbridge.fleet.control.ControlClient}) and receives the newest version of each resource that it
 * subscribed to. The cost of a node does not depend on the number of nodes. The design, its deadline and the
 * alternatives considered are in {@code docs/design/control.md}.
 *
 * <p>{@code ResourceTable}, {@code Subscription}, {@code SubscribedResources}, {@code MachineSelector} and
 * {@code AdmissionLimiter} contain the decisions and do no I/O; {@code ControlServer} and {@code ControlClient} own the
 * sockets.
 */
package brackenbridge.fleet.control;
