/** Reads and validates the fleet file, and reports all of its faults at once. */
package brackenbridge.fleet.config;
