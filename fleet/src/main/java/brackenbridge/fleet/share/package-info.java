/** Tenants' shares of connections over the fleet: demand, allocation, leases, credits, hunger. */
package brackenbridge.fleet.share;
