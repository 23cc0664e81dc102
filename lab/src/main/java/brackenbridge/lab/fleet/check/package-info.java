/**
 * Promises of a fleet, checked on the one log of all its processes. Nothing here knows the code that is tested: what a
 * member says is held against what was written and what was done to it.
 */
package brackenbridge.lab.fleet.check;
