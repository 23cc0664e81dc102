/** Traffic statistics of a node's pools, by request class, for reports to the fleet. */
package brackenbridge.core.observe;
