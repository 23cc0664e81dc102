package brackenbridge.fleet.peer;

/**
 * A member as configured in the fleet file.
 *
 * @param name its name, which is stable across restarts
 * @param address where its peers reach it, {@code address:port}
 * @param zone the zone in which it runs
 */
public record Member(String name, String address, String zone) {}
