/**
 * The state machine of a node: it turns each {@link brackenbridge.core.Event} into {@link brackenbridge.core.Effect}s.
 *
 * <p>{@link brackenbridge.core.Reducer} owns all of a node's decision state: open requests, attempts, the endpoint
 * list, deadlines and the life cycle. Its parts have one concern each and are package-private; each event is passed
 * with a {@link brackenbridge.core.ReducerContext} to the part that handles its group. It is confined to one thread,
 * the node's event loop (in the laboratory, the thread of the simulation). Nothing here opens a socket or a file,
 * starts a thread or reads the system's time; the package depends on the balancer, on its own subpackages, on {@code
 * brackenbridge.counters} and on the JDK.
 */
package brackenbridge.core;
