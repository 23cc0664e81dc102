/**
 * The only source of time, in milliseconds as {@code double}.
 *
 * <p>Depends on the JDK alone. A clock is monotonic and may be read from any thread. Decision code takes the time as an
 * argument instead of reading a clock, so that the laboratory can run it in simulated time.
 */
package brackenbridge.clock;
