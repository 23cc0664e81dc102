/**
 * The life of connections to servers: how many are opened, who gets one that is up, how long a forward waits for it,
 * which kept one is still believed alive. One machine, {@link brackenbridge.core.connection.Connections}, with time and
 * values in and steps out; docs/design/connections.md has its states.
 */
package brackenbridge.core.connection;
