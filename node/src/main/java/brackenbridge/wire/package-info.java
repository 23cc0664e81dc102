/**
 * The adapter to the simulator: runs instances of the decision module on standard input and output, in tab-separated
 * lines.
 *
 * <p>It only translates and decides nothing. Depends on {@code core} and on {@code brackenbridge.config}; the
 * instances belong to the one thread that reads the input.
 */
package brackenbridge.wire;
