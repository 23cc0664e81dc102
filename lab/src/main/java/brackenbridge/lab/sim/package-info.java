/**
 * Simulated time: many instances of the real reducer with the real module, servers, network, discovery and clients as
 * discrete events. One run is one thread, and equal for equal seeds.
 */
package brackenbridge.lab.sim;
