/**
 * The load-balancing decisions of one node: admission control, weighted round robin, deadline-aware priority queues,
 * outlier ejection, slow start and retries, after Andersson and Kihl. It does no input or output and starts no thread.
 */
package brackenbridge.core.balancing;
