package brackenbridge.fleet.control;

/**
 * A control machine as configured in the fleet file.
 *
 * @param name its name
 * @param region the region in which it runs
 * @param address where nodes reach it, {@code address:port}
 */
public record ControlMachine(String name, String region, String address) {}
