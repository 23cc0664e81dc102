/** A node and its part of the fleet in one process: values to its reducer, observations from it. */
package brackenbridge.fleet.node;
