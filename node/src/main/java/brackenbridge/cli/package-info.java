/**
 * The node's command line: commands, exit codes, signals.
 *
 * <p>May depend on every package of the node; nothing depends on it but the commands that other modules add
 * through {@link brackenbridge.cli.Extension}. It keeps no state beyond the start of a process.
 */
package brackenbridge.cli;
