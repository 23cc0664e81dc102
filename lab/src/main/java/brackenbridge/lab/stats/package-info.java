/** What came of a run: worth served, outcomes, latencies and the servers' load, over time and as one line of JSON. */
package brackenbridge.lab.stats;
