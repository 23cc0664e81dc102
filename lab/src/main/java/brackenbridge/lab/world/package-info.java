/** What an experiment's file says: servers, nodes, classes, load, troubles, and what is compared. */
package brackenbridge.lab.world;
