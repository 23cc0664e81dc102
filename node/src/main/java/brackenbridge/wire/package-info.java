/**
 * The adapter to the simulator: decision module instances on standard input and output, in tab-separated lines.
 *
 * <p>Translates only and decides nothing. Depends on {@code core} and on {@code brackenbridge.config}; the
 * instances belong to the one thread that reads the input.
 */
package brackenbridge.wire;
