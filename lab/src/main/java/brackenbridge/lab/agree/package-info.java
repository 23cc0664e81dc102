/**
 * The agreement on settings, taken apart: every history of a few nodes up to a depth, and a thousand nodes in simulated
 * time, both with the machines of {@code core.generation} that a node runs.
 */
package brackenbridge.lab.agree;
