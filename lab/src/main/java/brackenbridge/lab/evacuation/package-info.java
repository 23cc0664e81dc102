/** Evacuations of zones in simulated time: what was foretold, beside what came. */
package brackenbridge.lab.evacuation;
