/**
 * The log: one line an entry on standard error, with a bound on lines a second.
 *
 * <p>Depends on {@code brackenbridge.clock} and the JDK. Any thread may log; a thread of the logger's own
 * writes, so that a slow reader of standard error never holds up an event loop. What passes the bound is
 * counted, not queued.
 */
package brackenbridge.log;
