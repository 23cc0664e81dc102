/**
 * Connections to servers: how many are opened, which attempt gets one, how long an attempt waits and which idle ones
 * are still trusted. A state machine without I/O, {@link brackenbridge.core.connection.ConnectionPool};
 * docs/design/connections.md describes its states.
 */
package brackenbridge.core.connection;
