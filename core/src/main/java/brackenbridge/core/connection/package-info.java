/**
 * Connections to servers: how many are opened, which attempt gets one, how long an attempt waits for it and
 * which idle ones are still trusted. One state machine, {@link brackenbridge.core.connection.ConnectionPool}, with time
 * and values in and commands out; docs/design/connections.md has its states.
 */
package brackenbridge.core.connection;
