/**
 * Sharing of a node's connections between tenants: quotas and zone weights received from the fleet, and the fair
 * queue that decides whose request starts next.
 */
package brackenbridge.core.share;
