/**
 * Connections to servers: each carries one attempt at a time and is reused afterwards.
 *
 * <p>{@link brackenbridge.net.upstream.UpstreamConnections} passes attempts to the connection pool and executes its
 * commands; {@link brackenbridge.net.upstream.UpstreamConnection} is one connection, with an
 * {@link brackenbridge.net.upstream.AttemptWriter} and a {@link brackenbridge.net.upstream.ResponseReader}. All state
 * belongs to the node's event loop. Depends on {@code core}, on {@code net.channel} and on the node's codec, counters,
 * log and transport packages; only {@code brackenbridge.net} depends on it.
 */
package brackenbridge.net.upstream;
