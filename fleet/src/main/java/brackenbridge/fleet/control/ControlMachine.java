package brackenbridge.fleet.control;

/**
 * A control machine as the fleet's file names it.
 *
 * @param name its name
 * @param region where it stands
 * @param address where nodes reach it, {@code address:port}
 */
public record ControlMachine(String name, String region, String address) {}
