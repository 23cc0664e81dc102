/**
 * Real time: stand-in servers and discovery on loopback that speak the platform's protocol round the same model of a
 * server, real nodes, and the load tool.
 */
package brackenbridge.lab.live;
