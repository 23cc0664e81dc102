/**
 * The one source of time, in milliseconds as {@code double}.
 *
 * <p>Depends on the JDK alone. A clock never goes back and may be read from any thread; code that decides takes
 * the time as an argument instead of reading it, so that the laboratory can run it in simulated time.
 */
package brackenbridge.clock;
