/** The commands of the fleet, which extend the node's command line. */
package brackenbridge.fleet.cli;
