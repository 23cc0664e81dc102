/** The fleet's commands. */
package brackenbridge.fleet.cli;
