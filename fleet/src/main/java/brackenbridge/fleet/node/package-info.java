/** The processes of the fleet: members, control machines, and nodes that exchange settings and observations with it. */
package brackenbridge.fleet.node;
