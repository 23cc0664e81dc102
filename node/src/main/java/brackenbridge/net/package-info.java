/**
 * The running node: its listener, its connections to servers, its calls to discovery and its timers, on Netty.
 *
 * <p>{@link brackenbridge.net.Node} hands events to the reducer and runs the effects that come out. All state of
 * this package belongs to the one event loop; other threads reach it only by submitting a task to that loop.
 * Depends on {@code core} and on the node's other packages; only {@code brackenbridge.cli} and the modules
 * {@code fleet} and {@code lab} depend on it.
 */
package brackenbridge.net;
