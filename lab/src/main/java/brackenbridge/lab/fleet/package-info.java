/**
 * The laboratory of processes: a relay on every link between them, faults on links and processes by script or by seed,
 * and a shorter script where one fails. It knows nothing of what is tested; scenarios are files under lab/fleets.
 */
package brackenbridge.lab.fleet;
