/**
 * Sharing of a node's connections between tenants: quotas and zone weights received from the fleet, and the fair
 * queueing that decides which tenant's request starts next.
 */
package brackenbridge.core.share;
