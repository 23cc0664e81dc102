/**
 * The replica taken apart: every history of three members up to a depth, and up to a thousand members in simulated
 * time, both with the plain classes of {@code fleet.replica} that a member runs.
 */
package brackenbridge.lab.replica;
