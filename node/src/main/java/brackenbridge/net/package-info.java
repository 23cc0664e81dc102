/**
 * The running node on Netty: its listener, its connections to servers, its discovery calls and its timers.
 *
 * <p>{@link brackenbridge.net.Node} passes events to the reducer and runs the resulting effects. All state of
 * this package belongs to a single event loop; other threads reach it only by submitting a task to that loop.
 * Depends on {@code core} and on the node's other packages; only {@code brackenbridge.cli} and the modules
 * {@code fleet} and {@code lab} depend on it.
 */
package brackenbridge.net;
