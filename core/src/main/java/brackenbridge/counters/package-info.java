/**
 * The node's counters, their text formats, and the reasons for which input is rejected.
 *
 * <p>Depends on the JDK alone and does no I/O. A {@link brackenbridge.counters.Counters} belongs to one node and is
 * read and written on that node's event loop only. The counters' names appear in logs, in {@code /health/counters} and
 * in the operators' metrics, so they don't change.
 */
package brackenbridge.counters;
