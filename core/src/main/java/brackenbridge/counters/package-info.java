/**
 * The node's counters, their text forms, and the reasons for which input is rejected.
 *
 * <p>Depends on the JDK alone and does no I/O. A {@link brackenbridge.counters.Counters} belongs to one node and
 * is read and written on that node's event loop only; its names stand in logs, in {@code /health/counters} and
 * in what operators fetch, so they don't change.
 */
package brackenbridge.counters;
