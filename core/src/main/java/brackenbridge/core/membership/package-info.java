/**
 * How a node comes by its lists of servers: when it asks discovery, what silence means, which word is news. One
 * machine, {@link brackenbridge.core.membership.Membership}, runs in the node, on the simulator's wire and in the
 * laboratory; docs/design/membership.md has its states.
 */
package brackenbridge.core.membership;
