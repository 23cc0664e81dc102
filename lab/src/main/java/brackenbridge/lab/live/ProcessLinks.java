package brackenbridge.lab.live;

/** Puts something on the way from one process to another; each way is known by the names of its ends. */
public interface ProcessLinks {
    /** Nothing on any way. */
    ProcessLinks DIRECT = (from, to, dial) -> dial;

    /**
     * The address at which one process finds another.
     *
     * @param from the name of the one that connects
     * @param to the name of the one that listens
     * @param dial where it listens
     */
    String through(String from, String to, String dial);
}
