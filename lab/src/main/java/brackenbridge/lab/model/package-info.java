/**
 * One server as a queueing model: cores shared by the requests in its slots, a waiting room, cold starts, pauses,
 * errors, load reports and probes. Free of I/O and of the system's time, so that it runs in simulated time and
 * behind real sockets alike.
 */
package brackenbridge.lab.model;
