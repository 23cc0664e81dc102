/** Tenants' shares of connections across the fleet: demand, allocation, leases, loans and starvation. */
package brackenbridge.fleet.share;
