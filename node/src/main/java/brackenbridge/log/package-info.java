/**
 * The log: one line per entry on standard error, with a limit on the lines per second.
 *
 * <p>Depends on {@code brackenbridge.clock} and the JDK. Any thread may log; a separate thread writes,
 * so that a slow reader of standard error never blocks an event loop. Entries above the limit are counted and
 * dropped.
 */
package brackenbridge.log;
