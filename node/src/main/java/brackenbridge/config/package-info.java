/**
 * Reads the node's configuration file and checks it against the one that is in force.
 *
 * <p>Depends on {@code core} for the settings and on {@code brackenbridge.discovery} for the endpoint list in a
 * file. It reads files but keeps no state: a read gives a complete, immutable value or an error of one line.
 */
package brackenbridge.config;
