/**
 * The load-balancing decisions of one node: admission control, weighted round robin, deadline-aware priority queues,
 * outlier ejection, slow start and retries, after Andersson and Kihl. It does no I/O and starts no threads.
 */
package brackenbridge.core.balancing;
