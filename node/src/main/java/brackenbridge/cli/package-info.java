/**
 * The node's command line: commands, exit codes, signals.
 *
 * <p>May depend on every package of the node; only the commands that other modules add depend on it,
 * through {@link brackenbridge.cli.Extension}. It keeps no state beyond the start of a process.
 */
package brackenbridge.cli;
