package brackenbridge.fleet.peer;

/**
 * A member of the fleet as its file names it.
 *
 * @param name its name, the same after a restart
 * @param address where its peers reach it, {@code address:port}
 * @param zone the zone it is in
 */
public record Member(String name, String address, String zone) {}
